package balance_test

import (
	"testing"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/decide/balance"
)

// readyEndpoint is an endpoint that takes requests.
var readyEndpoint = balance.Endpoint{ID: "a", Backend: "b", Slots: 64, CacheTokens: 100000}

func isChosen(b *balance.Balancer, now clock.Millis) bool {
	_, found := b.Choose(now, balance.Request{Backend: "b"})
	return found && b.Accepts(now, "a")
}

// TestReassignedAddressIsTriedAgain guards against an endpoint that gets no requests for good
// after an answer from its address that was not its own.
func TestReassignedAddressIsTriedAgain(t *testing.T) {
	b := balance.New()
	b.SetEndpoints(0, []balance.Endpoint{readyEndpoint})
	now := clock.Millis(0)
	for n, want := range []clock.Millis{2000, 4000, 8000, 16000, 30000, 30000} {
		time, begun := b.InvalidateAddress(now, "a")
		if !begun || time != want {
			t.Errorf("time %d: got %v, %t, want %v", n, time, begun, want)
		}
		if _, begun := b.InvalidateAddress(now+1, "a"); begun {
			t.Errorf("time %d has begun twice", n)
		}
		b.SetEndpoints(now+1, []balance.Endpoint{readyEndpoint})
		if isChosen(b, now+want-1) {
			t.Errorf("time %d: the endpoint is chosen before its end", n)
		}
		now += want
		if !isChosen(b, now) {
			t.Errorf("time %d: the endpoint is not chosen after its end", n)
		}
	}
}

func TestConfirmedAddressIsUsedAtOnce(t *testing.T) {
	b := balance.New()
	b.SetEndpoints(0, []balance.Endpoint{readyEndpoint})
	if b.ConfirmAddress(0, "a") {
		t.Error("an address that is not in doubt was confirmed")
	}
	b.InvalidateAddress(0, "a")
	b.InvalidateAddress(2000, "a")
	if !b.ConfirmAddress(2100, "a") || !isChosen(b, 2100) {
		t.Error("the endpoint is not chosen after its address was confirmed")
	}
	if time, _ := b.InvalidateAddress(2200, "a"); time != 2000 {
		t.Errorf("got %v after a confirmation, want the shortest time", time)
	}
}

func TestNextIncarnationHasItsAddress(t *testing.T) {
	b := balance.New()
	b.SetEndpoints(0, []balance.Endpoint{readyEndpoint})
	b.InvalidateAddress(0, "a")
	next := readyEndpoint
	next.Incarnation = 1
	b.SetEndpoints(1, []balance.Endpoint{next})
	if !isChosen(b, 1) {
		t.Error("the next incarnation of the endpoint is not chosen")
	}
}
