package follow

import "github.com/banyanshift/banyanshift/coord/clock"

// freshness records how current the applied configuration is. Its times only
// increase.
type freshness struct {
	// started is set once a known head of the log is applied.
	started bool
	// freshAsOf is a time such that every change accepted before it is
	// applied.
	freshAsOf    clock.Millis
	hasFreshAsOf bool
	// lastContact is a time such that all changes that the last peer to answer
	// had applied by then are applied here.
	lastContact clock.Millis
	hasContact  bool
	// storeReadAt is the time at which the last successful read of the store
	// started.
	storeReadAt  clock.Millis
	hasStoreRead bool
}

func (f *freshness) age(now clock.Millis) (clock.Millis, bool) {
	if !f.hasFreshAsOf {
		return 0, false
	}
	return now - f.freshAsOf, true
}

func (f *freshness) advanceFreshAsOf(instant clock.Millis) {
	f.started = true
	if !f.hasFreshAsOf || instant > f.freshAsOf {
		f.freshAsOf = instant
		f.hasFreshAsOf = true
	}
}

func (f *freshness) advanceContact(instant clock.Millis) {
	if !f.hasContact || instant > f.lastContact {
		f.lastContact = instant
		f.hasContact = true
	}
}

func (f *freshness) recordStoreRead(instant clock.Millis) {
	f.advanceFreshAsOf(instant)
	if !f.hasStoreRead || instant > f.storeReadAt {
		f.storeReadAt = instant
		f.hasStoreRead = true
	}
}
