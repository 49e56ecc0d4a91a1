// Package membership keeps this daemon's view of the fleet, by probing peers
// over the link and reading the platform's list of VMs.
//
// The decisions are made by package member of coord; this package sends its
// probes, reports their answers and tells what changed. Probes also carry the
// sender's configuration sequence, so that a daemon that missed a change hears
// of it.
//
// # Usage
//
//	m := membership.New(membership.Config{Self: self, Link: l, List: vmlist.New(url, client),
//		Clock: clk, Logger: logger, Rand: rng, ConfigSequence: f.Sequence, HandleConfigSequence: f.Heard})
//	// after l.Start:
//	go m.Run(ctx)
//
//	brokers := member.Pick(m.View(), "cell/7", 2)
//	<-m.Changed()
//	m.Leave() // at shutdown, before work is refused
package membership

import (
	"context"
	"math/rand/v2"
	"sync"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/coord/member"
	"github.com/banyanshift/banyanshift/internal/peer/link"
	"github.com/banyanshift/banyanshift/internal/peer/message"
	"github.com/banyanshift/banyanshift/internal/platform/vmlist"
)

const (
	// probeTimeout bounds a probe. A probe through a helper takes up to twice
	// as long.
	probeTimeout = 400 * clock.Millisecond
	// listInterval is how often the platform's list is read, and
	// firstListInterval how often during firstListPeriod after the start.
	listInterval      = 5 * clock.Second
	firstListInterval = 500 * clock.Millisecond
	firstListPeriod   = 10 * clock.Second
	// listIntervalPerMember lengthens the interval in large fleets, where the
	// list is long and probes carry the news.
	listIntervalPerMember = 100 * clock.Millisecond
	// listTimeout bounds one read of the list.
	listTimeout = 3 * clock.Second
	// leavePeers is how many members are told of a leave at once; the news
	// reaches the others within probes.
	leavePeers = 32
)

// Config holds what a Membership depends on.
type Config struct {
	// Self is this daemon. An empty Address means that of the link, and an
	// Incarnation of 0 the time of the start.
	Self   member.Member
	Link   *link.Link
	List   vmlist.Client
	Clock  clock.Clock
	Logger logrus.FieldLogger
	Rand   *rand.Rand
	// Timing is member.DefaultTiming when its Probe is 0.
	Timing member.Timing
	// ConfigSequence returns the configuration sequence that probes carry, and
	// HandleConfigSequence receives those of other daemons. Both may be nil.
	ConfigSequence       func() uint64
	HandleConfigSequence func(sequence uint64)
}

// Membership is this daemon's view of the fleet. It is safe for concurrent use.
type Membership struct {
	config Config

	mu      sync.Mutex
	view    *member.View
	version uint64
	members []member.Member
	changed chan struct{}
}

// New returns a Membership and registers its handlers, so it must be called
// before the link is started.
func New(config Config) *Membership {
	if config.Timing.Probe == 0 {
		config.Timing = member.DefaultTiming()
	}
	if config.Self.Incarnation == 0 {
		config.Self.Incarnation = uint64(config.Clock.Wall())
	}
	m := &Membership{config: config, changed: make(chan struct{})}
	m.view = member.New(member.Config{Self: config.Self, Timing: config.Timing, Rand: config.Rand})
	m.members = m.view.Members()
	m.version = m.view.Version()
	link.Handle(config.Link, message.Probe, m.serveProbe)
	link.Handle(config.Link, message.IndirectProbe, m.serveIndirect)
	link.Handle(config.Link, message.Leave, m.serveLeave)
	return m
}

// Run probes and reads the list until ctx ends.
func (m *Membership) Run(ctx context.Context) error {
	if m.config.Self.Address == "" {
		m.update(func() { m.view.SetAddress(m.config.Link.Address()) })
	}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return m.loopProbe(ctx) })
	group.Go(func() error { return m.loopList(ctx) })
	return group.Wait()
}

// View returns the members in the order of their ids, this daemon included,
// also those that are leaving or dead. The slice must not be modified.
func (m *Membership) View() []member.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.members
}

// Changed returns a channel that is closed at the next change of the view.
func (m *Membership) Changed() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changed
}

// MemberCounts returns how many daemons are alive and how many there should be, this
// one included.
func (m *Membership) MemberCounts() (alive, known int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.Reach()
}

// Leave tells the fleet that this daemon shuts down. It stays in the view of
// others as leaving: it gets no new tasks.
func (m *Membership) Leave() {
	var self member.Member
	m.update(func() {
		m.view.Leave()
		self = m.view.Self()
	})
	for _, peer := range member.Pick(m.View(), "Membership/Leave/"+self.ID, leavePeers) {
		// One that is lost is made up for by the probes.
		_ = link.Send(m.config.Link, peerOf(peer), message.Leave, leave{Member: self})
	}
}

// update changes the view under the lock and publishes the result.
func (m *Membership) update(change func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	change()
	if m.view.Version() == m.version {
		return
	}
	before := m.members
	m.version = m.view.Version()
	m.members = m.view.Members()
	m.report(before)
	close(m.changed)
	m.changed = make(chan struct{})
}

// loopList merges the platform's list into the view.
func (m *Membership) loopList(ctx context.Context) error {
	begun := m.config.Clock.Now()
	for {
		m.readList(ctx)
		interval := max(listInterval, listIntervalPerMember*clock.Millis(len(m.View())))
		if m.config.Clock.Now()-begun < firstListPeriod {
			interval = firstListInterval
		}
		if err := m.config.Clock.Sleep(ctx, m.jitter(interval)); err != nil {
			return err
		}
	}
}

func (m *Membership) jitter(d clock.Millis) clock.Millis {
	m.mu.Lock()
	defer m.mu.Unlock()
	return d*3/4 + clock.Millis(m.config.Rand.Int64N(int64(d/2)+1))
}

func (m *Membership) readList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout.Duration())
	defer cancel()
	vms, err := m.config.List.List(ctx)
	if err != nil {
		eventListFailed.Log(m.config.Logger, logrus.Fields{"Error": err.Error()})
		return
	}
	listed := make([]member.Listed, len(vms))
	for i, vm := range vms {
		listed[i] = member.Listed{
			ID: vm.ID, Address: vm.Address, Region: vm.Region, FailureDomain: vm.FailureDomain, Leaving: vm.Leaving,
		}
	}
	m.update(func() { m.view.OnList(m.config.Clock.Now(), listed) })
}
