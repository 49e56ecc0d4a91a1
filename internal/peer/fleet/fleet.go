// Package fleet synchronizes state between daemons: the configuration, the list
// of endpoints, the jobs on each endpoint and the usage of each team.
//
// Every daemon pings every other one at short intervals. The answer states the
// versions that the peer holds and how long ago each was confirmed to be the
// newest; the daemon fetches what is newer. A daemon that cannot read the store
// thus stays current through its peers, and knows whether it might be out of
// date. Jobs, leaving endpoints and usage go to all peers in frequent batches.
//
// A daemon discovers the others from rows of the table, from the addresses in
// its settings and from the peer lists of the daemons that it knows.
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
	// pingInterval is the time between two pings of a peer in a fleet of up
	// to pingFleetSize peers. It grows in proportion in a larger fleet, so
	// that the ping rate of a daemon stays the same.
	pingInterval  = 700 * clock.Millisecond
	pingFleetSize = 11
	pingTimeout   = clock.Second
	fetchTimeout  = 2 * clock.Second
	// updateInterval is the time between two updates in a fleet of up to
	// updateFleetSize daemons. It grows in proportion in a larger fleet, up
	// to maxUpdateInterval.
	updateInterval    = 100 * clock.Millisecond
	maxUpdateInterval = 300 * clock.Millisecond
	updateFleetSize   = 40
	// answerSlack is added to two ping intervals: a peer whose last answer is
	// older counts as not responding.
	answerSlack = 1100 * clock.Millisecond
	// removeAfter is how long a peer may be silent before it is removed.
	removeAfter = 20 * clock.Second
	// reconnectAfterFailures is the number of failed pings after which the
	// connection is opened again.
	reconnectAfterFailures = 2
	// maxCurrentAge is the age of the last confirmation up to which the held
	// version counts as current, so that a request may be denied by it.
	maxCurrentAge = 1700 * clock.Millisecond
	// minIsolatedAge is how long a daemon that reaches less than half of its
	// peers goes on serving by a version that is not confirmed.
	minIsolatedAge = 4500 * clock.Millisecond
	// tableRetryDelay is the pause after a failed access to the table of
	// daemons, and tableInterval the pause after a successful one.
	tableRetryDelay = 500 * clock.Millisecond
	tableInterval   = 20 * clock.Second
	rowPrefix       = "VM/"
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

// Fleet tracks the other daemons and exchanges state with them. It is safe for
// concurrent use.
type Fleet struct {
	config Config
	group  *errgroup.Group

	mu      sync.Mutex
	peers   map[string]*peer
	started clock.Millis
	ctx     context.Context
}

// New returns a Fleet without peers and registers its handlers with the link,
// which must not have been started.
func New(config Config) *Fleet {
	f := &Fleet{config: config, peers: make(map[string]*peer)}
	f.registerHandlers()
	return f
}

// Run exchanges state with the other daemons until ctx ends.
func (f *Fleet) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	f.mu.Lock()
	f.group, f.ctx = group, ctx
	f.started = f.config.Clock.Now()
	f.mu.Unlock()
	for _, seed := range f.config.Seeds {
		f.addPeer("", seed)
	}
	group.Go(func() error { return f.updateLoop(ctx) })
	group.Go(func() error { return f.tableLoop(ctx) })
	return group.Wait()
}

// addPeer starts to ping a daemon, unless it is already a peer.
func (f *Fleet) addPeer(id, address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.group == nil || f.ctx.Err() != nil || address == f.config.Self.Address || f.peers[address] != nil {
		return
	}
	p := &peer{fleet: f, address: address, id: id, addedAt: f.config.Clock.Now()}
	f.peers[address] = p
	ctx := f.ctx
	f.group.Go(func() error { return p.loop(ctx) })
	if id != "" {
		eventPeerJoined.Log(f.config.Logger, logrus.Fields{"Peer": id, "Address": address})
	}
}

// removePeer drops a peer and closes the connection to it.
func (f *Fleet) removePeer(p *peer) {
	f.mu.Lock()
	delete(f.peers, p.address)
	f.mu.Unlock()
	f.config.Link.Disconnect(p.address)
	eventPeerForgotten.Log(f.config.Logger, logrus.Fields{"Peer": p.id, "Address": p.address})
}

// DaemonCount returns how many daemons the fleet has, this one included.
func (f *Fleet) DaemonCount() int {
	known, _ := f.countPeers(f.config.Clock.Now())
	return known + 1
}

// ConfigStatus reports whether the held configuration is known to be current,
// and whether this daemon is cut off from the store and from most of its peers.
func (f *Fleet) ConfigStatus() (current, isolated bool) {
	_, confirmed := f.config.Document.Current()
	now := f.config.Clock.Now()
	age := now - confirmed
	if age <= maxCurrentAge {
		return true, false
	}
	if age <= minIsolatedAge {
		return false, false
	}
	known, responding := f.countPeers(now)
	return false, 2*responding < known
}

// pingDelay returns the time between two pings of a peer. The lock must be held.
func (f *Fleet) pingDelay() clock.Millis {
	return pingInterval * clock.Millis(max(len(f.peers), pingFleetSize)) / pingFleetSize
}

// isResponding reports whether the peer answers pings. The lock must be held.
func (f *Fleet) isResponding(p *peer, now clock.Millis) bool {
	return p.everAnswered && p.failures < reconnectAfterFailures && now-p.lastAnswer <= 2*f.pingDelay()+answerSlack
}

// countPeers returns how many peers have ever answered, and how many answer now.
func (f *Fleet) countPeers(now clock.Millis) (known, responding int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.peers {
		if !p.everAnswered {
			continue
		}
		known++
		if f.isResponding(p, now) {
			responding++
		}
	}
	return known, responding
}

// Rank returns the position of this daemon among the responding daemons,
// ordered by ID, counted from 0.
func (f *Fleet) Rank() int {
	now := f.config.Clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	rank := 0
	for _, p := range f.peers {
		if f.isResponding(p, now) && p.id < f.config.Self.ID {
			rank++
		}
	}
	return rank
}

// respondingPeers returns the peers that answer pings.
func (f *Fleet) respondingPeers() []link.Peer {
	now := f.config.Clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	var peers []link.Peer
	for _, p := range f.peers {
		if f.isResponding(p, now) {
			peers = append(peers, link.Peer{Address: p.address})
		}
	}
	return peers
}

// updateIntervalFor returns the time between two updates in a fleet of
// daemonCount daemons.
func updateIntervalFor(daemonCount int) clock.Millis {
	return min(updateInterval*clock.Millis(max(daemonCount, updateFleetSize))/updateFleetSize, maxUpdateInterval)
}

// updateLoop sends updates to the peers.
func (f *Fleet) updateLoop(ctx context.Context) error {
	for {
		if err := f.config.Clock.Sleep(ctx, updateIntervalFor(f.DaemonCount())); err != nil {
			return err
		}
		f.sendUpdate()
	}
}

// sendUpdate sends what happened since the last call.
func (f *Fleet) sendUpdate() {
	u := f.config.Scheduler.takeUpdate()
	u.Usage = f.config.Tally.TakeChanged()
	if u.empty() {
		return
	}
	if err := link.Broadcast(f.config.Link, f.respondingPeers(), message.FleetUpdate, u); err != nil {
		f.config.Logger.WithError(err).Debug("update could not be queued for every peer")
	}
}

// Flush sends the pending update and waits until it has probably been written.
func (f *Fleet) Flush() {
	f.sendUpdate()
	const flushTime = 50 * clock.Millisecond
	_ = f.config.Clock.Sleep(context.Background(), flushTime)
}

// CollectUsage merges the usage counts of all responding peers, starting with
// the window first.
func (f *Fleet) CollectUsage(ctx context.Context, first int64) {
	const collectTimeout = 500 * time.Millisecond
	ctx, cancel := context.WithTimeout(ctx, collectTimeout)
	defer cancel()
	var group sync.WaitGroup
	for _, p := range f.respondingPeers() {
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
