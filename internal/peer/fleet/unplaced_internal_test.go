package fleet

import (
	"expvar"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/caller/relay"
	"github.com/banyanshift/banyanshift/internal/decide/balance"
	"github.com/banyanshift/banyanshift/internal/decide/budget"
	"github.com/banyanshift/banyanshift/internal/endpoint/roster"
)

// unplacedOf returns the metric of a back end.
func unplacedOf(backend string) string {
	if count := expvar.Get("Endpoint.Unplaced").(*expvar.Map).Get(backend); count != nil {
		return count.String()
	}
	return "0"
}

// TestReadyEndpointsThatGetNothingAreLogged guards against refusals of all requests for a back end
// whose cause neither log nor metrics show.
func TestReadyEndpointsThatGetNothingAreLogged(t *testing.T) {
	logger, hook := logtest.NewNullLogger()
	manual := clock.NewManual(100_000)
	s := NewScheduler(manual.Clock(), logger, budget.Rules{}, func() int { return 1 }, func(clock.Millis) []string { return nil }, rand.New(rand.NewPCG(1, 1)))
	backend := "unplaced"
	var list []roster.Endpoint
	for n := range 3 {
		list = append(list, roster.Endpoint{Address: "x", Endpoint: balance.Endpoint{ID: fmt.Sprint("i-", n), Backend: backend, Slots: 4, CacheTokens: 100, Leaving: n == 2}})
	}
	s.SetEndpoints(list)
	for n := range 2 {
		s.invalidateAddress(relay.Placement{Endpoint: fmt.Sprint("i-", n), Address: "x"})
	}
	entries := func() (found []*logrus.Entry) {
		for _, entry := range hook.AllEntries() {
			if entry.Data["Event"] == 1226 {
				found = append(found, entry)
			}
		}
		return found
	}
	refuse := func(request balance.Request) {
		request.Backend = backend
		if _, refusal := s.place(request, clock.Second); refusal.Reason == "" {
			t.Error("a request was placed")
		}
	}
	refuse(balance.Request{Exclude: []string{"i-0"}})
	refuse(balance.Request{Software: balance.SoftwareLimit{Limited: true, Version: "1"}})
	refuse(balance.Request{Parts: []balance.PromptPart{{Tokens: 101}}})
	if len(entries()) > 0 || unplacedOf(backend) != "0" {
		t.Errorf("%d entries, metric %s, for requests that say nothing of the back end", len(entries()), unplacedOf(backend))
	}
	for range 100 {
		refuse(balance.Request{})
	}
	manual.Advance(1900)
	refuse(balance.Request{})
	got := entries()
	if len(got) != 1 || unplacedOf(backend) != "101" {
		t.Fatalf("%d entries, metric %s, want 1 and 101", len(got), unplacedOf(backend))
	}
	if fmt.Sprint(got[0].Data["Ready"], got[0].Data["Standings"]) != "2 map[Leaving:1 Reassigned:2]" {
		t.Errorf("got %v", got[0].Data)
	}
	for n := range 2 {
		manual.Advance(9 * clock.Second)
		s.invalidateAddress(relay.Placement{Endpoint: "i-0", Address: "x"})
		s.invalidateAddress(relay.Placement{Endpoint: "i-1", Address: "x"})
		refuse(balance.Request{})
		if len(entries()) != 2 {
			t.Errorf("round %d: %d entries, want 2", n, len(entries()))
		}
	}
	for n := range list {
		list[n].Leaving = true
	}
	s.SetEndpoints(list)
	manual.Advance(clock.Minute)
	refuse(balance.Request{})
	if len(entries()) != 2 {
		t.Error("logged though no endpoint is ready")
	}
}
