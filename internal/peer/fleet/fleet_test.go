package fleet_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	logtest "github.com/sirupsen/logrus/hooks/test"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/coord/table"
	"github.com/banyanshift/banyanshift/internal/config/document"
	"github.com/banyanshift/banyanshift/internal/decide/balance"
	"github.com/banyanshift/banyanshift/internal/decide/budget"
	"github.com/banyanshift/banyanshift/internal/endpoint/roster"
	"github.com/banyanshift/banyanshift/internal/peer/fleet"
	"github.com/banyanshift/banyanshift/internal/peer/link"
	"github.com/banyanshift/banyanshift/internal/usage/tally"
)

// daemon is what a daemon has of the fleet's common picture.
type daemon struct {
	address  string
	document *document.Holder
	roster   *roster.Roster
	board    *fleet.Scheduler
	tally    *tally.Tally
	fleet    *fleet.Fleet
	link     *link.Link
	stop     func()
}

func decode(raw []byte) (*document.Index, error) {
	var doc document.Document
	err := json.Unmarshal(raw, &doc)
	return document.NewIndex(doc), err
}

func version(n int64) (index *document.Index, raw []byte) {
	raw, _ = json.Marshal(document.Document{Version: n})
	index, _ = decode(raw)
	return index, raw
}

// loopbacks counts the loopback addresses that were given out.
var loopbacks atomic.Int64

// ownAddress returns an address for one daemon. A port of a shared address could
// be taken by a connection between its choice and its use.
func ownAddress() string {
	return fmt.Sprintf("127.%d.%d.1:8082", 120+os.Getpid()%100, loopbacks.Add(1))
}

// start starts a daemon that registers in the table.
func start(t *testing.T, id string, rows table.Client, seeds ...string) *daemon {
	logger, _ := logtest.NewNullLogger()
	clk := clock.System()
	d := &daemon{address: ownAddress(), document: document.NewHolder(), tally: tally.New(id, clock.Second)}
	d.link = link.New(link.Config{ID: id, Listen: d.address}, clk, logger)
	rng := rand.New(rand.NewPCG(1, 2))
	d.board = fleet.NewScheduler(clk, budget.Rules{Ratio: 0.2, FixedRetries: 10, Window: clock.Second}, func() int { return d.fleet.DaemonCount() }, rng)
	d.roster = roster.New(clk, 0, d.board.SetEndpoints)
	d.fleet = fleet.New(fleet.Config{
		Link: d.link, Clock: clk, Logger: logger, Self: link.Peer{ID: id, Address: d.address}, Seeds: seeds,
		Table: rows, Scheduler: d.board, Roster: d.roster, Document: d.document, Decode: decode, Tally: d.tally, Rand: rng,
	})
	if err := d.link.Start(); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = d.fleet.Run(ctx)
	}()
	d.stop = sync.OnceFunc(func() {
		cancel()
		<-done
		d.link.Close()
	})
	t.Cleanup(d.stop)
	return d
}

// eventually waits for a condition.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if holds() {
			return
		}
	}
	t.Fatalf("did not come about: %s", what)
}

func TestDaemonsFindEachOther(t *testing.T) {
	rows := table.NewMemory().Client()
	a, b := start(t, "a", rows), start(t, "b", rows)
	down := table.NewMemory()
	down.SetFault(table.Fault{Down: true})
	c := start(t, "c", down.Client(), a.address)
	for _, d := range []*daemon{a, b, c} {
		eventually(t, "three daemons know each other", func() bool { return d.fleet.DaemonCount() == 3 })
	}
}

func TestVersionsReachDaemonsThatTheStoreTurnsAway(t *testing.T) {
	rows := table.NewMemory().Client()
	a, b := start(t, "a", rows), start(t, "b", rows)
	index, raw := version(7)
	a.document.Offer(index, raw, clock.System().Now())
	eventually(t, "b has the version and knows that it is current", func() bool {
		a.document.Confirm(7, clock.System().Now())
		held, _ := b.document.Held()
		current, _ := b.fleet.ConfigStatus()
		return held != nil && held.Version() == 7 && current
	})
	newer, raw := version(9)
	a.document.Offer(newer, raw, clock.System().Now())
	eventually(t, "b has the newer version", func() bool {
		held, _ := b.document.Held()
		return held.Version() == 9
	})
}

func TestDaemonThatIsCutOffKnowsIt(t *testing.T) {
	rows := table.NewMemory().Client()
	a, b, c := start(t, "a", rows), start(t, "b", rows), start(t, "c", rows)
	index, raw := version(7)
	for _, d := range []*daemon{a, b, c} {
		d.document.Offer(index, raw, clock.System().Now())
	}
	eventually(t, "all know each other", func() bool {
		return c.fleet.DaemonCount() == 3 && a.fleet.DaemonCount() == 3 && b.fleet.DaemonCount() == 3
	})
	a.stop()
	b.stop()
	eventually(t, "c is not sure of its version", func() bool {
		current, _ := c.fleet.ConfigStatus()
		return !current
	})
	eventually(t, "c is isolated", func() bool {
		_, isolated := c.fleet.ConfigStatus()
		return isolated
	})
}

func TestOutageOfTheStoreIsolatesNobody(t *testing.T) {
	rows := table.NewMemory().Client()
	a, b := start(t, "a", rows), start(t, "b", rows)
	index, raw := version(7)
	a.document.Offer(index, raw, clock.System().Now())
	b.document.Offer(index, raw, clock.System().Now())
	eventually(t, "both know each other", func() bool { return a.fleet.DaemonCount() == 2 && b.fleet.DaemonCount() == 2 })
	time.Sleep(6 * time.Second)
	for _, d := range []*daemon{a, b} {
		current, isolated := d.fleet.ConfigStatus()
		if current || isolated {
			t.Errorf("current %t, isolated %t; want neither while the store is away for all", current, isolated)
		}
	}
}

func TestNewsOfALeavingEndpointReachesPeers(t *testing.T) {
	rows := table.NewMemory().Client()
	a, b := start(t, "a", rows), start(t, "b", rows)
	list := []roster.Endpoint{{Endpoint: balance.Endpoint{ID: "e", Backend: "books", Slots: 1, CacheTokens: 1000}, Address: "127.0.0.1:1"}}
	a.roster.Replace(list, 1, clock.System().Now())
	b.roster.Replace(list, 1, clock.System().Now())
	eventually(t, "both know each other", func() bool { return a.fleet.DaemonCount() == 2 && b.fleet.DaemonCount() == 2 })
	request := balance.Request{Backend: "books", Parts: []balance.PromptPart{{Hash: 1, Tokens: 10}}}
	if _, refusal := b.board.RelayScheduler().Place(request, clock.Second); refusal.Reason != "" {
		t.Fatal(refusal.Reason)
	}
	a.board.MarkLeaving("e")
	eventually(t, "b sends nothing to it", func() bool {
		_, refusal := b.board.RelayScheduler().Place(request, clock.Second)
		return refusal.Reason != ""
	})
}

func TestEndpointsReachDaemonsThatTheStoreTurnsAway(t *testing.T) {
	rows := table.NewMemory().Client()
	a, b := start(t, "a", rows), start(t, "b", rows)
	list := []roster.Endpoint{{Endpoint: balance.Endpoint{ID: "e", Backend: "books"}, Address: "127.0.0.1:1"}}
	a.roster.Replace(list, 4, clock.System().Now())
	eventually(t, "b has the list", func() bool {
		got, _, _, known := b.roster.List()
		return known && fmt.Sprint(got) == fmt.Sprint(list)
	})
}

func TestUsageIsCollectedFromAll(t *testing.T) {
	rows := table.NewMemory().Client()
	a, b := start(t, "a", rows), start(t, "b", rows)
	eventually(t, "both know each other", func() bool { return a.fleet.DaemonCount() == 2 && b.fleet.DaemonCount() == 2 })
	b.tally.Add("himal", 0)
	a.fleet.CollectUsage(context.Background(), 0)
	if sums := a.tally.Sum(0); sums["himal"] != 1 {
		t.Errorf("got %v", sums)
	}
}
