package member

import (
	"cmp"
	"math/bits"
	"math/rand/v2"
	"slices"

	"github.com/banyanshift/banyanshift/coord/clock"
)

// Timing holds the intervals and bounds of a View.
type Timing struct {
	// ProbeInterval is the interval between two probes.
	ProbeInterval clock.Millis
	// SuspicionTimeout is the minimum time that a member has to refute a
	// suspicion. The time grows with the logarithm of the fleet size.
	SuspicionTimeout clock.Millis
	// ForgetAfter is how long a dead or leaving member stays in the view once
	// the platform no longer lists it.
	ForgetAfter clock.Millis
	// MaxGossipBytes limits the updates in one message.
	MaxGossipBytes int
}

// DefaultTiming returns the intervals and bounds for production.
func DefaultTiming() Timing {
	return Timing{
		ProbeInterval:    500 * clock.Millisecond,
		SuspicionTimeout: 2 * clock.Second,
		ForgetAfter:      clock.Minute,
		MaxGossipBytes:   300,
	}
}

const (
	// maxHelpers is the maximum number of members that probe a target which
	// did not respond to a direct probe.
	maxHelpers = 3
	// retransmitFactor times the logarithm of the fleet size is how often each
	// update is sent.
	retransmitFactor = 3
	// suspicionPerDoubling is added to the suspicion timeout for each doubling
	// of the fleet beyond eight members.
	suspicionPerDoubling = 400 * clock.Millisecond
	// maxHelpersInDomain is how many of the helpers may be in the target's
	// failure domain.
	maxHelpersInDomain = 2
	// probesPerDeadProbe is the mean number of probes per probe of a dead
	// member, while there are any.
	probesPerDeadProbe = 3
	// searchPeriod is how long searchProbeCount probes are sent per interval
	// after a failure domain became unresponsive, to find out quickly which
	// other domains are.
	searchPeriod     = 10 * clock.Second
	searchProbeCount = 4
	// minPauseIntervals is the number of probe intervals between two ticks above
	// which this process assumes that it was paused.
	minPauseIntervals = 4
)

// Config configures a View.
type Config struct {
	// Self is this process. Its incarnation must be greater than that of its
	// earlier runs, for instance the Unix time in milliseconds.
	Self   Member
	Timing Timing
	Rand   *rand.Rand
}

// Status is the state and incarnation of a member that sender and receiver both
// know.
type Status struct {
	State       State
	Incarnation uint64
}

// Probe checks whether a member is alive.
type Probe struct {
	// Self is the sender.
	Self Status
	// You is the receiver's status in the sender's view, unless it is Alive.
	You Status
	// News holds members whose state changed recently.
	News []Member
}

// Ack is the response to a Probe.
type Ack struct {
	Self Status
	You  Status
	News []Member
	// Unknown reports whether the receiver of the probe does not know its sender.
	Unknown bool
}

// Action is a probe for the caller to send.
type Action struct {
	// Number identifies the probe in OnAck and OnFailed.
	Number uint64
	Target Member
	// Via is the helper that probes Target for this process; nil for a direct
	// probe. The caller passes to OnFailed whether Via responded.
	Via   *Member
	Probe Probe
	// introduces reports whether the probe carries this process as a member.
	introduces bool
}

// memberRecord is a member with the state that is local to this view.
type memberRecord struct {
	Member
	domain *domainState
	listed bool
	// changedAt is when State last changed.
	changedAt clock.Millis
	// deadline is when a suspect is declared dead.
	deadline clock.Millis
	// inferred reports whether the state was set because the member's whole
	// failure domain is unresponsive. It is not gossiped, and reverted when any
	// member of the domain responds.
	inferred bool
}

// domainState is the view's state of a failure domain.
type domainState struct {
	// lastContact is when a member of the domain last responded or was probed.
	lastContact  clock.Millis
	unresponsive bool
	// probeQueue holds the IDs of the members still to probe in this round.
	probeQueue []string
}

// pendingProbe is a probe without an ack so far.
type pendingProbe struct {
	target string
	// pendingHelpers counts the helpers whose probes have not failed yet.
	pendingHelpers int
	// domainResponded reports whether a helper in the target's domain responded.
	domainResponded bool
	// domainHelperUsed reports whether a probe went through a helper in the
	// target's domain.
	domainHelperUsed bool
}

// View is the view of one process. It is not safe for concurrent use.
type View struct {
	config  Config
	self    Member
	members map[string]*memberRecord
	// sorted holds the members ordered by ID.
	sorted  []*memberRecord
	domains map[string]*domainState
	// probeRemote alternates to choose between this process's failure domain
	// and the others.
	probeRemote bool
	// searchUntil is when the number of probes per interval returns from
	// searchProbeCount to one.
	searchUntil     clock.Millis
	probes          map[uint64]*pendingProbe
	lastProbeNumber uint64
	updates         updateQueue
	// version grows whenever the result of Members changes.
	version  uint64
	lastTick clock.Millis
}

// New returns a view that holds only the process itself.
func New(config Config) *View {
	v := &View{
		config:  config,
		self:    config.Self,
		members: make(map[string]*memberRecord),
		domains: make(map[string]*domainState),
		probes:  make(map[uint64]*pendingProbe),
		updates: newUpdateQueue(),
	}
	v.self.State = Alive
	v.updates.add(v.self)
	return v
}

// Version returns a number that grows whenever the result of Members changes.
func (v *View) Version() uint64 {
	return v.version
}

// Members returns all members of the view ordered by ID, including this process.
func (v *View) Members() []Member {
	all := make([]Member, 0, len(v.members)+1)
	selfIndex, _ := slices.BinarySearchFunc(v.sorted, v.self.ID, compareID)
	for _, e := range v.sorted {
		all = append(all, e.Member)
	}
	return slices.Insert(all, selfIndex, v.self)
}

// MemberCounts returns how many members are alive, and how many are known: alive,
// suspect, or dead but still on the platform's list. Both include this process.
func (v *View) MemberCounts() (alive, known int) {
	alive, known = 1, 1
	for _, e := range v.sorted {
		switch {
		case e.State == Alive:
			alive++
			known++
		case e.State == Suspect, e.State == Dead && e.listed:
			known++
		}
	}
	return alive, known
}

// ListedMember is one VM on the platform's list.
type ListedMember struct {
	ID            string
	Address       string
	Region        string
	FailureDomain string
	Leaving       bool
}

// OnList merges the platform's list. Since the list lags, it adds members and
// marks leaving ones, but never removes a live member.
func (v *View) OnList(now clock.Millis, list []ListedMember) {
	for _, e := range v.sorted {
		e.listed = false
	}
	for _, l := range list {
		if l.ID == v.self.ID {
			continue
		}
		e := v.members[l.ID]
		if e == nil {
			e = v.add(now, Member{ID: l.ID, Address: l.Address, Region: l.Region, FailureDomain: l.FailureDomain, State: Alive})
		}
		e.listed = true
		if e.Incarnation == 0 && e.Address != l.Address {
			e.Address = l.Address
			v.version++
		}
		if l.Leaving && e.Live() {
			v.changeState(now, e, Leaving, e.Incarnation)
		}
	}
	v.forgetGone(now)
}

// forgetGone removes dead and leaving members that are no longer listed, after
// Timing.ForgetAfter.
func (v *View) forgetGone(now clock.Millis) {
	for _, e := range slices.Clone(v.sorted) {
		if !e.Live() && !e.listed && now-e.changedAt >= v.config.Timing.ForgetAfter {
			v.remove(e.ID)
		}
	}
}

// Leave marks this process as leaving. Later updates from other members do not
// change that.
func (v *View) Leave() {
	if v.self.State == Leaving {
		return
	}
	v.self.State = Leaving
	v.self.Incarnation++
	v.version++
	v.updates.add(v.self)
}

// Self returns the current state of this process.
func (v *View) Self() Member {
	return v.self
}

func (v *View) add(now clock.Millis, m Member) *memberRecord {
	e := &memberRecord{Member: m, changedAt: now, domain: v.domainOf(m.FailureDomain)}
	v.members[m.ID] = e
	at, _ := slices.BinarySearchFunc(v.sorted, m.ID, compareID)
	v.sorted = slices.Insert(v.sorted, at, e)
	v.version++
	return e
}

func compareID(e *memberRecord, id string) int {
	return cmp.Compare(e.ID, id)
}

func (v *View) remove(id string) {
	delete(v.members, id)
	if at, found := slices.BinarySearchFunc(v.sorted, id, compareID); found {
		v.sorted = slices.Delete(v.sorted, at, at+1)
	}
	v.version++
}

// changeState sets the state and incarnation of a member and gossips the change.
func (v *View) changeState(now clock.Millis, e *memberRecord, state State, incarnation uint64) {
	v.setState(now, e, state, incarnation)
	v.updates.add(e.Member)
}

func (v *View) setState(now clock.Millis, e *memberRecord, state State, incarnation uint64) {
	e.State = state
	e.Incarnation = incarnation
	e.changedAt = now
	e.inferred = false
	if state == Suspect {
		e.deadline = now + v.suspicionTimeout()
	}
	v.version++
}

// suspicionTimeout returns how long a member has to refute a suspicion. The time
// in which the suspicion reaches the member and the refutation comes back grows
// with the logarithm of the fleet size.
func (v *View) suspicionTimeout() clock.Millis {
	doublings := max(bits.Len(uint(len(v.members)))-3, 0)
	return v.config.Timing.SuspicionTimeout + clock.Millis(doublings)*suspicionPerDoubling
}

// precedence orders the states of one incarnation: a state with a greater
// precedence replaces one with a smaller.
func precedence(s State) int {
	switch s {
	case Suspect:
		return 1
	case Leaving:
		return 2
	case Dead:
		return 3
	}
	return 0
}

// merge applies an update about a member.
func (v *View) merge(now clock.Millis, m Member) {
	if m.State == "" {
		return
	}
	if m.ID == v.self.ID {
		v.refute(m)
		return
	}
	e := v.members[m.ID]
	switch {
	case e != nil:
		v.mergeKnown(now, e, m)
	case m.Address != "" && m.State != Dead:
		v.changeState(now, v.add(now, m), m.State, m.Incarnation)
	}
}

func (v *View) mergeKnown(now clock.Millis, e *memberRecord, m Member) {
	newer := m.Incarnation > e.Incarnation
	if !newer && (m.Incarnation < e.Incarnation || precedence(m.State) <= precedence(e.gossipedState())) {
		return
	}
	if e.inferred && m.State == Suspect {
		return
	}
	known := e.Incarnation > 0
	addressChanged := m.Address != "" && m.Address != e.Address
	if newer && m.Address != "" {
		e.Address, e.Region, e.FailureDomain = m.Address, m.Region, m.FailureDomain
		e.domain = v.domainOf(m.FailureDomain)
	}
	if m.State == Alive && (e.inferred || e.State == Alive) {
		v.adoptIncarnation(e, m.Incarnation, known || addressChanged)
		return
	}
	v.changeState(now, e, m.State, m.Incarnation)
}

// gossipedState returns the state of the member; an inferred state counts as
// Alive.
func (e *memberRecord) gossipedState() State {
	if e.inferred {
		return Alive
	}
	return e.State
}

// adoptIncarnation sets the incarnation of a member without a change of state: an
// inferred state holds until the failure domain responds. The first incarnation
// of a listed member is not gossiped, which would cause a surge of updates at the
// start of a whole fleet.
func (v *View) adoptIncarnation(e *memberRecord, incarnation uint64, gossip bool) {
	e.Incarnation = incarnation
	v.version++
	if gossip {
		update := e.Member
		update.State = Alive
		v.updates.add(update)
	}
}

// refute raises the incarnation of this process if an update claims another state
// for it.
func (v *View) refute(m Member) {
	if m.Incarnation < v.self.Incarnation || m.Incarnation == v.self.Incarnation && precedence(m.State) <= precedence(v.self.State) {
		return
	}
	v.self.Incarnation = m.Incarnation + 1
	v.version++
	v.updates.add(v.self)
}

// SetAddress sets the address of this process. Call it before other members know
// the process.
func (v *View) SetAddress(address string) {
	v.self.Address = address
	v.version++
	v.updates.add(v.self)
}

// OnUpdates merges updates that were received outside of a probe.
func (v *View) OnUpdates(now clock.Millis, updates ...Member) {
	v.mergeAll(now, updates)
}
