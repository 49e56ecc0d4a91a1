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
//	f := fleet.New(fleet.Config{Link: l, Clock: clk, Logger: logger, Self: peer, Board: board, ...})
//	go f.Run(ctx)
//	current, isolated := f.Confirmed()
package fleet

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/samber/oops"
	"github.com/sirupsen/logrus"
	"github.com/vmihailenco/msgpack/v5"
	"golang.org/x/sync/errgroup"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/coord/table"
	"github.com/banyanshift/banyanshift/internal/config/document"
	"github.com/banyanshift/banyanshift/internal/endpoint/roster"
	"github.com/banyanshift/banyanshift/internal/observe/event"
	"github.com/banyanshift/banyanshift/internal/peer/link"
	"github.com/banyanshift/banyanshift/internal/peer/message"
	"github.com/banyanshift/banyanshift/internal/usage/tally"
)

var (
	eventPeerJoined = event.New(1410, logrus.InfoLevel, "peer joined",
		"Another daemon of the fleet was found.")
	eventPeerLost = event.New(1411, logrus.WarnLevel, "peer does not answer",
		"A daemon has not answered for several pings; its connection is opened anew.")
	eventPeerRegained = event.New(1412, logrus.InfoLevel, "peer answers again",
		"A daemon that did not answer does so again.")
	eventPeerForgotten = event.New(1413, logrus.InfoLevel, "peer forgotten",
		"A daemon has not answered for long and is taken to be gone.")
	eventVersionFetched = event.New(1520, logrus.InfoLevel, "configuration taken from a peer",
		"A peer had a newer version of the configuration than this daemon.")
	eventFetchFailed = event.New(1521, logrus.WarnLevel, "fetching from a peer failed",
		"What a peer had newer could not be fetched; the next ping tries again.")
	eventRegisterFailed = event.New(1414, logrus.WarnLevel, "registering in the table failed",
		"Other daemons cannot find this one through the table yet; it is tried again.")
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
	Seeds    []string
	Table    table.Client
	Board    *Board
	Roster   *roster.Roster
	Document *document.Holder
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
	link.Handle(config.Link, message.FleetPing, f.servePing)
	link.Handle(config.Link, message.FleetNews, f.serveNews)
	link.Handle(config.Link, message.FleetDocument, f.serveDocument)
	link.Handle(config.Link, message.FleetEndpoints, f.serveEndpoints)
	link.Handle(config.Link, message.FleetUsage, f.serveUsage)
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
	f.config.Link.Forget(p.address)
	eventPeerForgotten.Log(f.config.Logger, logrus.Fields{"Peer": p.id, "Address": p.address})
}

// Daemons returns how many daemons the fleet has, this one included.
func (f *Fleet) Daemons() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 1
	for _, p := range f.peers {
		if p.everAnswered {
			n++
		}
	}
	return n
}

// Confirmed reports whether the held configuration is known to be current, and
// whether this daemon is cut off from the store and from most of its peers.
func (f *Fleet) Confirmed() (current, isolated bool) {
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

// newsLoop tells the peers what happens here.
func (f *Fleet) newsLoop(ctx context.Context) error {
	for {
		interval := newsInterval * clock.Millis(max(f.Daemons(), newsPeers)) / newsPeers
		if err := f.config.Clock.Sleep(ctx, min(interval, maxNewsInterval)); err != nil {
			return err
		}
		f.tell()
	}
}

// tell sends what happened since the last call.
func (f *Fleet) tell() {
	n := f.config.Board.take()
	n.Usage = f.config.Tally.TakeFresh()
	if n.empty() {
		return
	}
	if err := link.Broadcast(f.config.Link, f.answering(), message.FleetNews, n); err != nil {
		f.config.Logger.WithError(err).Debug("news not queued for every peer")
	}
}

// Flush sends what the peers have not been told, and gives it time to leave.
func (f *Fleet) Flush() {
	f.tell()
	const flushTime = 50 * clock.Millisecond
	_ = f.config.Clock.Sleep(context.Background(), flushTime)
}

// Collect merges the usage counts of all peers that answer.
func (f *Fleet) Collect(ctx context.Context, first int64) {
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
	if err != nil {
		eventFetchFailed.Log(f.config.Logger, logrus.Fields{"Address": p.Address, "What": "usage", "Error": err.Error()})
		return
	}
	f.config.Tally.Merge(answer.Entries)
}

// listLoop registers this daemon in the table and reads who else is there.
func (f *Fleet) listLoop(ctx context.Context) error {
	registered := false
	for {
		err := f.list(ctx, &registered)
		delay := listInterval
		if err != nil {
			eventRegisterFailed.Log(f.config.Logger, logrus.Fields{"Error": err.Error()})
			delay = listDelay + clock.Millis(f.config.Rand.Int64N(int64(listDelay)))
		}
		if err := f.config.Clock.Sleep(ctx, delay); err != nil {
			return err
		}
	}
}

func (f *Fleet) list(ctx context.Context, registered *bool) (err error) {
	defer func() { err = oops.Wrapf(err, "list daemons") }()
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout.Duration())
	defer cancel()
	if !*registered {
		value, err := msgpack.Marshal(vm{ID: f.config.Self.ID, Address: f.config.Self.Address})
		if err != nil {
			return err
		}
		write := table.Write{Key: rowPrefix + f.config.Self.ID, Value: value}
		if err := f.config.Table.Commit(ctx, table.Txn{Writes: []table.Write{write}}); err != nil {
			return err
		}
		*registered = true
	}
	const most = 500
	rows, err := f.config.Table.Scan(ctx, rowPrefix, "", most)
	if err != nil {
		return err
	}
	for _, row := range rows {
		var other vm
		if err := msgpack.Unmarshal(row.Value, &other); err != nil {
			f.config.Logger.WithError(err).WithField("Key", row.Key).Warn("row of a daemon cannot be read")
			continue
		}
		f.meet(other.ID, other.Address)
	}
	return nil
}

func (f *Fleet) servePing(_ context.Context, _ string, request ping) (pong, error) {
	f.meet(request.ID, request.Address)
	now := f.config.Clock.Now()
	answer := pong{ID: f.config.Self.ID}
	if index, confirmed := f.config.Document.Held(); index != nil {
		answer.Version, answer.VersionAge = index.Version(), now-confirmed
	}
	if list := f.config.Roster.State(); list.Known {
		answer.ListRevision, answer.ListDigest, answer.ListAge = list.Revision, list.Digest, now-list.AsOf
	}
	answer.Peers = f.introduce(request.Peers)
	return answer, nil
}

// introduce lists the peers for a daemon that knows another number of them.
func (f *Fleet) introduce(known int) []vm {
	f.mu.Lock()
	defer f.mu.Unlock()
	var peers []vm
	for _, p := range f.peers {
		if p.everAnswered {
			peers = append(peers, vm{ID: p.id, Address: p.address})
		}
	}
	if len(peers) == known {
		return nil
	}
	return peers
}

func (f *Fleet) serveNews(_ context.Context, _ string, n news) (struct{}, error) {
	f.config.Board.hear(n)
	for _, id := range n.Leaving {
		f.config.Roster.Leaving(id)
	}
	for _, id := range n.Gone {
		f.config.Roster.Gone(id)
	}
	f.config.Tally.Merge(n.Usage)
	return struct{}{}, nil
}

func (f *Fleet) serveDocument(_ context.Context, _ string, request documentRequest) (documentAnswer, error) {
	index, confirmed := f.config.Document.Held()
	if index == nil || index.Version() <= request.Version {
		return documentAnswer{}, nil
	}
	return documentAnswer{Raw: f.config.Document.Raw(), Age: f.config.Clock.Now() - confirmed}, nil
}

func (f *Fleet) serveEndpoints(context.Context, string, endpointsRequest) (endpointsAnswer, error) {
	list, revision, asOf, known := f.config.Roster.List()
	if !known {
		return endpointsAnswer{}, nil
	}
	return endpointsAnswer{Endpoints: list, Revision: revision, Age: f.config.Clock.Now() - asOf}, nil
}

func (f *Fleet) serveUsage(_ context.Context, _ string, request usageRequest) (usageAnswer, error) {
	return usageAnswer{Entries: f.config.Tally.Entries(request.First)}, nil
}
