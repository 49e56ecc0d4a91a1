package crashnews

import (
	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/decide/quarantine"
)

// The messages are encoded as maps, so that fields can be added: a daemon ignores those that
// it does not know.

// news carries what a daemon has learned of crashes.
type news struct {
	Crashes []crash
	Cleared []clearance
}

// crash is a quarantine.Crash that happened Age before this message.
type crash struct {
	Endpoint        string
	Incarnation     int64
	Backend         string
	SoftwareVersion string
	Age             clock.Millis
	Requests        [][]quarantine.Digest
	Cleared         []quarantine.Digest
	Alive           bool
}

func newCrash(now clock.Millis, c quarantine.Crash) crash {
	return crash{
		Endpoint: c.Endpoint, Incarnation: c.Incarnation, Backend: c.Backend, SoftwareVersion: c.SoftwareVersion,
		Age: now - c.At, Requests: c.Requests, Cleared: c.Cleared, Alive: c.Alive,
	}
}

func (c crash) crash(now clock.Millis) quarantine.Crash {
	return quarantine.Crash{
		Endpoint: c.Endpoint, Incarnation: c.Incarnation, Backend: c.Backend, SoftwareVersion: c.SoftwareVersion,
		At: now - c.Age, Requests: c.Requests, Cleared: c.Cleared, Alive: c.Alive,
	}
}

// clearance tells that a digest was found to be sound, Age before this message.
type clearance struct {
	Digest quarantine.Digest
	Age    clock.Millis
}

// bookRequest asks for all that a daemon knows. The answer is news.
type bookRequest struct{}

// trialRequest asks for the permit to try a request with digests under suspicion, which ends
// within Lifetime.
type trialRequest struct {
	Digests  []quarantine.Digest
	Lifetime clock.Millis
}

// trialAnswer answers a trialRequest.
type trialAnswer struct {
	Granted bool
}

// trialEnd tells that a trial has ended.
type trialEnd struct {
	Digests []quarantine.Digest
}
