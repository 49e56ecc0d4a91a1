package plan_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus/hooks/test"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/coord/guard"
	"github.com/banyanshift/banyanshift/coord/lease"
	"github.com/banyanshift/banyanshift/coord/table"
	"github.com/banyanshift/banyanshift/internal/config/entity"
	"github.com/banyanshift/banyanshift/internal/decide/capacity"
	"github.com/banyanshift/banyanshift/internal/order/dispatch"
	"github.com/banyanshift/banyanshift/internal/order/journal"
	"github.com/banyanshift/banyanshift/internal/order/leader"
	"github.com/banyanshift/banyanshift/internal/order/plan"
	"github.com/banyanshift/banyanshift/internal/platform/order"
	"github.com/banyanshift/banyanshift/internal/platform/rest"
	platformtable "github.com/banyanshift/banyanshift/internal/platform/table"
	"github.com/banyanshift/banyanshift/internal/standin/engine"
	"github.com/banyanshift/banyanshift/internal/standin/host"
	"github.com/banyanshift/banyanshift/internal/standin/platform"
)

const leaseKey = "Lease/r"

var domains = []string{"r-1", "r-2", "r-3"}

// candidate is one daemon that competes for the lease. Only its demand is fake.
// dead cuts it off from the table, so that it cannot release the lease.
type candidate struct {
	lease   *lease.Lease
	planner *plan.Planner
	dead    atomic.Bool
	cancel  context.CancelFunc
	running sync.WaitGroup
}

func (c *candidate) table(url string) table.Client {
	client := platformtable.New(url, http.DefaultClient)
	get, scan, commit := client.Get, client.Scan, client.Commit
	return table.Client{
		Get: func(ctx context.Context, key string) (table.Row, error) {
			if c.dead.Load() {
				return table.Row{}, table.ErrUnavailable
			}
			return get(ctx, key)
		},
		Scan: func(ctx context.Context, prefix, after string, limit int) ([]table.Row, error) {
			if c.dead.Load() {
				return nil, table.ErrUnavailable
			}
			return scan(ctx, prefix, after, limit)
		},
		Commit: func(ctx context.Context, txn table.Txn) error {
			if c.dead.Load() {
				return table.ErrUnavailable
			}
			return commit(ctx, txn)
		},
	}
}

func startCandidate(t *testing.T, p *platform.Platform, name string, seed uint64) *candidate {
	t.Helper()
	c := &candidate{}
	clk, client := clock.System(), c.table(p.URL())
	logger, _ := test.NewNullLogger()
	c.lease = lease.New(lease.Config{
		Table: client, Clock: clk, Key: leaseKey, Holder: name, TTL: clock.Second, Rand: rand.New(rand.NewPCG(seed, 1)),
	})
	send := func(ctx context.Context, ord order.Order) error {
		g := guard.New(guard.ForFence(c.lease.Valid, ord.Fence), clk)
		return order.New(p.URL(), &http.Client{Transport: g.Transport()}).Send(ctx, ord)
	}
	d := dispatch.New(dispatch.Config{
		Journal: journal.New(journal.Config{
			Table: client, Clock: clk, Scope: "r", Holder: name, Guard: leader.Guard(client, leaseKey), Keep: 1000,
		}),
		Clock: clk, Logger: logger, Holder: name, Send: send,
		HandleClosedOrder: func(entry journal.Entry) { c.planner.HandleClosedOrder(entry) },
	})
	list := func() []entity.Endpoint {
		endpoints, _ := order.New(p.URL(), http.DefaultClient).Endpoints(context.Background(), func(err error) { t.Error(err) })
		return endpoints
	}
	c.planner = plan.New(plan.Config{
		Clock: clk, Logger: logger, Settings: capacity.DefaultSettings(),
		Submit: d.Submit, Ready: d.Ready, OpenOrders: d.OpenOrders, TakeoverEntries: d.TakeoverEntries,
		Backends: func() []capacity.Backend {
			b := entity.Backend{Name: "m", Type: entity.Model, Model: "m", Slots: 8, MaxEndpoints: 20, FirmOnly: true}
			return []capacity.Backend{{Backend: b}}
		},
		Demands:   func() []capacity.Demand { return []capacity.Demand{{Backend: "m", Running: 25}} },
		Endpoints: list, Running: func(string) int { return 0 }, Domains: func() []string { return domains },
	})
	h := leader.New(leader.Config{
		Clock: clk, Logger: logger, Scope: "r", Lease: c.lease.Valid, SettleTime: 200,
		Work: []leader.Work{d.Run, c.planner.Run},
	})
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel = cancel
	for _, work := range []func(context.Context) error{c.lease.Run, h.Run} {
		c.running.Add(1)
		go func() {
			defer c.running.Done()
			_ = work(ctx)
		}()
	}
	t.Cleanup(c.kill)
	return c
}

// kill stops the candidate without releasing the lease.
func (c *candidate) kill() {
	c.dead.Store(true)
	c.cancel()
	c.running.Wait()
}

func (c *candidate) holds() bool {
	_, _, ok := c.lease.Valid()
	return ok
}

func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(60 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("timed out while waiting for %s", what)
}

func newPlatform(t *testing.T) *platform.Platform {
	t.Helper()
	config := platform.Defaults()
	config.EndpointLag = 200
	p := platform.New(config, clock.System())
	if err := p.Start("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	engines := engine.Defaults()
	engines.PlatformURL = p.URL()
	h := host.New(host.Config{
		ID: "h", Type: entity.Model, Region: "r", FailureDomains: domains,
		Listen: "127.0.0.1:0", PlatformURL: p.URL(), Clock: clock.System(),
		NewEndpoint: func(spec host.Spec) *host.Endpoint { return engine.New(engines, spec, clock.System()) },
	})
	if err := h.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(h.Close)
	return p
}

func fault(t *testing.T, p *platform.Platform, fault platform.Fault) {
	t.Helper()
	if err := rest.New(p.URL(), http.DefaultClient).Call(context.Background(), "POST", "/control/fault", fault, nil); err != nil {
		t.Fatal(err)
	}
}

// TestHoldersDieWhileAnswersAreLost kills the holder twice while the platform
// loses answers to orders and to transactions.
func TestHoldersDieWhileAnswersAreLost(t *testing.T) {
	p := newPlatform(t)
	fault(t, p, platform.Fault{Service: platform.Order, LoseAnswers: 0.4, LoseCalls: 0.2})
	fault(t, p, platform.Fault{Service: platform.Table, LoseAnswers: 0.2})
	var holder *candidate
	for round := range 3 {
		next := startCandidate(t, p, fmt.Sprint("d", round), uint64(round))
		if holder != nil {
			holder.kill()
		}
		holder = next
		eventually(t, "a takeover", holder.holds)
		if round < 2 {
			seen := len(p.Record().Orders)
			eventually(t, "an order", func() bool { return len(p.Record().Orders) > seen })
		}
	}
	fault(t, p, platform.Fault{Service: platform.Order})
	fault(t, p, platform.Fault{Service: platform.Table})
	client := platformtable.New(p.URL(), http.DefaultClient)
	eventually(t, "6 endpoints and no open order", func() bool {
		listed, err := order.New(p.URL(), http.DefaultClient).Endpoints(context.Background(), func(err error) { t.Error(err) })
		return err == nil && len(listed) >= 6 && holder.planner.Report().MissingTop == 0 && open(t, client) == 0
	})
	checkOrders(t, p, client)
}

func open(t *testing.T, client table.Client) (count int) {
	t.Helper()
	entries, err := journal.Entries(context.Background(), client, "r")
	if err != nil {
		t.Fatal(err)
	}
	for _, entry := range entries {
		if entry.State == journal.Open {
			count++
		}
	}
	return count
}

// checkOrders compares what the platform received with the journal.
func checkOrders(t *testing.T, p *platform.Platform, client table.Client) {
	t.Helper()
	entries, err := journal.Entries(context.Background(), client, "r")
	if err != nil {
		t.Fatal(err)
	}
	states := map[string]journal.State{}
	for _, entry := range entries {
		states[entry.Order.ID] = entry.State
	}
	accepted := map[string]int{}
	repeated := 0
	for _, received := range p.Record().Orders {
		if received.Overlap {
			t.Errorf("order %s came from the former holder %s", received.ID, received.Holder)
		}
		if received.Repeated {
			repeated++
		} else if received.Accepted {
			accepted[received.ID]++
		}
	}
	for id, times := range accepted {
		if times != 1 || states[id] != journal.Done {
			t.Errorf("order %s: got %d executions and state %q in the journal, want 1 and Done", id, times, states[id])
		}
	}
	// At each takeover, one transaction without an answer may add its orders.
	if started := len(accepted); started < 6 || started > 14 {
		t.Errorf("got %d endpoints started, want 6 to 14", started)
	}
	t.Logf("%d orders carried out, %d repeated, %d journalled", len(accepted), repeated, len(entries))
}
