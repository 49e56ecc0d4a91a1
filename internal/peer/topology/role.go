package topology

import (
	"math"
	"slices"

	"github.com/banyanshift/banyanshift/coord/clock"
)

const (
	// domainContacts is the number of live VMs of its own failure domain that a
	// daemon contacts, and remoteContacts the number of live VMs of each other
	// domain that a root contacts.
	domainContacts = 3
	remoteContacts = 2
	// domainGrowth and remoteGrowth are the numbers of further VMs that are
	// contacted for each one that failed.
	domainGrowth = 4
	remoteGrowth = 4
	// storeFollowers is the number of daemons of the fleet that follow the store. The
	// others learn of changes from them.
	storeFollowers = 3
	// unranked is the rank of a daemon that does not know its place in the fleet.
	unranked = math.MaxInt
	// maxUnconfirmed is the age of a view from which all roots follow the store: the
	// followers may be refused by the store or may have failed. standInDelay is how much
	// older it must be for each further VM of the domain, up to standIns of them, since the
	// ones before may not know that they are out of contact with the store.
	maxUnconfirmed = 2500 * clock.Millisecond
	standInDelay   = 500 * clock.Millisecond
	standIns       = 3
	// standInTime is how long a daemon goes on to follow the store that has begun for the age
	// of its view. Its own first read makes the view recent again, while the VMs before may
	// still wait for a call that hangs, for 5 s at most.
	standInTime = 6 * clock.Second
)

// Contacts returns the addresses to ping, sorted.
func (v *View) Contacts(now clock.Millis) []string {
	contacts := window(now, v.domains[v.self.FailureDomain], domainContacts, domainGrowth)
	if !mayPrecede(now, v.preceding()) {
		for _, name := range v.otherDomains() {
			contacts = append(contacts, window(now, v.domains[name], remoteContacts, remoteGrowth)...)
		}
	}
	for address, c := range v.candidates {
		if !c.identified {
			contacts = append(contacts, address)
		}
	}
	slices.Sort(contacts)
	return contacts
}

// mayPrecede reports whether news may come from a VM of the list.
func mayPrecede(now clock.Millis, list []*candidate) bool {
	return slices.ContainsFunc(list, func(c *candidate) bool { return c.newsState(now) != failed })
}

// window returns the first VMs of a list until a number of responding ones, not counting
// late ones, is among them. It leaves out undecided VMs beyond that number plus growth for each one that
// failed.
func window(now clock.Millis, list []*candidate, live, growth int) (addresses []string) {
	maxUndecidedVMs := live
	for _, c := range list {
		if live == 0 {
			break
		}
		switch c.newsState(now) {
		case responding:
			live--
		case failed:
			maxUndecidedVMs += growth
		case undecided:
			if maxUndecidedVMs == 0 {
				continue
			}
			maxUndecidedVMs--
		}
		addresses = append(addresses, c.Address)
	}
	return addresses
}

// otherDomains returns the names of the other failure domains, sorted.
func (v *View) otherDomains() (names []string) {
	for name := range v.domains {
		if name != v.self.FailureDomain {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// preceding returns the candidates of the own domain that precede this daemon in
// the order.
func (v *View) preceding() []*candidate {
	list := v.domains[v.self.FailureDomain]
	if v.stopping {
		return list
	}
	place, _ := slices.BinarySearchFunc(list, v.self, func(c *candidate, self VM) int { return compare(c.VM, self) })
	return list[:place]
}

// rank returns how many VMs that precede this daemon in its domain may be alive.
func (v *View) rank(now clock.Millis) (rank int) {
	for _, c := range v.preceding() {
		if c.state(now) != failed {
			rank++
		}
	}
	return rank
}

// IsRoot reports whether this daemon is the root of its failure domain, as far as
// it knows.
func (v *View) IsRoot(now clock.Millis) bool {
	return v.rank(now) == 0
}

// Upstream returns the address of the daemon to follow. found is false for a root,
// and while no VM that precedes this one has answered.
func (v *View) Upstream(now clock.Millis) (address string, found bool) {
	c := firstResponding(now, v.preceding())
	if c == nil {
		return "", false
	}
	return c.Address, true
}

// Path identifies the way of reports to the root: the upstream and the one that it
// follows itself. When the path changes, reports may have been lost on the old one.
func (v *View) Path(now clock.Millis) string {
	c := firstResponding(now, v.preceding())
	if c == nil {
		return ""
	}
	return c.Address + " " + c.status.Follows
}

// UpstreamVM returns the VM to follow, which this daemon names to those that contact
// it.
func (v *View) UpstreamVM(now clock.Millis) (vm VM, found bool) {
	c := firstResponding(now, v.preceding())
	if c == nil {
		return VM{}, false
	}
	return c.VM, true
}

// Keepers returns the addresses of the daemons that keep what this one must not be the
// only one to know: the first ones of its domain that respond, and for a root the root
// of the next domain. Those that follow the same root ask one of them.
func (v *View) Keepers(now clock.Millis) (addresses []string) {
	for _, c := range v.domains[v.self.FailureDomain] {
		if c.state(now) == responding && len(addresses) < domainContacts {
			addresses = append(addresses, c.Address)
		}
	}
	if next, found := v.NextRoot(now); found {
		addresses = append(addresses, next)
	}
	return addresses
}

// NextRoot returns the address of the root of the next failure domain in a ring. found is
// false for a daemon that is not a root, and if no other root responds.
func (v *View) NextRoot(now clock.Millis) (address string, found bool) {
	if !v.IsRoot(now) {
		return "", false
	}
	first := ""
	for _, name := range v.otherDomains() {
		c := firstResponding(now, v.domains[name])
		switch {
		case c == nil:
		case name > v.self.FailureDomain:
			return c.Address, true
		case first == "":
			first = c.Address
		}
	}
	return first, first != ""
}

// LacksContact reports whether this daemon should look for further VMs: it reaches
// no other one, or it is a root and reaches none of a failure domain that it knows.
func (v *View) LacksContact(now clock.Millis) bool {
	if v.IsRoot(now) {
		for _, list := range v.domains {
			if !mayHaveRoot(now, list) {
				return true
			}
		}
	}
	for _, list := range v.domains {
		if firstResponding(now, list) != nil {
			return false
		}
	}
	return true
}

func firstResponding(now clock.Millis, list []*candidate) *candidate {
	return firstInState(now, list, (*candidate).state, responding)
}

func firstInState(now clock.Millis, list []*candidate, stateOf stateFunc, wanted state) *candidate {
	for _, c := range list {
		if stateOf(c, now) == wanted {
			return c
		}
	}
	return nil
}

// RemoteRoots returns the address of the first VM that responds in each other
// failure domain. Only a root contacts other domains.
func (v *View) RemoteRoots(now clock.Millis) (addresses []string) {
	if !v.IsRoot(now) {
		return nil
	}
	for _, name := range v.otherDomains() {
		if c := firstResponding(now, v.domains[name]); c != nil {
			addresses = append(addresses, c.Address)
		}
	}
	return addresses
}

// AwaitsRemoteRoots reports whether this daemon is a root that no root of another failure
// domain has answered yet, though some may. That is so for a moment after a takeover.
func (v *View) AwaitsRemoteRoots(now clock.Millis) bool {
	if !v.IsRoot(now) || len(v.RemoteRoots(now)) > 0 {
		return false
	}
	return slices.ContainsFunc(v.otherDomains(), func(name string) bool {
		return firstInState(now, v.domains[name], (*candidate).state, undecided) != nil
	})
}

// LeaderRank returns the place of this daemon in the order of the whole fleet:
// the roots by the name of their domain, then the daemons that come next in each
// domain. Daemons with a low rank do the work with the store of which a few suffice;
// those that cannot use the store do not count.
//
// A daemon has no place yet, and its rank is unranked, while it waits for the first answer
// of any VM, or of one that may precede it.
func (v *View) LeaderRank(now clock.Millis) int {
	if !v.HasRank(now) {
		return unranked
	}
	return v.leaderRank(now, (*candidate).state)
}

// HasRank reports whether this daemon knows its place in the order of the fleet.
func (v *View) HasRank(now clock.Millis) bool {
	preceding := v.preceding()
	mayFollow := firstInState(now, preceding, (*candidate).state, undecided) != nil
	return !v.awaitsFirstAnswer(now) && (!mayFollow || firstResponding(now, preceding) != nil)
}

// awaitsFirstAnswer reports whether no VM has answered yet, though some may.
func (v *View) awaitsFirstAnswer(now clock.Millis) bool {
	awaited := false
	for _, c := range v.candidates {
		if c.everAnswered {
			return false
		}
		awaited = awaited || c.state(now) == undecided
	}
	return awaited
}

// stateFunc is candidate.state or candidate.newsState.
type stateFunc func(c *candidate, now clock.Millis) state

func (v *View) leaderRank(now clock.Millis, stateOf stateFunc) int {
	upstream := firstInState(now, v.preceding(), stateOf, responding)
	usable := 0
	for _, c := range v.preceding() {
		if stateOf(c, now) != failed && !c.status.StoreUnavailable {
			usable++
		}
	}
	switch {
	case upstream == nil && usable == 0:
		return v.rootRank(now, stateOf)
	case upstream == nil:
		return usable
	case usable == 0:
		// The daemons that precede this one are alive but cannot use the store.
		return upstream.status.UsableRoots
	}
	return usable * max(upstream.status.Domains, 1)
}

// FollowsStore reports whether the daemon is to follow the store, if what it holds of
// the store was last confirmed at a time. It takes the place of VMs that are late, and of
// those that say that they use the store while nobody's confirmation is recent.
// It records that this daemon begins to do so, since it goes on for standInTime.
func (v *View) FollowsStore(now, confirmedAt clock.Millis) bool {
	if v.leaderRank(now, (*candidate).newsState) < storeFollowers {
		return true
	}
	place := v.rank(now)
	if now-confirmedAt > maxUnconfirmed+clock.Millis(place)*standInDelay {
		v.standsInUntil = now + standInTime
	}
	return place <= standIns && now < v.standsInUntil
}

// NewsIsLate reports whether the VM that this daemon follows is late, or for a root one
// that it follows in another failure domain. The daemon should then ask others often.
func (v *View) NewsIsLate(now clock.Millis) bool {
	if c := firstResponding(now, v.preceding()); c != nil {
		return c.isLate(now)
	}
	return slices.ContainsFunc(v.otherDomains(), func(name string) bool {
		c := firstResponding(now, v.domains[name])
		return c != nil && c.isLate(now)
	})
}

// rootRank returns the place of a root among the roots.
func (v *View) rootRank(now clock.Millis, stateOf stateFunc) (rank int) {
	for _, name := range v.otherDomains() {
		if name < v.self.FailureDomain && mayUseStore(now, v.domains[name], stateOf) {
			rank++
		}
	}
	return rank
}

// mayUseStore reports whether the root of a failure domain can use the store, or has
// not been contacted yet. If a VM of the domain has failed, the undecided ones do not
// count, since a lost domain has many.
func mayUseStore(now clock.Millis, list []*candidate, stateOf stateFunc) bool {
	if c := firstInState(now, list, stateOf, responding); c != nil {
		return !c.status.StoreUnavailable
	}
	return firstInState(now, list, stateOf, failed) == nil
}

func mayHaveRoot(now clock.Millis, list []*candidate) bool {
	return slices.ContainsFunc(list, func(c *candidate) bool { return c.state(now) != failed })
}

// Connected reports whether this daemon reaches most of the daemons that it
// contacts, or follows one that does.
func (v *View) Connected(now clock.Millis) bool {
	if c := firstResponding(now, v.preceding()); c != nil {
		return c.status.Connected
	}
	known, reached := 0, 0
	for _, c := range v.candidates {
		if !c.everAnswered {
			continue
		}
		known++
		if c.state(now) == responding {
			reached++
		}
	}
	return 2*reached >= known
}

// Status returns what this daemon says of itself.
func (v *View) Status(now clock.Millis) Status {
	status := Status{Stopping: v.stopping, StoreUnavailable: v.storeUnavailable, Connected: v.Connected(now), Domains: 1}
	status.DomainDaemons = v.SubtreeSize()
	if c := firstResponding(now, v.preceding()); c != nil {
		status.Follows = c.Address
		status.Daemons = max(c.status.Daemons, status.DomainDaemons+1)
		status.DomainDaemons = max(c.status.DomainDaemons, status.DomainDaemons+1)
		status.Domains, status.UsableRoots = max(c.status.Domains, 1), c.status.UsableRoots
		return status
	}
	status.Daemons = status.DomainDaemons
	if !v.storeUnavailable {
		status.UsableRoots++
	}
	for _, name := range v.otherDomains() {
		if c := firstResponding(now, v.domains[name]); c != nil {
			status.Domains++
			if !c.status.StoreUnavailable {
				status.UsableRoots++
			}
			status.Daemons += max(c.status.DomainDaemons, 1)
		}
	}
	return status
}

// SubtreeSize returns the number of daemons that this daemon speaks for, itself
// included.
func (v *View) SubtreeSize() int {
	size := 1
	for _, s := range v.subscribers {
		size += s.daemons
	}
	return size
}
