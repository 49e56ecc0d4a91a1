package balance_test

import (
	"testing"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/decide/balance"
)

// quietLoad plays 200 requests a second of 40 ms each at three endpoints.
type quietLoad struct {
	balancer *balance.Balancer
	now      clock.Millis
	nextJob  uint64
	ends     map[clock.Millis][]uint64
	refused  int
}

func newQuietLoad() *quietLoad {
	b := balance.New()
	b.SetEndpoints(0, []balance.Endpoint{{ID: "a", Backend: "b", Slots: 8}, {ID: "b", Backend: "b", Slots: 8}, {ID: "c", Backend: "b", Slots: 8}})
	return &quietLoad{balancer: b, ends: make(map[clock.Millis][]uint64)}
}

// runFor plays the load for some time and returns the requests that each endpoint got.
func (l *quietLoad) runFor(d clock.Millis) map[string]int {
	const interval, serviceTime = 5 * clock.Millisecond, 40 * clock.Millisecond
	sent := make(map[string]int)
	for end := l.now + d; l.now < end; l.now += interval {
		for _, id := range l.ends[l.now] {
			l.balancer.RecordFirstToken(l.now, id)
			l.balancer.RecordEnd(l.now, id, balance.Succeeded)
		}
		delete(l.ends, l.now)
		l.nextJob++
		choice, found := l.balancer.Choose(l.now, balance.Request{Backend: "b", TieBreakSeed: l.nextJob})
		if !found {
			l.refused++
			continue
		}
		sent[choice.Endpoint]++
		l.balancer.RecordLocalJob(l.now, balance.Job{ID: l.nextJob, Endpoint: choice.Endpoint, Expected: choice.ExpectedFirstToken})
		l.ends[l.now+serviceTime] = append(l.ends[l.now+serviceTime], l.nextJob)
	}
	return sent
}

// TestQuietEndpointGetsNothingAndThenItsShare checks that nobody is refused meanwhile, and
// that the endpoint is not flooded when its quiet time ends.
func TestQuietEndpointGetsNothingAndThenItsShare(t *testing.T) {
	l := newQuietLoad()
	l.runFor(clock.Second)
	l.balancer.RecordQuiet(l.now, "a", 2*clock.Second)
	if sent := l.runFor(2 * clock.Second); sent["a"] != 0 {
		t.Errorf("the quiet endpoint got %d requests", sent["a"])
	}
	if sent := l.runFor(clock.Second / 10); sent["a"] > 6 {
		t.Errorf("the endpoint got %d of 20 requests right after its quiet time, want at most 6", sent["a"])
	}
	l.runFor(clock.Second)
	if sent := l.runFor(3 * clock.Second); sent["a"] < 150 {
		t.Errorf("the endpoint got %d of 600 requests, want 150 or more", sent["a"])
	}
	if l.refused > 0 {
		t.Errorf("%d requests were refused", l.refused)
	}
}

func TestRequestsAreRefusedWhileAllEndpointsAreQuiet(t *testing.T) {
	l := newQuietLoad()
	for id, quiet := range map[string]clock.Millis{"a": 3 * clock.Second, "b": 2 * clock.Second, "c": 4 * clock.Second} {
		if !l.balancer.RecordQuiet(0, id, quiet) || l.balancer.RecordQuiet(0, id, quiet/2) {
			t.Errorf("only the first refusal of %s must begin a quiet time", id)
		}
	}
	if wait, found := l.balancer.QuietTime(500, balance.Request{Backend: "b"}); !found || wait != 1500 {
		t.Errorf("got a wait of %s, want 1.5 s", wait)
	}
	l.runFor(2 * clock.Second)
	if l.refused != 400 {
		t.Errorf("%d of 400 requests were refused, want all", l.refused)
	}
	if sent := l.runFor(clock.Second / 2); sent["b"] != 100 {
		t.Errorf("the first endpoint back got %d of 100 requests, want all", sent["b"])
	}
	if _, found := l.balancer.QuietTime(l.now, balance.Request{Backend: "b"}); found {
		t.Error("all endpoints count as quiet though one is back")
	}
}

func TestNextIncarnationIsNotQuiet(t *testing.T) {
	l := newQuietLoad()
	l.balancer.RecordQuiet(0, "a", clock.Minute)
	l.balancer.SetEndpoints(10, []balance.Endpoint{{ID: "a", Backend: "b", Slots: 8, Incarnation: 1}})
	if sent := l.runFor(clock.Second); sent["a"] != 200 {
		t.Errorf("the next incarnation got %d of 200 requests, want all", sent["a"])
	}
}

// TestEndpointThatWasSetAsideAcceptsRequestsOfOthers guards against a daemon that refuses to
// forward requests which have a permit, because it got none itself.
func TestEndpointThatWasSetAsideAcceptsRequestsOfOthers(t *testing.T) {
	b := balance.New()
	b.SetEndpoints(0, []balance.Endpoint{{ID: "e1", Backend: "b", Slots: 2}, {ID: "e2", Backend: "b", Slots: 2}})
	b.SetAside(0, "e1", 500)
	for now := range clock.Millis(500) {
		if choice, _ := b.Choose(now, balance.Request{Backend: "b"}); choice.Endpoint != "e2" {
			t.Fatalf("got endpoint %q at %d, want the one that was not set aside", choice.Endpoint, now)
		}
	}
	if !b.Accepts(100, "e1") {
		t.Error("the endpoint accepts no requests of others")
	}
	b.RecordQuiet(100, "e1", 300)
	if b.Accepts(200, "e1") || !b.Accepts(500, "e1") {
		t.Error("the quiet time does not hold for requests of others")
	}
	b.MarkLeaving("e2")
	if b.Accepts(100, "e2") || b.Accepts(100, "unknown") {
		t.Error("an endpoint that is leaving or unknown accepts requests")
	}
}

func TestQuietTimeOfAnEndpointThatWasSetAsideHasBegun(t *testing.T) {
	b := balance.New()
	b.SetEndpoints(0, []balance.Endpoint{{ID: "e", Backend: "b"}})
	b.SetAside(0, "e", 500)
	if !b.RecordQuiet(100, "e", 300) || b.RecordQuiet(200, "e", 300) {
		t.Error("the quiet time must begin once")
	}
}
