package strain_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/decide/strain"
)

func TestBookTakesTheLatestStatement(t *testing.T) {
	limited := strain.Terms{RequestsPerSecond: 5}
	statement := func(incarnation int64, terms strain.Terms) strain.Statement {
		return strain.Statement{Endpoint: "e", Backend: "b", Incarnation: incarnation, Terms: terms}
	}
	b := strain.NewBook()
	if b.Record(100, statement(1, strain.Terms{})) {
		t.Error("an endpoint without terms changed something")
	}
	if !b.Record(200, statement(1, limited)) || b.Record(300, statement(1, limited)) {
		t.Error("the same terms must change something once")
	}
	if b.Record(250, statement(1, strain.Terms{})) || b.Terms("e", "b") != limited {
		t.Error("an older answer changed the terms")
	}
	if !b.Record(400, statement(1, strain.Terms{})) || !b.Terms("e", "b").IsZero() {
		t.Error("the terms did not end")
	}
	b.Record(500, statement(2, limited))
	if b.Record(600, statement(1, strain.Terms{})) {
		t.Error("an earlier incarnation changed the terms")
	}
	b.Keep(func(string) (int64, bool) { return 3, true })
	if !b.Terms("e", "b").IsZero() {
		t.Error("the terms outlived the incarnation")
	}
}

// TestEndpointIsTakenForBrittleLikeItsNeighbours guards against a burst at endpoints that
// have not been asked since all of a back end became brittle.
func TestEndpointIsTakenForBrittleLikeItsNeighbours(t *testing.T) {
	b := strain.NewBook()
	b.Record(100, strain.Statement{Endpoint: "e1", Backend: "b", Terms: strain.Terms{RefusalsPerSecond: 5}})
	b.Record(100, strain.Statement{Endpoint: "e2", Backend: "b", Terms: strain.Terms{RefusalsPerSecond: 3}})
	if got := b.Terms("e3", "b").RefusalsPerSecond; got != 3 {
		t.Errorf("got %v refusals a second, want the least that was stated", got)
	}
	if !b.Terms("e4", "other").IsZero() {
		t.Error("an endpoint of another back end is taken for brittle")
	}
	b.Record(200, strain.Statement{Endpoint: "e1", Backend: "b"})
	b.Record(200, strain.Statement{Endpoint: "e2", Backend: "b"})
	if !b.Terms("e3", "b").IsZero() {
		t.Error("the endpoint is still taken for brittle")
	}
}

// caller is a request that waits or is asked for again.
type caller struct {
	at       clock.Millis
	daemon   int
	deadline clock.Millis
}

// rateLoad is a load of requests for one endpoint with a stated rate.
type rateLoad struct {
	limit    float64
	daemons  int
	offered  float64
	duration clock.Millis
	// handover is when another daemon becomes the owner. The earlier one goes on giving
	// permits for overlap to the daemons that have not heard of it.
	handover, overlap clock.Millis
}

// play returns the times at which requests were sent.
func (l rateLoad) play(seed uint64) (sent []clock.Millis) {
	rng := rand.New(rand.NewPCG(seed, 1))
	limiters := []*strain.Limiter{strain.NewLimiter(), strain.NewLimiter()}
	terms := strain.Terms{RequestsPerSecond: l.limit}
	var waiting []caller
	permit := uint64(0)
	for now := range l.duration {
		for range poisson(rng, l.offered/float64(clock.Second)) {
			waiting = append(waiting, caller{at: now, daemon: zipf(rng, l.daemons), deadline: now + 3*clock.Second})
		}
		var later []caller
		for _, c := range waiting {
			if c.at > now {
				later = append(later, c)
				continue
			}
			limiter := limiters[0]
			if l.handover > 0 && (now >= l.handover+l.overlap || (now >= l.handover && c.daemon%2 == 0)) {
				limiter = limiters[1]
			}
			permit++
			d := limiter.Decide(now, strain.Ask{Endpoint: "e", Permit: permit, Terms: terms, MaxWait: 300, Lifetime: 3000})
			switch {
			case d.Granted:
				sent = append(sent, now+d.Wait)
			case now+d.Wait < c.deadline:
				c.at = now + d.Wait
				later = append(later, c)
			}
		}
		waiting = later
	}
	return sent
}

// poisson returns the number of events in a time in which mean are expected.
func poisson(rng *rand.Rand, mean float64) (count int) {
	for wait := rng.ExpFloat64(); wait < mean; wait += rng.ExpFloat64() {
		count++
	}
	return count
}

// zipf returns a daemon, of which the first ones get most requests.
func zipf(rng *rand.Rand, daemons int) int {
	n := int(float64(daemons) * rng.Float64() * rng.Float64() * rng.Float64())
	return min(n, daemons-1)
}

// mostIn returns the largest number of times within a window.
func mostIn(times []clock.Millis, window, end clock.Millis) (most int) {
	counts := make([]int, end+window+1)
	for _, at := range times {
		if at <= end {
			counts[at]++
		}
	}
	sum := 0
	for at := range end + 1 {
		sum += counts[at]
		if at >= window {
			sum -= counts[at-window]
		}
		most = max(most, sum)
	}
	return most
}

// TestRateOfAllDaemonsStaysWithinTheLimit plays more requests than an endpoint takes, at
// fleets of several sizes with uneven traffic, and with a hand-over between owners.
func TestRateOfAllDaemonsStaysWithinTheLimit(t *testing.T) {
	const window = 4 * clock.Second
	for _, daemons := range []int{1, 8, 30, 100, 370} {
		for _, limit := range []float64{0.5, 3, 100} {
			for _, handover := range []clock.Millis{0, 8 * clock.Second} {
				load := rateLoad{limit: limit, daemons: daemons, offered: 2 * limit, duration: 16 * clock.Second, handover: handover, overlap: 2 * clock.Second}
				sent := load.play(7)
				allowed := 1.5*limit*window.Seconds() + 5
				if most := mostIn(sent, window, load.duration); float64(most) > allowed {
					t.Errorf("%d daemons, limit %v, hand-over %v: %d requests in 4 s, want at most %.1f", daemons, limit, handover, most, allowed)
				}
				used := float64(len(sent)) / (limit * load.duration.Seconds())
				if used < 0.85 {
					t.Errorf("%d daemons, limit %v, hand-over %v: %.2f of the limit was used, want 0.85", daemons, limit, handover, used)
				}
			}
		}
	}
}

// TestRequestsThatMayWaitLongerComeFirst checks the order of tiers at an endpoint that takes
// half of the requests.
func TestRequestsThatMayWaitLongerComeFirst(t *testing.T) {
	limiter := strain.NewLimiter()
	rng := rand.New(rand.NewPCG(1, 1))
	terms := strain.Terms{RequestsPerSecond: 20}
	asked, granted := map[clock.Millis]int{}, map[clock.Millis]int{}
	for now := range 20 * clock.Second {
		for range poisson(rng, 0.04) {
			maxWait := []clock.Millis{100, 400}[rng.IntN(2)]
			asked[maxWait]++
			if limiter.Decide(now, strain.Ask{Endpoint: "e", Permit: rng.Uint64(), Terms: terms, MaxWait: maxWait}).Granted {
				granted[maxWait]++
			}
		}
	}
	if urgent, other := float64(granted[400])/float64(asked[400]), float64(granted[100])/float64(asked[100]); urgent < 0.8 || urgent < 2*other {
		t.Errorf("%.2f of the urgent requests and %.2f of the others were granted", urgent, other)
	}
}

// brittleEndpoint runs requests in slots, lets some wait, and fails if it refuses too many.
type brittleEndpoint struct {
	slots, room int
	survives    int
	// ends holds when the requests that run or wait end.
	ends     []clock.Millis
	refusals []clock.Millis
	downTill clock.Millis
	falls    int
}

// take adds a request, and returns its end and outcome.
func (e *brittleEndpoint) take(now, work clock.Millis) (end clock.Millis, outcome strain.Outcome) {
	if now < e.downTill {
		return now, strain.Failed
	}
	kept := e.ends[:0]
	for _, at := range e.ends {
		if at > now {
			kept = append(kept, at)
		}
	}
	e.ends = kept
	if len(e.ends) >= e.slots+e.room {
		e.refuse(now)
		return now, strain.Refused
	}
	end = now + work
	if waiting := len(e.ends) - e.slots; waiting >= 0 {
		end = e.ends[waiting] + work
	}
	e.ends = append(e.ends, end)
	return end, strain.Answered
}

func (e *brittleEndpoint) refuse(now clock.Millis) {
	e.refusals = append(e.refusals, now)
	recent := 0
	for _, at := range e.refusals {
		if now-at < clock.Second {
			recent++
		}
	}
	if recent > e.survives {
		e.falls++
		e.downTill = now + 4*clock.Second
		e.ends, e.refusals = nil, nil
	}
}

// ending is a request that ends.
type ending struct {
	at       clock.Millis
	endpoint int
	permit   uint64
	outcome  strain.Outcome
}

// TestBrittleEndpointsRarelyFall plays twice the load that all endpoints can take, in a time
// in which they let fewer requests wait and run slower than their slots tell.
func TestBrittleEndpointsRarelyFall(t *testing.T) {
	for _, count := range []int{9, 200} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			falls, served := playBrittle(count)
			if allowed := 2 + count/10; falls > allowed {
				t.Errorf("%d falls of %d endpoints, want at most %d", falls, count, allowed)
			}
			if served < 2.0/3 {
				t.Errorf("%.2f of what the endpoints can run was served, want two thirds", served)
			}
		})
	}
}

// playBrittle returns the number of falls, and the served share of what the slots can run if
// each is free until the end of the request before is known.
func playBrittle(count int) (falls int, served float64) {
	const (
		slots    = 6
		work     = 100 * clock.Millisecond
		duration = 15 * clock.Second
		survives = 3
		newsLag  = 20 * clock.Millisecond
	)
	rng := rand.New(rand.NewPCG(3, uint64(count)))
	terms := strain.Terms{RefusalsPerSecond: survives}
	limiter := strain.NewLimiter()
	endpoints := make([]brittleEndpoint, count)
	for i := range endpoints {
		// A third of the endpoints have fewer slots than they state.
		endpoints[i] = brittleEndpoint{slots: slots - 2*(i%3/2), room: 1, survives: survives}
	}
	offered := 2 * float64(count*slots) / work.Seconds()
	possible := 0.0
	for i := range endpoints {
		possible += float64(endpoints[i].slots) / (work + newsLag).Seconds()
	}
	var endings []ending
	permit, done := uint64(0), 0
	for now := range duration {
		var open []ending
		for _, e := range endings {
			if e.at > now {
				open = append(open, e)
				continue
			}
			limiter.Finish(now, fmt.Sprint(e.endpoint), e.permit, terms, e.outcome)
		}
		endings = open
		for range poisson(rng, offered/float64(clock.Second)) {
			n := rng.IntN(count)
			permit++
			ask := strain.Ask{Endpoint: fmt.Sprint(n), Permit: permit, Terms: terms, Slots: slots, Lifetime: 2 * clock.Second}
			if !limiter.Decide(now, ask).Granted {
				continue
			}
			end, outcome := endpoints[n].take(now, work)
			if outcome == strain.Answered {
				done++
			}
			endings = append(endings, ending{at: end + newsLag, endpoint: n, permit: permit, outcome: outcome})
		}
	}
	for i := range endpoints {
		falls += endpoints[i].falls
	}
	return falls, float64(done) / (possible * duration.Seconds())
}

// BenchmarkDecide measures a decision with 3,300 endpoints.
func BenchmarkDecide(b *testing.B) {
	limiter := strain.NewLimiter()
	names := make([]string, 3300)
	for i := range names {
		names[i] = fmt.Sprint("i-", i)
	}
	terms := strain.Terms{RequestsPerSecond: 50, RefusalsPerSecond: 5}
	n := 0
	for b.Loop() {
		name := names[n%len(names)]
		n++
		if limiter.Decide(clock.Millis(n/10), strain.Ask{Endpoint: name, Permit: uint64(n), Terms: terms, Slots: 64, MaxWait: 300, Lifetime: 500}).Granted {
			limiter.Finish(clock.Millis(n/10), name, uint64(n), terms, strain.Answered)
		}
	}
}

// TestExtremeTermsAreAskedForAgain guards against an endpoint that gets no requests any more after
// one answer, since only a further answer could state other terms.
func TestExtremeTermsAreAskedForAgain(t *testing.T) {
	for name, terms := range map[string]strain.Terms{"rate": {RequestsPerSecond: 1e-6}, "refusals": {RefusalsPerSecond: 1e-6}} {
		l := strain.NewLimiter()
		granted := 0
		for now := clock.Millis(0); now < 5*clock.Minute; now += 100 {
			permit := uint64(now)
			ask := strain.Ask{Endpoint: "e", Permit: permit, Terms: terms, Slots: 4, MaxWait: 300, Lifetime: 5000}
			decision := l.Decide(now, ask)
			if decision.Granted {
				granted++
				l.Finish(now, "e", permit, terms, strain.Refused)
			} else if decision.Wait > 30*clock.Second {
				t.Errorf("%s: got a wait of %v", name, decision.Wait)
			}
		}
		if granted < 9 || granted > 12 {
			t.Errorf("%s: %d requests in 5 minutes, want about one each 30 s", name, granted)
		}
	}
}
