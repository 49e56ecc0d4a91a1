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
	// SuspicionTimeout is the least time that a member has to refute a suspicion.
	// It grows with the logarithm of the fleet.
	SuspicionTimeout clock.Millis
	// ForgetAfter is how long a dead or leaving member that is not listed stays
	// in the view.
	ForgetAfter clock.Millis
	// MaxGossipBytes bounds the news within one message, in bytes.
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
	// helpers is how many members are asked to probe a target that did not
	// answer.
	helpers = 3
	// retransmitFactor times the logarithm of the fleet is how often each
	// piece of news is sent.
	retransmitFactor = 3
	// suspicionPerDoubling is added to the suspicion for each doubling of the
	// fleet beyond eight members.
	suspicionPerDoubling = 400 * clock.Millisecond
	// helpersInDomain is how many of them are in the target's failure domain.
	helpersInDomain = 2
	// deadOneIn is the part of the probes that goes to dead members, while
	// there are any.
	deadOneIn = 3
	// searchPeriod is how long after a failure domain fell silent searchProbes
	// are sent at each interval, to learn soon which others are silent.
	searchPeriod = 10 * clock.Second
	searchProbes = 4
	// pauseIntervals is the number of missed intervals from which this process
	// takes itself to have been paused.
	pauseIntervals = 4
)

// Config holds what a View depends on.
type Config struct {
	// Self is this process. Its incarnation must be greater than that of its
	// earlier runs, for instance the Unix time in milliseconds.
	Self   Member
	Timing Timing
	Rand   *rand.Rand
}

// Status is the state and incarnation of a member that both sides know.
type Status struct {
	State       State
	Incarnation uint64
}

// Probe asks a member whether it is alive.
type Probe struct {
	// Self is the sender.
	Self Status
	// You is what the sender believes of the receiver, unless it is Alive.
	You Status
	// News are members whose state changed lately.
	News []Member
}

// Ack answers a Probe.
type Ack struct {
	Self Status
	You  Status
	News []Member
	// Unknown says that the receiver of the probe does not know its sender.
	Unknown bool
}

// Action asks for a probe to be sent.
type Action struct {
	// Number identifies the probe in OnAck and OnFailed.
	Number uint64
	Target Member
	// Via is the member that is asked to probe Target; nil for a probe by
	// this process itself. OnFailed is told whether Via answered.
	Via   *Member
	Probe Probe
	// introduces says that the probe tells the target who the sender is.
	introduces bool
}

// entry is a member with what only this view knows of it.
type entry struct {
	Member
	domain *domain
	listed bool
	// changed is when the state changed.
	changed clock.Millis
	// deadline is when a suspicion becomes a death.
	deadline clock.Millis
	// inferred says that the state follows from the silence of the member's
	// whole failure domain. It is not spread, and taken back when any member
	// of the domain is heard.
	inferred bool
}

// domain is what the view knows of a failure domain.
type domain struct {
	// touched is when a member of it was last heard or probed.
	touched clock.Millis
	silent  bool
	// turns holds the members still to be probed in this round.
	turns []string
}

// outstanding is a probe that is not answered yet.
type outstanding struct {
	target string
	// indirect counts the helpers that have not answered.
	indirect int
	// domainAnswered says that a helper in the target's domain did answer.
	domainAnswered bool
	// domainAsked says that there was such a helper.
	domainAsked bool
}

// View is the view of one process. It is not safe for concurrent use.
type View struct {
	config  Config
	self    Member
	members map[string]*entry
	// order holds the members in the order of their ids.
	order   []*entry
	domains map[string]*domain
	far     bool
	// searching is until when searchProbes are sent at each interval.
	searching clock.Millis
	probes    map[uint64]*outstanding
	number    uint64
	news      newsQueue
	// version grows whenever Members changes.
	version  uint64
	lastTick clock.Millis
}

// New returns a view that holds only the process itself.
func New(config Config) *View {
	v := &View{
		config:  config,
		self:    config.Self,
		members: make(map[string]*entry),
		domains: make(map[string]*domain),
		probes:  make(map[uint64]*outstanding),
		news:    newNewsQueue(),
	}
	v.self.State = Alive
	v.news.add(v.self)
	return v
}

// Version grows whenever what Members returns changes.
func (v *View) Version() uint64 {
	return v.version
}

// Members returns all members of the view in the order of their ids, this
// process included.
func (v *View) Members() []Member {
	all := make([]Member, 0, len(v.members)+1)
	selfAt, _ := slices.BinarySearchFunc(v.order, v.self.ID, compareID)
	for _, e := range v.order {
		all = append(all, e.Member)
	}
	return slices.Insert(all, selfAt, v.self)
}

// MemberCounts returns how many members are alive, and how many should be: those, the
// suspect ones, and the dead ones that the list still names. This process
// counts.
func (v *View) MemberCounts() (alive, known int) {
	alive, known = 1, 1
	for _, e := range v.order {
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

// ListedMember is one entry of the platform's list.
type ListedMember struct {
	ID            string
	Address       string
	Region        string
	FailureDomain string
	Leaving       bool
}

// OnList merges the platform's list. It lags: it adds members and marks
// leaving ones, but takes none away that is alive.
func (v *View) OnList(now clock.Millis, list []ListedMember) {
	for _, e := range v.order {
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
			v.change(now, e, Leaving, e.Incarnation)
		}
	}
	v.forget(now)
}

// forget drops members that are gone from the fleet and from the list.
func (v *View) forget(now clock.Millis) {
	for _, e := range slices.Clone(v.order) {
		if !e.Live() && !e.listed && now-e.changed >= v.config.Timing.ForgetAfter {
			v.remove(e.ID)
		}
	}
}

// Leave marks this process as leaving. It stays so, whatever others say.
func (v *View) Leave() {
	if v.self.State == Leaving {
		return
	}
	v.self.State = Leaving
	v.self.Incarnation++
	v.version++
	v.news.add(v.self)
}

// Self returns this process as it describes itself now.
func (v *View) Self() Member {
	return v.self
}

func (v *View) add(now clock.Millis, m Member) *entry {
	e := &entry{Member: m, changed: now, domain: v.domain(m.FailureDomain)}
	v.members[m.ID] = e
	at, _ := slices.BinarySearchFunc(v.order, m.ID, compareID)
	v.order = slices.Insert(v.order, at, e)
	v.version++
	return e
}

func compareID(e *entry, id string) int {
	return cmp.Compare(e.ID, id)
}

func (v *View) remove(id string) {
	delete(v.members, id)
	if at, found := slices.BinarySearchFunc(v.order, id, compareID); found {
		v.order = slices.Delete(v.order, at, at+1)
	}
	v.version++
}

// change sets the state and incarnation of a member and spreads the news.
func (v *View) change(now clock.Millis, e *entry, state State, incarnation uint64) {
	v.set(now, e, state, incarnation)
	v.news.add(e.Member)
}

func (v *View) set(now clock.Millis, e *entry, state State, incarnation uint64) {
	e.State = state
	e.Incarnation = incarnation
	e.changed = now
	e.inferred = false
	if state == Suspect {
		e.deadline = now + v.suspicion()
	}
	v.version++
}

// suspicion is how long a member has to refute: news needs a time that grows
// with the logarithm of the fleet to reach it and to come back.
func (v *View) suspicion() clock.Millis {
	doublings := max(bits.Len(uint(len(v.members)))-3, 0)
	return v.config.Timing.SuspicionTimeout + clock.Millis(doublings)*suspicionPerDoubling
}

// rankOf orders the states of the same incarnation: a greater one replaces a
// smaller one.
func rankOf(s State) int {
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

// merge takes over news of a member.
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
		v.change(now, v.add(now, m), m.State, m.Incarnation)
	}
}

func (v *View) mergeKnown(now clock.Millis, e *entry, m Member) {
	newer := m.Incarnation > e.Incarnation
	if !newer && (m.Incarnation < e.Incarnation || rankOf(m.State) <= rankOf(e.spread())) {
		return
	}
	if e.inferred && m.State == Suspect {
		return
	}
	known := e.Incarnation > 0
	moved := m.Address != "" && m.Address != e.Address
	if newer && m.Address != "" {
		e.Address, e.Region, e.FailureDomain = m.Address, m.Region, m.FailureDomain
		e.domain = v.domain(m.FailureDomain)
	}
	if m.State == Alive && (e.inferred || e.State == Alive) {
		v.adopt(e, m.Incarnation, known || moved)
		return
	}
	v.change(now, e, m.State, m.Incarnation)
}

// spread returns the state of the member without what is only inferred.
func (e *entry) spread() State {
	if e.inferred {
		return Alive
	}
	return e.State
}

// adopt takes over the incarnation of a member without a change of state: what
// is inferred of it holds until its failure domain is heard. The first
// incarnation of a listed member is no news, or the start of a whole fleet
// would be a storm of it.
func (v *View) adopt(e *entry, incarnation uint64, news bool) {
	e.Incarnation = incarnation
	v.version++
	if news {
		spread := e.Member
		spread.State = Alive
		v.news.add(spread)
	}
}

// refute answers news that this process is not what it says it is.
func (v *View) refute(m Member) {
	if m.Incarnation < v.self.Incarnation || m.Incarnation == v.self.Incarnation && rankOf(m.State) <= rankOf(v.self.State) {
		return
	}
	v.self.Incarnation = m.Incarnation + 1
	v.version++
	v.news.add(v.self)
}

// SetAddress sets the address of this process, before others have learned it.
func (v *View) SetAddress(address string) {
	v.self.Address = address
	v.version++
	v.news.add(v.self)
}

// OnUpdates reports news that came outside of a probe.
func (v *View) OnUpdates(now clock.Millis, news ...Member) {
	v.mergeAll(now, news)
}
