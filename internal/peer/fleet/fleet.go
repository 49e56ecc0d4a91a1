// Package fleet synchronizes state between daemons: the configuration, the list
// of endpoints, the jobs on each endpoint and the usage of each team.
//
// The daemons of a failure domain form a tree (package topology). Each daemon pings
// the one that it follows and the next few that would replace it. The answer states
// the versions that the peer holds and how long ago each was confirmed to be the
// newest; the daemon fetches what is newer. A daemon that does not read the store
// thus stays current, and knows whether it might be out of date. Changes of the
// configuration and of endpoints are announced down the tree at once. Jobs and usage
// go through the tree in frequent batches (package fanout).
//
// A daemon discovers the others from the addresses in its settings, from the daemons
// that it contacts and, if those do not suffice, from rows of the table.
//
// # Usage
//
//	f := fleet.New(fleet.Config{Link: l, Clock: clk, Logger: logger, Self: vm, Scheduler: scheduler, ...})
//	go f.Run(ctx)
//	current, isolated := f.ConfigStatus()
package fleet

import (
	"context"
	"math/rand/v2"
	"sync"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/coord/table"
	"github.com/banyanshift/banyanshift/internal/caller/relay"
	"github.com/banyanshift/banyanshift/internal/config/document"
	"github.com/banyanshift/banyanshift/internal/config/drain"
	"github.com/banyanshift/banyanshift/internal/endpoint/roster"
	"github.com/banyanshift/banyanshift/internal/observe/build"
	"github.com/banyanshift/banyanshift/internal/peer/fanout"
	"github.com/banyanshift/banyanshift/internal/peer/link"
	"github.com/banyanshift/banyanshift/internal/peer/permit"
	"github.com/banyanshift/banyanshift/internal/peer/topology"
	"github.com/banyanshift/banyanshift/internal/peer/walltime"
	"github.com/banyanshift/banyanshift/internal/usage/tally"
)

const (
	// maxCurrentAge is the age of the last confirmation up to which the held
	// version counts as current, so that a request may be denied by it.
	maxCurrentAge = 1700 * clock.Millisecond
	// minIsolatedAge is how long a daemon that reaches less than half of its
	// peers goes on serving by a version that is not confirmed.
	minIsolatedAge = 4500 * clock.Millisecond
)

// Config configures a Fleet. All fields must be set.
type Config struct {
	Link   *link.Link
	Clock  clock.Clock
	Logger logrus.FieldLogger
	// Self is this daemon, with the address of its link, and Incarnation this run
	// of it.
	Self        topology.VM
	Incarnation string
	// Seeds are addresses at which other daemons may listen.
	Seeds     []string
	Table     table.Client
	Scheduler *Scheduler
	Roster    *roster.Roster
	Document  *document.Holder
	Drains    *drain.Holder
	// Decode reads the bytes of a configuration.
	Decode func(raw []byte) (*document.Index, error)
	Tally  *tally.Tally
	// FollowsStore reports whether this daemon follows the endpoints in the store. It
	// may call the Fleet.
	FollowsStore func() bool
	// ReadChanges reads the endpoints whose entries have changed in the store since the list
	// that this daemon holds. It returns an error unless this daemon follows them.
	ReadChanges func(ctx context.Context) ([]roster.Endpoint, error)
	// StoreUnavailable reports whether this daemon failed to read the store when it
	// last tried, or has waited too long for an answer.
	StoreUnavailable func() bool
	// HighestFence returns the highest fence of the lease that this daemon has seen in
	// the store.
	HighestFence func() uint64
	// WallTime receives the times of day of the other daemons.
	WallTime *walltime.Estimator
	Crashes  Crashes
	Rand     *rand.Rand
	// FirstStart is set if the whole system starts for the first time.
	FirstStart bool
}

// Crashes exchanges what daemons know of crashed endpoints. All fields must be set.
type Crashes struct {
	// Fingerprint is the same in daemons that know the same.
	Fingerprint func() uint64
	// Sync exchanges what is known with the daemon at an address, which has a fingerprint.
	Sync func(ctx context.Context, address string, fingerprint uint64)
}

// Fleet tracks the other daemons and exchanges state with them. It is safe for
// concurrent use.
type Fleet struct {
	config    Config
	group     *errgroup.Group
	publisher *publisher
	streams   *streams
	permits   *permit.Exchange

	startedAt clock.Millis
	// build is the commit that this daemon was built from.
	build string
	// listFetch is held while a list of endpoints is fetched, so that several peers do
	// not send the same one. It guards listFetchedAt, when the last fetch began.
	listFetch     sync.Mutex
	listFetchedAt clock.Millis

	mu       sync.Mutex
	view     *topology.View
	exchange *fanout.Exchange[report]
	// peers holds the daemons that are pinged, by address.
	peers map[string]*peer
	// path is the way of the last report to the root.
	path string
	// newLeaving lists the endpoints to report that said that they are leaving.
	newLeaving []leavingEndpoint
	// peerFence is the highest fence of the lease that a peer knows.
	peerFence uint64
	// newsIsLate is set while the daemon that this one follows is late.
	newsIsLate bool
}

// New returns a Fleet without peers and registers its handlers with the link,
// which must not have been started.
func New(config Config) *Fleet {
	f := &Fleet{
		config:   config,
		build:    build.Revision(),
		view:     topology.New(config.Self),
		exchange: fanout.New[report](config.Incarnation, config.Self.FailureDomain),
		peers:    make(map[string]*peer),
	}
	f.publisher, f.streams = newPublisher(f), newStreams(f)
	f.permits = permit.New(permit.Config{
		Link: config.Link, Clock: config.Clock, Logger: config.Logger, Self: config.Self.Address, Owners: f.endpointOwners,
		Endpoint: config.Scheduler.Endpoint, JobCount: config.Scheduler.JobCount, FirstID: config.Rand.Uint64(),
	})
	f.registerHandlers()
	return f
}

// Run exchanges state with the other daemons until ctx ends.
func (f *Fleet) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	f.group, f.startedAt = group, f.config.Clock.Now()
	f.mu.Lock()
	for _, seed := range f.config.Seeds {
		f.view.AddAddress(f.config.Clock.Now(), seed)
	}
	f.mu.Unlock()
	group.Go(func() error { return f.contactLoop(ctx) })
	group.Go(func() error { return f.reportLoop(ctx) })
	group.Go(func() error { return f.tableLoop(ctx) })
	group.Go(func() error { return f.publisher.loop(ctx) })
	group.Go(func() error { return f.streams.keeper.loop(ctx) })
	return group.Wait()
}

// SetStopping makes this daemon hand over what it does for others.
func (f *Fleet) SetStopping() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.view.SetStopping()
}

// DaemonCount returns how many daemons the fleet has, this one included.
func (f *Fleet) DaemonCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view.Status(f.config.Clock.Now()).Daemons
}

// RelayScheduler returns the scheduling functions that the request path calls.
func (f *Fleet) RelayScheduler() relay.Scheduler {
	s := f.config.Scheduler
	return relay.Scheduler{
		Place:             s.place,
		RecordFirstToken:  s.recordFirstToken,
		RecordEnd:         s.recordEnd,
		RecordLoad:        s.recordLoad,
		RecordLeaving:     f.RecordLeaving,
		RecordTerms:       f.permits.RecordTerms,
		Acquire:           f.permits.Acquire,
		SetAside:          s.setAside,
		RecordQuiet:       s.recordQuiet,
		MaySend:           s.maySend,
		InvalidateAddress: s.invalidateAddress,
		ConfirmAddress:    s.confirmAddress,
		CountRequest:      s.countRequest,
		TakeRetry:         s.takeRetry,
	}
}

// IsBrittle reports whether an endpoint has said that it fails if it has to refuse many
// requests.
func (f *Fleet) IsBrittle(endpoint roster.Endpoint) bool {
	return f.permits.IsBrittle(endpoint)
}

// LivingVMs returns the other VMs that this daemon knows of, without those that have
// failed or are shutting down.
func (f *Fleet) LivingVMs() []topology.VM {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view.Living(f.config.Clock.Now())
}

// LeaderRank returns the place of this daemon in the order of the fleet, counted
// from 0. The first ones do the work for which a few daemons suffice.
func (f *Fleet) LeaderRank() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view.LeaderRank(f.config.Clock.Now())
}

// HasRank reports whether this daemon knows its place in the order of the fleet. It does not
// before the first answers of the others.
func (f *Fleet) HasRank() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view.HasRank(f.config.Clock.Now())
}

// KnownFence returns the highest fence of the lease that this daemon or any that it heard
// of has seen.
func (f *Fleet) KnownFence() uint64 {
	own := f.config.HighestFence()
	f.mu.Lock()
	defer f.mu.Unlock()
	return max(own, f.peerFence)
}

func (f *Fleet) recordFence(fence uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.peerFence = max(f.peerFence, fence)
}

// IsRoot reports whether this daemon speaks for its failure domain.
func (f *Fleet) IsRoot() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view.IsRoot(f.config.Clock.Now())
}

// FollowsStore reports whether this daemon is to follow the rows of the store of
// which its view was last confirmed at a time.
func (f *Fleet) FollowsStore(confirmedAt clock.Millis) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view.FollowsStore(f.config.Clock.Now(), confirmedAt)
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
	f.mu.Lock()
	defer f.mu.Unlock()
	return false, !f.view.Connected(now)
}
