// Package membership maintains this daemon's view of the fleet. It probes peers
// over the link and reads the platform's list of VMs.
//
// Package coord/member decides whom to probe and which state each daemon has.
// This package sends the probes, passes the answers to coord/member and publishes
// changes of the view. Probes and their answers also carry the sender's
// configuration sequence, so that a daemon that missed a change detects it.
//
// # Usage
//
//	m := membership.New(membership.Config{Self: self, Link: l, List: vmlist.New(url, client),
//		Clock: clk, Logger: logger, Rand: rng,
//		ConfigSequence: state.Sequence, HandleConfigSequence: follower.NotifySequence})
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
	// probeTimeout bounds a direct probe. An indirect probe may take twice as
	// long, since a helper forwards it.
	probeTimeout = 400 * clock.Millisecond
	// listInterval is the time between two reads of the platform's list, and
	// startupListInterval the time during startupPeriod after the start.
	listInterval        = 5 * clock.Second
	startupListInterval = 500 * clock.Millisecond
	startupPeriod       = 10 * clock.Second
	// listIntervalPerMember times the number of members is the least interval
	// after the startup period. In large fleets the list is long, and probes
	// spread changes anyway.
	listIntervalPerMember = 100 * clock.Millisecond
	// listTimeout bounds one read of the list.
	listTimeout = 3 * clock.Second
	// maxLeavePeers is how many members receive the leave message; the others
	// learn of the leave through probes.
	maxLeavePeers = 32
)

// Config holds what a Membership depends on.
type Config struct {
	// Self is this daemon. If Address is empty, the address of the link is
	// used; if Incarnation is 0, the time at which New is called.
	Self   member.Member
	Link   *link.Link
	List   vmlist.Client
	Clock  clock.Clock
	Logger logrus.FieldLogger
	Rand   *rand.Rand
	// Timing is replaced by member.DefaultTiming if its Probe is 0.
	Timing member.Timing
	// ConfigSequence returns the configuration sequence that probes carry, and
	// HandleConfigSequence receives those of other daemons. Both may be nil.
	ConfigSequence       func() uint64
	HandleConfigSequence func(sequence uint64)
}

// Membership is this daemon's view of the fleet. It is safe for concurrent use.
type Membership struct {
	config Config

	mu          sync.Mutex
	view        *member.View
	viewVersion uint64
	members     []member.Member
	changed     chan struct{}
}

// New returns a Membership and registers its handlers with the link, which must
// not have been started.
func New(config Config) *Membership {
	if config.Timing.ProbeInterval == 0 {
		config.Timing = member.DefaultTiming()
	}
	if config.Self.Incarnation == 0 {
		config.Self.Incarnation = uint64(config.Clock.Wall())
	}
	m := &Membership{config: config, changed: make(chan struct{})}
	m.view = member.New(member.Config{Self: config.Self, Timing: config.Timing, Rand: config.Rand})
	m.members = m.view.Members()
	m.viewVersion = m.view.Version()
	link.Handle(config.Link, message.Probe, m.serveProbe)
	link.Handle(config.Link, message.IndirectProbe, m.serveIndirectProbe)
	link.Handle(config.Link, message.Leave, m.serveLeave)
	return m
}

// Run probes peers and reads the platform's list until ctx ends.
func (m *Membership) Run(ctx context.Context) error {
	if m.config.Self.Address == "" {
		m.updateView(func() { m.view.SetAddress(m.config.Link.Address()) })
	}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return m.probeLoop(ctx) })
	group.Go(func() error { return m.listLoop(ctx) })
	return group.Wait()
}

// View returns the members ordered by ID, including this daemon and members that
// are leaving or dead. The slice must not be modified.
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

// MemberCounts returns how many daemons are alive and how many are known: alive,
// suspect, or dead but still on the platform's list. Both include this daemon.
func (m *Membership) MemberCounts() (alive, known int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.MemberCounts()
}

// Leave announces to the fleet that this daemon shuts down. The others keep it in
// their view as leaving and give it no new tasks.
func (m *Membership) Leave() {
	var self member.Member
	m.updateView(func() {
		m.view.Leave()
		self = m.view.Self()
	})
	for _, peer := range member.Pick(m.View(), "Membership/Leave/"+self.ID, maxLeavePeers) {
		// If the message is lost, probes spread the leave.
		_ = link.Send(m.config.Link, linkPeer(peer), message.Leave, leave{Member: self})
	}
}

// updateView changes the view under the lock. If the view's version changed, it
// publishes the members, logs the changes and closes the channel of Changed.
func (m *Membership) updateView(change func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	change()
	if m.view.Version() == m.viewVersion {
		return
	}
	before := m.members
	m.viewVersion = m.view.Version()
	m.members = m.view.Members()
	m.logChanges(before)
	close(m.changed)
	m.changed = make(chan struct{})
}

// listLoop reads the platform's list regularly and merges it into the view.
func (m *Membership) listLoop(ctx context.Context) error {
	started := m.config.Clock.Now()
	for {
		m.readList(ctx)
		interval := max(listInterval, listIntervalPerMember*clock.Millis(len(m.View())))
		if m.config.Clock.Now()-started < startupPeriod {
			interval = startupListInterval
		}
		if err := m.config.Clock.Sleep(ctx, m.jitter(interval)); err != nil {
			return err
		}
	}
}

// jitter returns a random duration between 3/4 and 5/4 of d.
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
	listed := make([]member.ListedMember, len(vms))
	for i, vm := range vms {
		listed[i] = member.ListedMember{
			ID: vm.ID, Address: vm.Address, Region: vm.Region, FailureDomain: vm.FailureDomain, Leaving: vm.Leaving,
		}
	}
	m.updateView(func() { m.view.OnList(m.config.Clock.Now(), listed) })
}
