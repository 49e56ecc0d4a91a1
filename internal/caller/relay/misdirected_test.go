package relay_test

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/banyanshift/banyanshift/internal/decide/balance"
	"github.com/banyanshift/banyanshift/internal/decide/strain"
)

// recordAddress records what was reported of an endpoint's address.
func (f *fixture) recordAddress(what string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.addresses = append(f.addresses, what)
}

// expectAddresses waits until this was reported of addresses, and no more.
func (f *fixture) expectAddresses(want ...string) {
	f.t.Helper()
	reported := func() []string {
		f.mu.Lock()
		defer f.mu.Unlock()
		return slices.Clone(f.addresses)
	}
	for end := time.Now().Add(10 * time.Second); len(reported()) < len(want) && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(50 * time.Millisecond)
	if got := reported(); !slices.Equal(got, want) {
		f.t.Errorf("addresses: got %q, want %q", got, want)
	}
}

// misdirected refuses all requests, in the name of an endpoint unless it is empty.
func misdirected(by string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		if by != "" {
			w.Header().Set("By", by)
		}
		w.WriteHeader(http.StatusMisdirectedRequest)
	}
}

// TestRequestThatItsEndpointDeclinesHarmsNoOther guards against an endpoint that no caller gets
// any more, since it has refused a request for what that one asks.
func TestRequestThatItsEndpointDeclinesHarmsNoOther(t *testing.T) {
	f := newFixture(t, misdirected("e0"), ok)
	f.expect(f.send("/pay/1", "Condition", "9"), 200, "fine")
	f.expectReceived("e0:", "e1:")
	f.expectAddresses()
	if len(f.outcomes) != 2 || f.outcomes[0] != balance.Canceled {
		t.Errorf("got outcomes %v; the first one is to say nothing of the endpoint", f.outcomes)
	}
	if len(f.released) != 2 || f.released[0] != strain.NotSent {
		t.Errorf("got permits %v; the first one is to say nothing of the endpoint's room", f.released)
	}
	if f.retryTokens != 9 || !slices.Equal(f.declinedRetries, []bool{true}) {
		t.Errorf("%d tokens of 10 are left, want 9; declined requests: %v", f.retryTokens, f.declinedRetries)
	}
	f = newFixture(t, notRun, ok)
	f.expect(f.send("/pay/1"), 200, "fine")
	if !slices.Equal(f.declinedRetries, []bool{false}) {
		t.Errorf("a request that was not run for want of room: declined requests: %v", f.declinedRetries)
	}
}

// TestRequestThatAllEndpointsDeclineIsRefused guards against status 421 at a caller, and against
// more attempts than the route allows.
func TestRequestThatAllEndpointsDeclineIsRefused(t *testing.T) {
	f := newFixture(t, misdirected("e0"), misdirected("e1"), misdirected("e2"))
	got := f.send("/pay/1", "Condition", "9")
	f.expect(got, 503, "")
	if got.header.Get("Retry-After") == "" {
		t.Error("got no Retry-After")
	}
	f.expectReceived("e0:", "e1:")
	f.expectAddresses()
}

// TestAnswerOfAnotherEndpointIsCheckedWithTheReport guards against a belief in an endpoint's
// address for which the only evidence is an answer that a caller brought about.
func TestAnswerOfAnotherEndpointIsCheckedWithTheReport(t *testing.T) {
	for name, test := range map[string]struct {
		by, condition string
		report        http.HandlerFunc
		want          []string
	}{
		"Named":                       {"x", "", reporting(200, nil, "8"), []string{"e0 lost", "e0 lost"}},
		"NamedAndReportOfTheMeantOne": {"x", "", reporting(200, nil, "7"), []string{"e0 lost", "e0 confirmed"}},
		"Unnamed":                     {"", "", reporting(200, nil, "8"), []string{"e0 lost"}},
		"UnnamedWithoutReport":        {"", "", reporting(404, nil, ""), []string{"e0 lost"}},
		"UnnamedAndReset":             {"", "", reset, []string{"e0 lost"}},
		"UnnamedByTheMeantOne":        {"", "", reporting(200, nil, "7"), []string{"e0 confirmed"}},
		"Condition":                   {"", "9", reporting(200, nil, "8"), []string{"e0 lost"}},
		"ConditionWithoutReport":      {"", "9", reporting(404, nil, ""), nil},
		"ConditionAndReset":           {"", "9", reset, nil},
		"ConditionAtTheMeantOne":      {"", "9", reporting(200, nil, "7"), []string{"e0 confirmed"}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, misdirected(test.by), ok)
			f.incarnation, f.report = 7, test.report
			f.expect(f.send("/pay/1", "Condition", test.condition), 200, "fine")
			f.expectAddresses(test.want...)
		})
	}
}
