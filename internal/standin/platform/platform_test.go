package platform_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/banyanshift/banyanshift/coord/clock"
	coordtable "github.com/banyanshift/banyanshift/coord/table"
	"github.com/banyanshift/banyanshift/internal/config/entity"
	"github.com/banyanshift/banyanshift/internal/platform/object"
	"github.com/banyanshift/banyanshift/internal/platform/order"
	"github.com/banyanshift/banyanshift/internal/platform/rest"
	"github.com/banyanshift/banyanshift/internal/platform/table"
	"github.com/banyanshift/banyanshift/internal/platform/usage"
	"github.com/banyanshift/banyanshift/internal/platform/vmlist"
	"github.com/banyanshift/banyanshift/internal/standin/engine"
	"github.com/banyanshift/banyanshift/internal/standin/host"
	"github.com/banyanshift/banyanshift/internal/standin/platform"
)

var ctx = context.Background()

func start(t *testing.T) *platform.Platform {
	t.Helper()
	config := platform.Defaults()
	config.VMLag, config.EndpointLag = 0, 0
	p := platform.New(config, clock.System())
	if err := p.Start("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	return p
}

func control(t *testing.T, p *platform.Platform, method, path string, in any) {
	t.Helper()
	if err := rest.New(p.URL(), http.DefaultClient).Call(ctx, method, path, in, nil); err != nil {
		t.Fatal(err)
	}
}

func TestTableFaults(t *testing.T) {
	tests := []struct {
		name    string
		fault   platform.Fault
		want    error
		written bool
	}{
		{"none", platform.Fault{}, nil, true},
		{"down", platform.Fault{Down: true}, coordtable.ErrUnavailable, false},
		{"lost answer", platform.Fault{LoseAnswers: 1}, coordtable.ErrUnknown, true},
		{"lost call", platform.Fault{LoseCalls: 1}, coordtable.ErrUnknown, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p := start(t)
			client := table.New(p.URL(), http.DefaultClient)
			test.fault.Service = platform.Table
			control(t, p, "POST", "/control/fault", test.fault)
			txn := coordtable.Txn{
				Conditions: []coordtable.Condition{{Key: "a"}},
				Writes:     []coordtable.Write{{Key: "a", Value: []byte("1")}},
			}
			if err := client.Commit(ctx, txn); !errors.Is(err, test.want) {
				t.Errorf("got %v, want %v", err, test.want)
			}
			control(t, p, "POST", "/control/fault", platform.Fault{Service: platform.Table})
			row, err := client.Get(ctx, "a")
			if err != nil || (row.Version != 0) != test.written {
				t.Errorf("got row %+v, error %v; want written %v", row, err, test.written)
			}
			if err := client.Commit(ctx, txn); test.written && !errors.Is(err, coordtable.ErrConflict) {
				t.Errorf("second commit: got error %v, want ErrConflict", err)
			}
		})
	}
}

func TestRateLimitRefusesWithoutEffect(t *testing.T) {
	p := start(t)
	control(t, p, "POST", "/control/fault", platform.Fault{Service: platform.Table, Rate: 2})
	client := table.New(p.URL(), http.DefaultClient)
	txn := coordtable.Txn{Writes: []coordtable.Write{{Key: "a"}}}
	refused := 0
	for range 20 {
		if errors.Is(client.Commit(ctx, txn), coordtable.ErrUnavailable) {
			refused++
		}
	}
	commits := p.Record().Commits
	if refused == 0 || commits+refused != 20 {
		t.Errorf("got %d refused and %d committed calls, want some refused and 20 in total", refused, commits)
	}
}

func TestObjectsAndViews(t *testing.T) {
	p := start(t)
	objects := object.New(p.URL(), http.DefaultClient)
	if _, err := objects.Get(ctx, "a/b"); !errors.Is(err, object.ErrNotFound) {
		t.Errorf("got error %v, want ErrNotFound", err)
	}
	if err := objects.Put(ctx, "a/b", []byte("data")); err != nil {
		t.Fatal(err)
	}
	if data, err := objects.Get(ctx, "a/b"); err != nil || string(data) != "data" {
		t.Errorf("got object %q, error %v; want \"data\"", data, err)
	}
	control(t, p, "PUT", "/vms/d1", vmlist.VM{Address: "10.0.0.1:1"})
	control(t, p, "PUT", "/views/d2", map[string]string{"d1": "127.0.0.1:9"})
	plain, err := vmlist.New(p.URL(), http.DefaultClient).List(ctx)
	if err != nil || len(plain) != 1 || plain[0].Address != "10.0.0.1:1" {
		t.Errorf("got VMs %v, error %v; want d1 with its own address", plain, err)
	}
	seen, err := vmlist.New(p.URL()+"/as/d2", http.DefaultClient).List(ctx)
	if err != nil || len(seen) != 1 || seen[0].Address != "127.0.0.1:9" {
		t.Errorf("got VMs %v, error %v; want d1 with the address for viewer d2", seen, err)
	}
}

func TestUsageConflict(t *testing.T) {
	p := start(t)
	client := usage.New(p.URL(), http.DefaultClient)
	window := usage.Window{Scope: "r", Number: 1, Fence: 2}
	if err := client.Report(usage.WithSender(ctx, "d2", 2), window); err != nil {
		t.Fatal(err)
	}
	if err := client.Report(usage.WithSender(ctx, "d1", 1), window); err != nil {
		t.Fatal(err)
	}
	window.Lines = []usage.Line{{Team: "a"}}
	if err := client.Report(ctx, window); !errors.Is(err, usage.ErrConflict) {
		t.Errorf("got %v, want a conflict", err)
	}
	reports := p.Record().Reports
	if len(reports) != 3 || !reports[1].Overlap || !reports[1].Repeated || !reports[2].Conflict {
		t.Errorf("got reports %+v, want an overlapping repetition and a conflict", reports)
	}
}

func startHost(t *testing.T, p *platform.Platform) *host.Host {
	t.Helper()
	config := engine.Defaults()
	config.StepMicros, config.StepMicrosPerRequest = 2000, 0
	config.PlatformURL = p.URL()
	h := host.New(host.Config{
		ID: "h", Type: entity.Model, Region: "r", FailureDomains: []string{"r-1"},
		Listen: "127.0.0.1:0", PlatformURL: p.URL(), Clock: clock.System(),
		NewEndpoint: func(spec host.Spec) *host.Endpoint { return engine.New(config, spec, clock.System()) },
	})
	if err := h.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(h.Close)
	return h
}

func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for range 1000 {
		if condition() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("timed out waiting for %s", what)
}

func TestEndpointLife(t *testing.T) {
	p := start(t)
	h := startHost(t, p)
	client := order.New(p.URL(), http.DefaultClient)
	given := order.Order{
		ID: "r/1", Scope: "r", Fence: 2, Holder: "d2", Kind: order.Start, Backend: "llama",
		FailureDomain: "r-1", Market: entity.Cheap, EndpointID: "e1", Model: "llama",
	}
	for range 2 {
		if err := client.Send(ctx, given); err != nil {
			t.Fatal(err)
		}
	}
	var listed []entity.Endpoint
	eventually(t, "the start", func() bool {
		listed, _ = client.Endpoints(ctx, func(err error) { t.Error(err) })
		return len(listed) == 1 && listed[0].Address != ""
	})
	late := given
	late.ID, late.Fence, late.Holder, late.EndpointID = "r/0", 1, "d1", "e0"
	if err := client.Send(ctx, late); !errors.Is(err, order.ErrOldFence) {
		t.Errorf("got error %v, want ErrOldFence", err)
	}
	body := `{"model":"llama","messages":[{"role":"user","content":"id=n1 len=5 hello"}]}`
	if text := complete(t, listed[0].Address, body); text != engine.Answer("id=n1 len=5 hello", 0) {
		t.Errorf("got answer %q, want that of the engine stand-in", text)
	}
	control(t, p, "POST", "/control/reclaim", platform.Reclaim{FailureDomain: "r-1", Notice: 50, Unavailable: clock.Minute})
	eventually(t, "the reclaim", func() bool {
		listed, _ = client.Endpoints(ctx, func(err error) { t.Error(err) })
		return len(listed) == 0
	})
	given.ID, given.EndpointID = "r/2", "e2"
	if err := client.Send(ctx, given); !errors.Is(err, order.ErrNoCapacity) {
		t.Errorf("got error %v, want ErrNoCapacity", err)
	}
	orders := p.Record().Orders
	if len(orders) != 4 || !orders[1].Repeated || !orders[2].Overlap || orders[0].Overlap {
		t.Errorf("got orders %+v, want 4 with a repeated and an overlapping one", orders)
	}
	ended := h.Record().Endpoints
	if len(ended) != 1 || ended[0].LeavingSince == 0 || ended[0].Ended == 0 || ended[0].Runs[0].Nonce != "n1" {
		t.Errorf("got endpoints %+v, want one that left, ended and ran n1", ended)
	}
}

// complete returns the joined content of a streamed answer.
func complete(t *testing.T, address, body string) string {
	t.Helper()
	response, err := http.Post("http://"+address+"/v1/chat/completions", "application/json", bytes.NewBufferString(body))
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	var text strings.Builder
	for _, line := range strings.Split(string(data), "\n") {
		var chunk struct {
			Choices []struct{ Delta struct{ Content string } }
		}
		payload, isData := strings.CutPrefix(line, "data: ")
		if !isData || json.Unmarshal([]byte(payload), &chunk) != nil || len(chunk.Choices) == 0 {
			continue
		}
		text.WriteString(chunk.Choices[0].Delta.Content)
	}
	return text.String()
}
