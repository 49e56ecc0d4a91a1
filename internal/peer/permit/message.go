package permit

import (
	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/decide/strain"
)

// Terms is the terms that an incarnation of an endpoint stated, Age before this message. It
// is a part of the reports between daemons.
type Terms struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	ID                string
	Incarnation       int64
	RequestsPerSecond float64
	RefusalsPerSecond float64
	Age               clock.Millis
}

func newTerms(s strain.Statement, age clock.Millis) Terms {
	return Terms{
		ID: s.Endpoint, Incarnation: s.Incarnation,
		RequestsPerSecond: s.Terms.RequestsPerSecond, RefusalsPerSecond: s.Terms.RefusalsPerSecond, Age: age,
	}
}

func (e Terms) statement() strain.Statement {
	return strain.Statement{
		Endpoint: e.ID, Incarnation: e.Incarnation,
		Terms: strain.Terms{RequestsPerSecond: e.RequestsPerSecond, RefusalsPerSecond: e.RefusalsPerSecond},
	}
}

// permitRequest asks the owner of an endpoint for the permit to send a request to it.
type permitRequest struct {
	ID       uint64
	Terms    Terms
	MaxWait  clock.Millis
	Lifetime clock.Millis
}

// permitAnswer answers a permitRequest. Wait is the time until the request may be sent if
// the permit is granted, and otherwise the time after which to ask again.
type permitAnswer struct {
	Granted bool
	Wait    clock.Millis
}

// permitEnd tells how the request with a permit has ended.
type permitEnd struct {
	ID      uint64
	Terms   Terms
	Outcome strain.Outcome
}
