package follow

import "github.com/banyanshift/banyanshift/coord/clock"

// freshness says how much this daemon knows of what was accepted elsewhere.
// Its instants only move forward.
type freshness struct {
	// started says that a head of the log is known and applied.
	started bool
	// evidence is an instant such that every change accepted before it is
	// applied.
	evidence    clock.Millis
	hasEvidence bool
	// contact is an instant such that everything is applied that the peer
	// which answered last knew then.
	contact    clock.Millis
	hasContact bool
	// storeAnswered is when the last successful read of the store began.
	storeAnswered    clock.Millis
	hasStoreAnswered bool
}

func (f *freshness) age(now clock.Millis) (clock.Millis, bool) {
	if !f.hasEvidence {
		return 0, false
	}
	return now - f.evidence, true
}

func (f *freshness) addEvidence(instant clock.Millis) {
	f.started = true
	if !f.hasEvidence || instant > f.evidence {
		f.evidence = instant
		f.hasEvidence = true
	}
}

func (f *freshness) addContact(instant clock.Millis) {
	if !f.hasContact || instant > f.contact {
		f.contact = instant
		f.hasContact = true
	}
}

func (f *freshness) addStoreAnswer(instant clock.Millis) {
	f.addEvidence(instant)
	if !f.hasStoreAnswered || instant > f.storeAnswered {
		f.storeAnswered = instant
		f.hasStoreAnswered = true
	}
}
