package engine

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/config/entity"
	"github.com/banyanshift/banyanshift/internal/platform/order"
	"github.com/banyanshift/banyanshift/internal/standin/host"
	"github.com/banyanshift/banyanshift/internal/standin/record"
)

type fixture struct {
	*host.Endpoint
	url string
}

func start(t *testing.T, slots int, change func(*Config)) fixture {
	t.Helper()
	config := Defaults()
	config.StepMicros, config.StepMicrosPerRequest, config.PrefillMicrosPerToken = 1000, 0, 0
	config.CacheEventLag, config.CacheEventLossShare = 0, 0
	if change != nil {
		change(&config)
	}
	spec := host.Spec{Endpoint: entity.Endpoint{ID: "e"}, Slots: slots, ChecksFence: true}
	endpoint := New(config, spec, clock.System())
	server := httptest.NewServer(endpoint.Handler)
	t.Cleanup(func() { endpoint.Close(); server.Close() })
	return fixture{Endpoint: endpoint, url: server.URL}
}

func (f fixture) post(ctx context.Context, id, body string) (string, error) {
	request, _ := http.NewRequestWithContext(ctx, http.MethodPost, f.url+"/v1/completions", strings.NewReader(body))
	request.Header.Set("Request-Id", id)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return string(data), err
}

func (f fixture) runs() []record.Run {
	var result record.Endpoint
	f.FillRecord(&result)
	return result.Runs
}

func prompt(text string) string {
	return fmt.Sprintf(`{"model":"m","prompt":%q}`, text)
}

// eventually fails the test unless condition becomes true within about five
// seconds.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for range 1000 {
		if condition() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatalf("timed out waiting for %s", what)
}

func TestStreamEndsWithUsage(t *testing.T) {
	f := start(t, 2, nil)
	got, err := f.post(context.Background(), "r1", `{"model":"m","prompt":"a b len=2"}`)
	want := `data: {"id":"r1","object":"text_completion","model":"m","choices":[{"index":0,"text":"` + AnswerToken("a b len=2", 0) + `","finish_reason":null}],"token":0}

data: {"id":"r1","object":"text_completion","model":"m","choices":[{"index":0,"text":"` + AnswerToken("a b len=2", 1) + `","finish_reason":"stop"}],"token":1,"usage":{"prompt_tokens":3,"completion_tokens":2}}

data: [DONE]

`
	if err != nil || got != want {
		t.Errorf("got %s, %v, want two tokens, usage and [DONE]", got, err)
	}
}

func TestResumeStartsAtToken(t *testing.T) {
	f := start(t, 2, nil)
	got, err := f.post(context.Background(), "r1", `{"prompt":"a len=9","resume_token":8,"resume_text":"x"}`)
	if err != nil || strings.Contains(got, `"token":7`) || !strings.Contains(got, `"token":8`) {
		t.Errorf("got %s, %v, want token 8 only", got, err)
	}
	run := f.runs()[0]
	if run.FirstToken != 8 || run.Tokens != 1 || run.End != record.Finished {
		t.Errorf("got run %+v, want 1 token from index 8, finished", run)
	}
}

func TestCancelledCallerFreesItsSlot(t *testing.T) {
	f := start(t, 1, nil)
	ctx, cancel := context.WithCancel(context.Background())
	go f.post(ctx, "long", prompt("len=1000000"))
	eventually(t, "the first token", func() bool { return len(f.runs()) == 1 && f.runs()[0].Tokens > 0 })
	cancel()
	if _, err := f.post(context.Background(), "short", prompt("len=1")); err != nil {
		t.Fatal(err)
	}
	if f.runs()[0].End != record.Cancelled {
		t.Errorf("got run %+v, want it cancelled", f.runs()[0])
	}
}

func TestPrefixCacheIsBounded(t *testing.T) {
	f := start(t, 1, func(c *Config) { c.KVTokens = 3 * blockTokens })
	long := strings.Repeat("same ", 2*blockTokens)
	for range 2 {
		f.post(context.Background(), "r", prompt("len=1 "+long))
	}
	f.post(context.Background(), "r", prompt("len=1 "+strings.Repeat("other ", 3*blockTokens)))
	f.post(context.Background(), "r", prompt("len=1 "+long))
	var cached []int
	for _, run := range f.runs() {
		cached = append(cached, run.CachedTokens)
	}
	if fmt.Sprint(cached) != "[0 128 0 0]" {
		t.Errorf("got cached tokens %v, want [0 128 0 0]", cached)
	}
	response, err := http.Get(f.url + "/cache-events?after=5")
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	data, _ := io.ReadAll(response.Body)
	if !strings.Contains(string(data), `"Evict"`) {
		t.Errorf("got cache events %s, want an eviction", data)
	}
}

func TestPriorityOrdersTheQueue(t *testing.T) {
	e := &engine{config: Defaults(), spec: host.Spec{Slots: 1}, clock: clock.System(), cache: newPrefixCache(Defaults(), clock.System())}
	for i, priority := range []int{3, 1, 2, 1} {
		s := newSequence(requestBody{})
		s.run.Priority, s.arrival = priority, uint64(i)
		e.waiting = append(e.waiting, s)
	}
	var admitted []uint64
	for range 4 {
		e.admit()
		admitted = append(admitted, e.running[0].arrival)
		e.removeFromBatch(e.running[0])
	}
	if fmt.Sprint(admitted) != "[1 3 2 0]" {
		t.Errorf("admitted arrivals %v, want [1 3 2 0]", admitted)
	}
}

func TestFaultsCorruptAnswers(t *testing.T) {
	tests := []struct {
		name  string
		fault host.Fault
		check func(answer string) bool
	}{
		{"truncated", host.Fault{Truncate: 1}, func(a string) bool { return !strings.Contains(a, "[DONE]") }},
		{"duplicated", host.Fault{Duplicate: 1}, func(a string) bool { return strings.Count(a, `"token":`) == 6 }},
		{"late", host.Fault{Late: 1, LateBy: 10}, func(a string) bool { return strings.Contains(a, "[DONE]") }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := start(t, 1, nil)
			f.SetFault(test.fault)
			got, err := f.post(context.Background(), "r", prompt("len=5"))
			if err != nil || !test.check(got) {
				t.Errorf("got answer %s, %v, want it to have the fault", got, err)
			}
		})
	}
}

func TestCrossedAnswerHasTheOtherRequestID(t *testing.T) {
	f := start(t, 2, nil)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go f.post(ctx, "other", prompt("len=1000000"))
	eventually(t, "the first token", func() bool { return len(f.runs()) == 1 && f.runs()[0].Tokens > 0 })
	f.SetFault(host.Fault{Cross: 1})
	got, err := f.post(context.Background(), "mine", prompt("len=3"))
	if err != nil || !strings.Contains(got, `"id":"other"`) || strings.Contains(got, `"id":"mine"`) {
		t.Errorf("got %s, %v, want the ID of the other request", got, err)
	}
}

func TestFencedOrders(t *testing.T) {
	for _, checks := range []bool{true, false} {
		b := &orderLog{}
		b.init(host.Spec{ChecksFence: checks})
		give := func(id string, fence uint64) bool {
			return b.apply(order.Order{ID: id, Scope: "r", Fence: fence, Kind: order.SetRole}, 0)
		}
		if give("a", 2) || give("b", 1) != checks {
			t.Errorf("checks fence %v: order a was refused, or b with its older fence was wrongly accepted or refused", checks)
		}
		if list := b.list(); !list[1].Overlap || list[1].Accepted == checks {
			t.Errorf("checks fence %v: got orders %+v, want b overlapping, and accepted only without the check", checks, list)
		}
	}
}
