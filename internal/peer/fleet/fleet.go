// Package fleet shares among the daemons what they need to act alike: which
// configuration and which endpoints are the newest, what runs where, and how
// many requests each team had.
//
// Every daemon asks every other one, at short intervals, which versions it
// knows and how long ago they were known to be the newest, and fetches what is
// newer. A daemon that the store turns away thus learns from its peers, and can
// tell whether it might be behind. What happens to requests is told to all
// peers in short batches.
//
// A daemon finds the others through rows of the table, through the addresses in
// its settings, and through any daemon that it knows.
//
// # Usage
//
//	f := fleet.New(fleet.Config{Link: l, Clock: clk, Logger: logger, Self: peer, Scheduler: scheduler, ...})
//	go f.Run(ctx)
//	current, isolated := f.ConfigStatus()
package fleet

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/coord/table"
	"github.com/banyanshift/banyanshift/internal/config/document"
	"github.com/banyanshift/banyanshift/internal/endpoint/roster"
	"github.com/banyanshift/banyanshift/internal/peer/link"
	"github.com/banyanshift/banyanshift/internal/peer/message"
	"github.com/banyanshift/banyanshift/internal/usage/tally"
)

const (
	// pingInterval is the time between two pings of a peer in a fleet of
	// pingPeers; in a larger one it grows in proportion, so that a daemon
	// sends and answers no more of them.
	pingInterval = 700 * clock.Millisecond
	pingPeers    = 11
	pingTimeout  = clock.Second
	fetchTimeout = 2 * clock.Second
	// newsInterval is the time between two batches of news in a fleet of
	// newsPeers; in a larger one it grows in proportion, up to maxNewsInterval.
	newsInterval    = 100 * clock.Millisecond
	maxNewsInterval = 300 * clock.Millisecond
	newsPeers       = 40
	// reachSlack is how much longer than two pings an answer counts.
	reachSlack = 1100 * clock.Millisecond
	// forgetAfter is how long a silent peer is remembered.
	forgetAfter = 20 * clock.Second
	// reopenAfter is how many pings go unanswered before the connection is
	// opened anew.
	reopenAfter = 2
	// currentAge is how long ago the newest version must have been confirmed
	// for a request to be denied by it.
	currentAge = 1700 * clock.Millisecond
	// isolatedAge is how long without confirmation, and without most of the
	// peers, a daemon goes on serving by an old version.
	isolatedAge = 4500 * clock.Millisecond
	// listDelay is the pause between failed reads and writes of the table of
	// daemons, and listInterval that between successful ones.
	listDelay    = 500 * clock.Millisecond
	listInterval = 20 * clock.Second
	rowPrefix    = "VM/"
)

// Config configures a Fleet. All fields must be set.
type Config struct {
	Link   *link.Link
	Clock  clock.Clock
	Logger logrus.FieldLogger
	// Self names this daemon and the address of its link.
	Self link.Peer
	// Seeds are addresses at which other daemons may listen.
	Seeds     []string
	Table     table.Client
	Scheduler *Scheduler
	Roster    *roster.Roster
	Document  *document.Holder
	// Decode reads the bytes of a configuration.
	Decode func(raw []byte) (*document.Index, error)
	Tally  *tally.Tally
	Rand   *rand.Rand
}

// Fleet knows the other daemons. It is safe for concurrent use.
type Fleet struct {
	config Config
	group  *errgroup.Group

	mu      sync.Mutex
	peers   map[string]*peer
	started clock.Millis
	ctx     context.Context
}

// New returns a Fleet that knows nobody, and registers its handlers with the
// link, which must not have been started.
func New(config Config) *Fleet {
	f := &Fleet{config: config, peers: make(map[string]*peer)}
	f.serve()
	return f
}

// Run keeps in touch with the other daemons until ctx ends.
func (f *Fleet) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	f.mu.Lock()
	f.group, f.ctx = group, ctx
	f.started = f.config.Clock.Now()
	f.mu.Unlock()
	for _, seed := range f.config.Seeds {
		f.meet("", seed)
	}
	group.Go(func() error { return f.newsLoop(ctx) })
	group.Go(func() error { return f.listLoop(ctx) })
	return group.Wait()
}

// meet begins to keep in touch with a daemon, unless it is known.
func (f *Fleet) meet(id, address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.group == nil || f.ctx.Err() != nil || address == f.config.Self.Address || f.peers[address] != nil {
		return
	}
	p := &peer{fleet: f, address: address, id: id, met: f.config.Clock.Now()}
	f.peers[address] = p
	ctx := f.ctx
	f.group.Go(func() error { return p.loop(ctx) })
	if id != "" {
		eventPeerJoined.Log(f.config.Logger, logrus.Fields{"Peer": id, "Address": address})
	}
}

// forget ends keeping in touch with a daemon.
func (f *Fleet) forget(p *peer) {
	f.mu.Lock()
	delete(f.peers, p.address)
	f.mu.Unlock()
	f.config.Link.Disconnect(p.address)
	eventPeerForgotten.Log(f.config.Logger, logrus.Fields{"Peer": p.id, "Address": p.address})
}

// DaemonCount returns how many daemons the fleet has, this one included.
func (f *Fleet) DaemonCount() int {
	known, _ := f.reach(f.config.Clock.Now())
	return known + 1
}

// ConfigStatus reports whether the held configuration is known to be current, and
// whether this daemon is cut off from the store and from most of its peers.
func (f *Fleet) ConfigStatus() (current, isolated bool) {
	_, confirmed := f.config.Document.Held()
	now := f.config.Clock.Now()
	age := now - confirmed
	if age <= currentAge {
		return true, false
	}
	if age <= isolatedAge {
		return false, false
	}
	known, reached := f.reach(now)
	return false, 2*reached < known
}

// interval returns the time between two pings of a peer. The lock must be held.
func (f *Fleet) interval() clock.Millis {
	return pingInterval * clock.Millis(max(len(f.peers), pingPeers)) / pingPeers
}

// isReached reports whether the peer answers. The lock must be held.
func (f *Fleet) isReached(p *peer, now clock.Millis) bool {
	return p.everAnswered && p.failures < reopenAfter && now-p.answered <= 2*f.interval()+reachSlack
}

// reach returns how many peers are known and how many of them answer.
func (f *Fleet) reach(now clock.Millis) (known, reached int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.peers {
		if !p.everAnswered {
			continue
		}
		known++
		if f.isReached(p, now) {
			reached++
		}
	}
	return known, reached
}

// Rank returns how many daemons that answer come before this one in the order
// of their IDs.
func (f *Fleet) Rank() int {
	now := f.config.Clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	rank := 0
	for _, p := range f.peers {
		if f.isReached(p, now) && p.id < f.config.Self.ID {
			rank++
		}
	}
	return rank
}

// answering returns the peers that answer.
func (f *Fleet) answering() []link.Peer {
	now := f.config.Clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	var peers []link.Peer
	for _, p := range f.peers {
		if f.isReached(p, now) {
			peers = append(peers, link.Peer{Address: p.address})
		}
	}
	return peers
}

// newsEvery returns the time between two batches of news in a fleet of so many
// daemons.
func newsEvery(daemons int) clock.Millis {
	return min(newsInterval*clock.Millis(max(daemons, newsPeers))/newsPeers, maxNewsInterval)
}

// newsLoop tells the peers what happens here.
func (f *Fleet) newsLoop(ctx context.Context) error {
	for {
		if err := f.config.Clock.Sleep(ctx, newsEvery(f.DaemonCount())); err != nil {
			return err
		}
		f.tell()
	}
}

// tell sends what happened since the last call.
func (f *Fleet) tell() {
	n := f.config.Scheduler.take()
	n.Usage = f.config.Tally.TakeChanged()
	if n.empty() {
		return
	}
	if err := link.Broadcast(f.config.Link, f.answering(), message.FleetUpdate, n); err != nil {
		f.config.Logger.WithError(err).Debug("news not queued for every peer")
	}
}

// Flush sends what the peers have not been told, and gives it time to leave.
func (f *Fleet) Flush() {
	f.tell()
	const flushTime = 50 * clock.Millisecond
	_ = f.config.Clock.Sleep(context.Background(), flushTime)
}

// CollectUsage merges the usage counts of all peers that answer.
func (f *Fleet) CollectUsage(ctx context.Context, first int64) {
	const collectTimeout = 500 * time.Millisecond
	ctx, cancel := context.WithTimeout(ctx, collectTimeout)
	defer cancel()
	var group sync.WaitGroup
	for _, p := range f.answering() {
		group.Go(func() { f.collectFrom(ctx, p, first) })
	}
	group.Wait()
}

func (f *Fleet) collectFrom(ctx context.Context, p link.Peer, first int64) {
	answer, err := link.Call[usageRequest, usageAnswer](ctx, f.config.Link, p, message.FleetUsage, usageRequest{First: first})
	for _, sheet := range answer.Sheets {
		err = errors.Join(err, f.config.Tally.MergeSnapshot(sheet))
	}
	if err != nil {
		eventFetchFailed.Log(f.config.Logger, logrus.Fields{"Address": p.Address, "What": "usage", "Error": err.Error()})
	}
}
