package balance_test

import (
	"testing"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/decide/balance"
)

// leavingAt returns a Balancer with one endpoint, which leaves at the given
// time.
func leavingAt(at clock.Millis) *balance.Balancer {
	b := balance.New()
	b.SetEndpoints(0, []balance.Endpoint{{ID: "a", Backend: "b", Slots: 64, CacheTokens: 100000, Leaving: true, LeavesAt: at}})
	return b
}

func TestLeavingEndpointServesWhatItCanFinish(t *testing.T) {
	short := balance.Request{Backend: "b", Parts: []balance.PromptPart{{Hash: 1, Tokens: 1000}}, Output: 60}
	long := balance.Request{Backend: "b", Parts: []balance.PromptPart{{Hash: 1, Tokens: 1000}}, Output: 400}
	b := leavingAt(2000)
	if _, found := b.Choose(0, short); found {
		t.Error("Choose returned a leaving endpoint")
	}
	if choice, found := b.ChooseLeaving(0, short); !found || choice.Endpoint != "a" {
		t.Errorf("got %+v, %t, want endpoint a, which stays for 2 s", choice, found)
	}
	if _, found := b.ChooseLeaving(0, long); found {
		t.Error("chose an endpoint that leaves before the response is complete")
	}
	if _, found := b.ChooseLeaving(1300, short); found {
		t.Error("chose an endpoint that is about to leave")
	}
	if _, found := leavingAt(0).ChooseLeaving(0, short); found {
		t.Error("chose an endpoint that may leave at any time")
	}
}

func TestEndpointWithReassignedAddressIsNotChosen(t *testing.T) {
	b := leavingAt(2000)
	b.InvalidateAddress(0, "a")
	b.SetEndpoints(10, []balance.Endpoint{{ID: "a", Backend: "b", Slots: 64, CacheTokens: 100000, Leaving: true, LeavesAt: 2000}})
	if _, found := b.ChooseLeaving(20, balance.Request{Backend: "b"}); found {
		t.Error("chose an endpoint whose address belongs to another endpoint")
	}
}
