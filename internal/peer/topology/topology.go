// Package topology decides which daemons a daemon talks to, so that neither its
// connections nor its messages grow with the number of daemons in the fleet.
//
// The daemons of each failure domain form a tree. All daemons order the VMs of a
// domain in the same way: by capacity, then by ID. The first one that responds is
// the root of its domain, and is the upstream of the others: they subscribe to
// it. Roots talk to the roots of the other domains. A daemon contacts the first
// few VMs of its domain, so that it already knows the next root when the root
// fails. If the VMs that it contacts fail, it contacts several times as many, so
// that the time until a live one is found grows with the logarithm of the size of
// the domain at most, whatever the number of VMs that fail at once.
//
// A VM that is late with an answer stays in its place until it counts as failed, since
// moving subscriptions costs messages. Until then, the daemons that follow it ask others
// for news, as if it had failed: see newsState.
//
// Nothing is agreed on. Daemons with different views may follow different roots
// for a while, and two daemons may both act as the root of a domain. Subscriptions
// only go to VMs that precede the subscriber in the order, so there is no cycle.
//
// The package is pure: it has no clock, lock or goroutine of its own.
//
// # Usage
//
//	v := topology.New(self)
//	v.Add(now, vm)
//	for _, address := range v.Contacts(now) { ... ping it ... }
//	v.RecordAnswer(now, address, vm, status)
//	v.RecordFailure(now, address)
//	upstream, found := v.Upstream(now)
package topology

import (
	"cmp"
	"slices"
	"strings"

	"github.com/banyanshift/banyanshift/coord/clock"
)

const (
	// maxFailures is the number of consecutive failed pings after which a VM that
	// has answered before counts as failed.
	maxFailures = 2
	// maxSilence is the age of the last answer from which a VM counts as failed.
	maxSilence = 3 * clock.Second
	// maxLateness is the age of the last answer from which a VM counts as late. It is
	// still followed, but others are asked for news as well.
	maxLateness = clock.Second
	// maxUndecided is how long a VM that was contacted and has neither answered
	// nor failed counts as possibly alive.
	maxUndecided = 1500 * clock.Millisecond
	// RemoveAfter is how long a contacted VM may be silent before it is removed.
	RemoveAfter = 20 * clock.Second
	// removedMemory is how long reports of others about a removed VM are ignored.
	removedMemory = clock.Minute
	// subscriptionTime is how long a subscription lasts that is not renewed.
	subscriptionTime = 3 * clock.Second
	// maxListedPerDomain limits the VMs that are kept of each other domain.
	maxListedPerDomain = 8
)

// VM is a daemon and where it listens. It is also the value of a row of the table.
type VM struct {
	ID            string
	Address       string
	FailureDomain string
	// Capacity is the VM's share of a processor core. VMs with more capacity are
	// preferred as roots.
	Capacity float64
}

// compare orders the VMs of a failure domain.
func compare(a, b VM) int {
	switch {
	case a.Capacity != b.Capacity && a.Capacity > b.Capacity:
		return -1
	case a.Capacity != b.Capacity:
		return 1
	case a.ID != b.ID:
		return strings.Compare(a.ID, b.ID)
	}
	return strings.Compare(a.Address, b.Address)
}

// Status is what a daemon says of itself in each answer.
type Status struct {
	// Stopping daemons are shutting down and must not be followed.
	Stopping bool
	// StoreUnavailable is set while the store does not answer the daemon, or refuses
	// its calls.
	StoreUnavailable bool
	// Connected is set if the daemon reaches most of the daemons that it contacts.
	Connected bool
	// Follows is the address of the daemon's own upstream, "" if it has none.
	Follows string
	// Daemons is the size of the fleet, and DomainDaemons that of the daemon's
	// failure domain, as far as the daemon knows.
	Daemons       int
	DomainDaemons int
	// Domains is the number of failure domains with a root, the daemon's own
	// included, and UsableRoots the number of those whose root can use the store.
	Domains     int
	UsableRoots int
}

// candidate is another VM.
type candidate struct {
	VM
	// identified is false for an address of which only the address is known.
	identified bool
	// heard is set once the VM has sent a ping or an answer to this daemon or to
	// one that follows it.
	heard  bool
	status Status

	addedAt      clock.Millis
	contactedAt  clock.Millis
	contacted    bool
	everAnswered bool
	lastAnswer   clock.Millis
	failures     int
}

type state int

const (
	undecided state = iota
	responding
	failed
)

// isSilent reports whether a VM that has answered before does not answer now.
func (c *candidate) isSilent(now clock.Millis) bool {
	return c.failures >= maxFailures || now-c.lastAnswer > maxSilence
}

func (c *candidate) state(now clock.Millis) state {
	switch {
	case c.status.Stopping:
		return failed
	case c.everAnswered && !c.isSilent(now):
		return responding
	case c.everAnswered || c.failures > 0 || (c.contacted && now-c.contactedAt > maxUndecided):
		return failed
	}
	return undecided
}

// isLate reports whether a VM that responds has not done so for some time.
func (c *candidate) isLate(now clock.Millis) bool {
	return c.state(now) == responding && now-c.lastAnswer > maxLateness
}

// newsState is the state of a VM as a source of news: one that is late is failed.
func (c *candidate) newsState(now clock.Millis) state {
	if c.isLate(now) {
		return failed
	}
	return c.state(now)
}

// subscriber is a daemon that follows this one.
type subscriber struct {
	renewedAt clock.Millis
	// daemons is the number of daemons that it speaks for, itself included.
	daemons int
}

// View is what a daemon knows of the others. It is not safe for concurrent use.
type View struct {
	self             VM
	stopping         bool
	storeUnavailable bool
	// standsInUntil is until when this daemon follows the store since its view was old.
	standsInUntil clock.Millis
	candidates    map[string]*candidate
	// domains holds the identified candidates of each failure domain in order.
	domains     map[string][]*candidate
	removed     map[string]clock.Millis
	subscribers map[string]subscriber
}

// New returns the View of a daemon that knows no other.
func New(self VM) *View {
	return &View{
		self: self, candidates: make(map[string]*candidate), domains: make(map[string][]*candidate),
		removed: make(map[string]clock.Millis), subscribers: make(map[string]subscriber),
	}
}

// WasRemoved reports whether a VM was removed because it was silent for too long.
func (v *View) WasRemoved(address string) bool {
	_, found := v.removed[address]
	return found
}

// SetStopping makes the daemon follow the others of its domain, whatever its place
// in the order.
func (v *View) SetStopping() {
	v.stopping = true
}

// SetStoreUnavailable records whether the store can be used.
func (v *View) SetStoreUnavailable(unavailable bool) {
	v.storeUnavailable = unavailable
}

// AddAddress adds the address of a VM of which nothing else is known.
func (v *View) AddAddress(now clock.Millis, address string) {
	if address != v.self.Address && v.candidates[address] == nil {
		v.candidates[address] = &candidate{VM: VM{Address: address}, addedAt: now}
	}
}

// Add adds a VM that another daemon or the table reports.
func (v *View) Add(now clock.Millis, vm VM) {
	if removedAt, wasRemoved := v.removed[vm.Address]; wasRemoved && now-removedAt < removedMemory {
		return
	}
	v.identify(now, vm, false)
}

// AddFollowed adds a VM that another daemon follows, and that is thus alive.
func (v *View) AddFollowed(now clock.Millis, vm VM) {
	v.identify(now, vm, true)
}

// RecordPing records a ping of another daemon, and whether that daemon subscribes
// to this one on behalf of a number of daemons.
func (v *View) RecordPing(now clock.Millis, vm VM, subscribes bool, daemons int) {
	c := v.identify(now, vm, true)
	if c != nil && c.state(now) == failed {
		// The VM is alive; contact it again.
		c.failures, c.everAnswered, c.contacted = 0, false, false
		c.status, c.addedAt = Status{}, now
	}
	if !subscribes {
		delete(v.subscribers, vm.Address)
		return
	}
	v.subscribers[vm.Address] = subscriber{renewedAt: now, daemons: max(daemons, 1)}
}

// identify adds or updates a VM; heard is set if the VM is known to be alive. It
// returns nil for the daemon's own VM and for one beyond the limit of another domain.
func (v *View) identify(now clock.Millis, vm VM, heard bool) *candidate {
	if vm.Address == v.self.Address {
		return nil
	}
	delete(v.removed, vm.Address)
	c := v.candidates[vm.Address]
	if c == nil {
		c = &candidate{addedAt: now}
		v.candidates[vm.Address] = c
	}
	c.heard = c.heard || heard
	if c.identified && c.VM == vm {
		return c
	}
	if c.identified {
		v.unlist(c)
	}
	c.VM, c.identified = vm, true
	return v.list(now, c)
}

// list inserts an identified candidate into its domain. If another domain has no
// room, one VM is dropped; list returns nil if that is the candidate itself.
func (v *View) list(now clock.Millis, c *candidate) *candidate {
	domain := c.FailureDomain
	list := v.domains[domain]
	place, _ := slices.BinarySearchFunc(list, c, func(a, b *candidate) int { return compare(a.VM, b.VM) })
	list = slices.Insert(list, place, c)
	v.domains[domain] = list
	if domain == v.self.FailureDomain || len(list) <= maxListedPerDomain {
		return c
	}
	dropped := leastUseful(now, list, c)
	delete(v.candidates, dropped.Address)
	v.unlist(dropped)
	if dropped == c {
		return nil
	}
	return c
}

// leastUseful returns the last VM that failed, or else the added one if it is only
// known from others, or else the last one that is.
func leastUseful(now clock.Millis, list []*candidate, added *candidate) *candidate {
	var lastFailed, lastUnheard *candidate
	for _, c := range list {
		if c.state(now) == failed {
			lastFailed = c
		}
		if !c.heard {
			lastUnheard = c
		}
	}
	if lastFailed == nil && !added.heard {
		return added
	}
	return cmp.Or(lastFailed, lastUnheard, list[len(list)-1])
}

func (v *View) unlist(c *candidate) {
	list := slices.DeleteFunc(v.domains[c.FailureDomain], func(other *candidate) bool { return other == c })
	if len(list) == 0 {
		delete(v.domains, c.FailureDomain)
		return
	}
	v.domains[c.FailureDomain] = list
}

// RecordContact records that a VM is about to be pinged.
func (v *View) RecordContact(now clock.Millis, address string) {
	if c := v.candidates[address]; c != nil && !c.contacted {
		c.contacted, c.contactedAt = true, now
	}
}

// RecordRelease records that a VM is no longer pinged, so that its silence says nothing.
func (v *View) RecordRelease(address string) {
	if c := v.candidates[address]; c != nil {
		c.contacted, c.everAnswered, c.failures, c.status = false, false, 0, Status{}
	}
}

// RecordAnswer records the answer of a VM to a ping. It reports whether the VM
// counted as failed before.
func (v *View) RecordAnswer(now clock.Millis, address string, vm VM, status Status) (recovered bool) {
	vm.Address = address
	c := v.identify(now, vm, true)
	if c == nil {
		return false
	}
	recovered = c.everAnswered && c.isSilent(now)
	c.everAnswered, c.lastAnswer, c.failures, c.status = true, now, 0, status
	return recovered
}

// RecordFailure records that a VM did not answer a ping. It reports whether the
// VM has just started to count as failed.
func (v *View) RecordFailure(now clock.Millis, address string) (lost bool) {
	c := v.candidates[address]
	if c == nil {
		return false
	}
	before := c.state(now)
	c.failures++
	return before == responding && c.state(now) == failed
}

// Expire removes the contacted VMs that have been silent for too long, and the
// subscriptions that were not renewed. It returns the removed VMs.
func (v *View) Expire(now clock.Millis) (removed []VM) {
	for address, c := range v.candidates {
		silentSince := max(c.addedAt, c.lastAnswer)
		if c.contacted && c.state(now) == failed && now-silentSince > RemoveAfter {
			delete(v.candidates, address)
			v.unlist(c)
			v.removed[address] = now
			removed = append(removed, c.VM)
		}
	}
	for address, s := range v.subscribers {
		if now-s.renewedAt > subscriptionTime {
			delete(v.subscribers, address)
		}
	}
	for address, removedAt := range v.removed {
		if now-removedAt > removedMemory {
			delete(v.removed, address)
		}
	}
	return removed
}

// List returns the known VMs: all of the failure domain named, and the first ones
// of each other domain.
func (v *View) List(domain string) []VM {
	vms := []VM{v.self}
	for name, list := range v.domains {
		for i, c := range list {
			if name == domain || i < maxListedPerDomain {
				vms = append(vms, c.VM)
			}
		}
	}
	return vms
}

// Living returns the other known VMs that have not failed and are not stopping, as far as
// this daemon knows.
func (v *View) Living(now clock.Millis) (vms []VM) {
	for _, list := range v.domains {
		vms = append(vms, living(now, list)...)
	}
	return vms
}

// living returns the VMs of a list that have not failed and are not stopping, in order.
func living(now clock.Millis, list []*candidate) (vms []VM) {
	for _, c := range list {
		if c.state(now) != failed {
			vms = append(vms, c.VM)
		}
	}
	return vms
}

// Subscribers returns the addresses of the daemons that follow this one.
func (v *View) Subscribers() []string {
	addresses := make([]string, 0, len(v.subscribers))
	for address := range v.subscribers {
		addresses = append(addresses, address)
	}
	slices.Sort(addresses)
	return addresses
}

// SubscribedVMs returns the VMs of the daemons that follow this one, and its own.
func (v *View) SubscribedVMs() []VM {
	vms := []VM{v.self}
	for _, address := range v.Subscribers() {
		if c := v.candidates[address]; c != nil && c.identified {
			vms = append(vms, c.VM)
		}
	}
	return vms
}
