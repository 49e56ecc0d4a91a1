// Package strain spares endpoints that ask for it: those that limit the rate of requests
// which they take from all daemons together, and those that fail if they have to refuse
// many requests.
//
// A Book holds the terms that endpoints have stated, as this daemon heard them itself or
// from others. A request to an endpoint with terms needs a permit. One daemon, the owner of
// the endpoint, gives the permits for all daemons, so that they keep the terms together
// however their traffic is divided. Its Limiter works like a queue of which only the head is
// known: it states when the request may be sent, as long as that is soon enough for the
// request, and otherwise when to ask again.
//
// The rate is kept by the generic cell rate algorithm. The number of requests at an endpoint
// that is brittle is kept by a window that never includes the endpoint's own queue: it
// shrinks by a part with each refusal and grows by one with each window of answers, and
// starts from one again after the endpoint has failed.
//
// Considered: equal shares of each limit, which leave much unused with uneven traffic and,
// with more daemons than requests a second, allow bursts of one request of each daemon; and
// rate that an owner lends for a time, which it cannot take back from a daemon that needs it
// no more.
//
// The package is pure: it has no clock, lock or goroutine of its own.
//
// # Usage
//
//	book := strain.NewBook()
//	changed := book.Record(now, strain.Statement{Endpoint: "i-7f3a91c2", Incarnation: 3, Terms: terms})
//	limiter := strain.NewLimiter()
//	decision := limiter.Decide(now, strain.Ask{Endpoint: "i-7f3a91c2", Permit: 7, Terms: terms, Slots: 64, MaxWait: 300, Lifetime: 5000})
//	limiter.Finish(now, "i-7f3a91c2", 7, terms, strain.Answered)
package strain

import "github.com/banyanshift/banyanshift/coord/clock"

// Terms is what an endpoint asks for.
type Terms struct {
	// RequestsPerSecond is the rate of requests that the endpoint takes from all daemons
	// together, 0 if it states none.
	RequestsPerSecond float64
	// RefusalsPerSecond is the number of requests a second beyond which the endpoint fails
	// if it has to refuse them, 0 if it states none.
	RefusalsPerSecond float64
}

// IsZero reports whether the endpoint asks for nothing.
func (t Terms) IsZero() bool {
	return t == Terms{}
}

// WithRate returns the terms with a rate that is no higher than a limit, which somebody else
// has stated for the endpoint.
func (t Terms) WithRate(limit float64) Terms {
	if t.RequestsPerSecond == 0 || t.RequestsPerSecond > limit {
		t.RequestsPerSecond = limit
	}
	return t
}

// Statement is the terms that an incarnation of an endpoint has stated.
type Statement struct {
	Endpoint string
	// Backend is the back end of the endpoint.
	Backend     string
	Incarnation int64
	Terms       Terms
}

// Book holds the last terms of each endpoint.
type Book struct {
	entries map[string]entry
	// brittle holds the brittle endpoints of each back end.
	brittle map[string]*brittleEndpoints
}

// entry is a statement and when it was heard.
type entry struct {
	Statement
	heardAt clock.Millis
}

// NewBook returns an empty Book.
func NewBook() *Book {
	return &Book{entries: make(map[string]entry), brittle: make(map[string]*brittleEndpoints)}
}

// Record records the terms in an answer that was received at heardAt, by this daemon or
// another one. It reports whether the terms have changed. A statement that is older than the
// one held, or of an earlier incarnation, changes nothing.
func (b *Book) Record(heardAt clock.Millis, s Statement) (changed bool) {
	held, found := b.entries[s.Endpoint]
	if found && (s.Incarnation < held.Incarnation || (s.Incarnation == held.Incarnation && heardAt < held.heardAt)) {
		return false
	}
	b.setBrittle(s)
	if s.Terms.IsZero() {
		delete(b.entries, s.Endpoint)
		return found
	}
	b.entries[s.Endpoint] = entry{Statement: s, heardAt: heardAt}
	return !found || held.Statement != s
}

// Terms returns the terms of an endpoint; they are zero if it has none. An endpoint that has
// stated none counts as brittle while others of its back end are, since it may not have been
// asked for some time.
func (b *Book) Terms(endpoint, backend string) Terms {
	terms := b.entries[endpoint].Terms
	if terms.RefusalsPerSecond == 0 {
		terms.RefusalsPerSecond = b.refusalsOf(backend)
	}
	return terms
}

// refusalsOf returns the least number of refusals a second that an endpoint of a back end
// survives, 0 if none has stated one.
func (b *Book) refusalsOf(backend string) float64 {
	if brittle := b.brittle[backend]; brittle != nil {
		return brittle.least
	}
	return 0
}

// setBrittle records or forgets how many refusals an endpoint survives.
func (b *Book) setBrittle(s Statement) {
	brittle := b.brittle[s.Backend]
	if s.Terms.RefusalsPerSecond == 0 {
		if brittle != nil {
			brittle.remove(s.Endpoint)
		}
		return
	}
	if brittle == nil {
		brittle = &brittleEndpoints{stated: make(map[string]float64)}
		b.brittle[s.Backend] = brittle
	}
	brittle.put(s.Endpoint, s.Terms.RefusalsPerSecond)
}

// IsEmpty reports whether no endpoint has terms.
func (b *Book) IsEmpty() bool {
	return len(b.entries) == 0
}

// Keep drops the endpoints whose incarnation has ended or that are not known any more.
// incarnation returns the current one.
func (b *Book) Keep(incarnation func(endpoint string) (current int64, known bool)) {
	for endpoint, e := range b.entries {
		if current, known := incarnation(endpoint); !known || current > e.Incarnation {
			delete(b.entries, endpoint)
			b.setBrittle(Statement{Endpoint: endpoint, Backend: e.Backend})
		}
	}
}

// brittleEndpoints holds how many refusals a second each brittle endpoint of a back end
// survives, and the least of these numbers, 0 if there is none.
type brittleEndpoints struct {
	stated map[string]float64
	least  float64
}

func (e *brittleEndpoints) put(endpoint string, refusals float64) {
	if e.stated[endpoint] == refusals {
		return
	}
	e.stated[endpoint] = refusals
	e.update()
}

func (e *brittleEndpoints) remove(endpoint string) {
	if _, found := e.stated[endpoint]; !found {
		return
	}
	delete(e.stated, endpoint)
	e.update()
}

func (e *brittleEndpoints) update() {
	e.least = 0
	for _, refusals := range e.stated {
		if e.least == 0 || refusals < e.least {
			e.least = refusals
		}
	}
}
