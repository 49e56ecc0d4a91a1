package fleet_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	logtest "github.com/sirupsen/logrus/hooks/test"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/coord/table"
	"github.com/banyanshift/banyanshift/internal/caller/relay"
	"github.com/banyanshift/banyanshift/internal/config/document"
	"github.com/banyanshift/banyanshift/internal/config/drain"
	"github.com/banyanshift/banyanshift/internal/decide/balance"
	"github.com/banyanshift/banyanshift/internal/decide/budget"
	"github.com/banyanshift/banyanshift/internal/endpoint/roster"
	"github.com/banyanshift/banyanshift/internal/peer/fleet"
	"github.com/banyanshift/banyanshift/internal/peer/link"
	"github.com/banyanshift/banyanshift/internal/peer/topology"
	"github.com/banyanshift/banyanshift/internal/peer/walltime"
	"github.com/banyanshift/banyanshift/internal/usage/tally"
)

// daemon is a test daemon with the state that it shares with the fleet.
type daemon struct {
	address   string
	document  *document.Holder
	drains    *drain.Holder
	roster    *roster.Roster
	scheduler *fleet.Scheduler
	tally     *tally.Tally
	fleet     *fleet.Fleet
	link      *link.Link
	log       *logtest.Hook
	// storeDown makes the daemon believe that it cannot read the store.
	storeDown atomic.Bool
	// fence is the highest fence that the daemon has seen in the store.
	fence atomic.Uint64
	stop  func()
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

// now returns a reading of the store at this time.
func now() document.Reading {
	return document.Reading{AsOf: clock.System().Now()}
}

// loopbackCount is the number of loopback addresses in use.
var loopbackCount atomic.Int64

// uniqueAddress returns a loopback address that only one daemon uses. On a shared
// address another connection could take the chosen port before it is used.
func uniqueAddress() string {
	return fmt.Sprintf("127.%d.%d.1:8082", 120+os.Getpid()%100, loopbackCount.Add(1))
}

// domainOf returns the failure domain of a test daemon: the part of its ID before a
// dash, or else "" for all.
func domainOf(id string) string {
	domain, _, found := strings.Cut(id, "-")
	if !found {
		return ""
	}
	return domain
}

// start starts a daemon that registers in the table.
func start(t *testing.T, id string, rows table.Client, seeds ...string) *daemon {
	return startWith(t, environment{clock: clock.System()}, id, rows, seeds...)
}

// environment is what a daemon runs in.
type environment struct {
	clock clock.Clock
	// firstStart is set if the whole system starts for the first time.
	firstStart bool
	// dial opens the connections to other daemons, unless it is nil.
	dial func(ctx context.Context, network, address string) (net.Conn, error)
	// readChanges replaces a store in which no entries of endpoints have changed, unless it is
	// nil.
	readChanges func(ctx context.Context) ([]roster.Endpoint, error)
}

// startWith starts a daemon in an environment.
func startWith(t *testing.T, env environment, id string, rows table.Client, seeds ...string) *daemon {
	logger, hook := logtest.NewNullLogger()
	clk := env.clock
	d := &daemon{log: hook, address: uniqueAddress(), document: document.NewHolder(), drains: drain.NewHolder(), tally: tally.New(id, clock.Second)}
	d.link = link.New(link.Config{ID: id, Listen: d.address, Dial: env.dial}, clk, logger)
	rng := rand.New(rand.NewPCG(1, 2))
	d.scheduler = fleet.NewScheduler(clk, logger, budget.Rules{Ratio: 0.2, FixedRetries: 10, Window: clock.Second}, func() int { return d.fleet.DaemonCount() }, d.drains.Domains, rng)
	d.roster = roster.New(clk, 0, func(list []roster.Endpoint) {
		d.scheduler.SetEndpoints(list)
		d.fleet.NotifyEndpoints()
	})
	readChanges := env.readChanges
	if readChanges == nil {
		readChanges = func(context.Context) ([]roster.Endpoint, error) {
			if d.storeDown.Load() {
				return nil, table.ErrUnavailable
			}
			return nil, nil
		}
	}
	noCrashes := fleet.Crashes{Fingerprint: func() uint64 { return 0 }, Sync: func(context.Context, string, uint64) {}}
	d.fleet = fleet.New(fleet.Config{
		Link: d.link, Clock: clk, Logger: logger, Self: topology.VM{ID: id, Address: d.address, FailureDomain: domainOf(id)},
		Incarnation: id, Seeds: seeds, FirstStart: env.firstStart,
		Table: rows, Scheduler: d.scheduler, Roster: d.roster, Document: d.document, Drains: d.drains, Decode: decode, Tally: d.tally, WallTime: walltime.New(clk), Crashes: noCrashes, StoreUnavailable: d.storeDown.Load, HighestFence: func() uint64 { return d.fence.Load() }, FollowsStore: func() bool { return d.fleet.LeaderRank() < 3 }, ReadChanges: readChanges, Rand: rng,
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

// eventually waits up to 10 s for a condition.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("timed out waiting until %s", what)
}

func TestDaemonsDiscoverEachOther(t *testing.T) {
	rows := table.NewMemory().Client()
	a, b := start(t, "a", rows), start(t, "b", rows)
	down := table.NewMemory()
	down.SetFault(table.Fault{Down: true})
	c := start(t, "c", down.Client(), a.address)
	for _, d := range []*daemon{a, b, c} {
		eventually(t, "three daemons know each other", func() bool { return d.fleet.DaemonCount() == 3 })
	}
}

func TestConfigurationReachesDaemonsWithoutTheStore(t *testing.T) {
	rows := table.NewMemory().Client()
	a, b := start(t, "a", rows), start(t, "b", rows)
	index, raw := version(7)
	a.document.Update(index, raw, now())
	eventually(t, "b has the version and knows that it is current", func() bool {
		a.document.Confirm(document.IdentityOf(index, raw), now())
		held, _ := b.document.Current()
		current, _ := b.fleet.ConfigStatus()
		return held != nil && held.Version() == 7 && current
	})
	newer, raw := version(9)
	a.document.Update(newer, raw, now())
	eventually(t, "b has the newer version", func() bool {
		held, _ := b.document.Current()
		return held.Version() == 9
	})
}

// TestConfigurationOfALaterEraReachesAllDaemons gives the version that all hold to another
// content, and lets a daemon go on that has heard nothing of the later era.
func TestConfigurationOfALaterEraReachesAllDaemons(t *testing.T) {
	const applyTime = 2 * time.Second
	fleet := startTree(t)
	index, raw := version(7)
	for _, d := range fleet {
		d.document.Update(index, raw, document.Reading{Era: 1, AsOf: clock.System().Now()})
	}
	other, _ := json.Marshal(document.Document{Version: 7, Backends: []document.Backend{{Name: "new"}}})
	changed, _ := decode(other)
	written := time.Now()
	root := fleet["north-1"]
	root.document.Update(changed, other, document.Reading{Era: 2, AsOf: clock.System().Now()})
	root.fleet.Announce()
	for id, d := range fleet {
		eventually(t, id+" holds the other content", func() bool {
			fleet["south-1"].document.Confirm(document.IdentityOf(index, raw), document.Reading{Era: 1, AsOf: clock.System().Now()})
			held, _ := d.document.Current()
			return held.Backend("new") != nil
		})
	}
	if took := time.Since(written); took > applyTime {
		t.Errorf("took %s, want at most %s", took, applyTime)
	}
}

func TestDaemonDetectsIsolation(t *testing.T) {
	rows := table.NewMemory().Client()
	a, b, c := start(t, "a", rows), start(t, "b", rows), start(t, "c", rows)
	index, raw := version(7)
	for _, d := range []*daemon{a, b, c} {
		d.document.Update(index, raw, now())
	}
	eventually(t, "all know each other", func() bool {
		return c.fleet.DaemonCount() == 3 && a.fleet.DaemonCount() == 3 && b.fleet.DaemonCount() == 3
	})
	a.stop()
	b.stop()
	eventually(t, "c's version is no longer confirmed", func() bool {
		current, _ := c.fleet.ConfigStatus()
		return !current
	})
	eventually(t, "c is isolated", func() bool {
		_, isolated := c.fleet.ConfigStatus()
		return isolated
	})
}

func TestStoreOutageIsolatesNoDaemon(t *testing.T) {
	rows := table.NewMemory().Client()
	a, b := start(t, "a", rows), start(t, "b", rows)
	index, raw := version(7)
	a.document.Update(index, raw, now())
	b.document.Update(index, raw, now())
	eventually(t, "both know each other", func() bool { return a.fleet.DaemonCount() == 2 && b.fleet.DaemonCount() == 2 })
	time.Sleep(6 * time.Second)
	for _, d := range []*daemon{a, b} {
		current, isolated := d.fleet.ConfigStatus()
		if current || isolated {
			t.Errorf("current %t, isolated %t; want neither during a store outage that affects all daemons", current, isolated)
		}
	}
}

func TestLeavingEndpointIsReportedToPeers(t *testing.T) {
	rows := table.NewMemory().Client()
	a, b := start(t, "a", rows), start(t, "b", rows)
	list := []roster.Endpoint{{Endpoint: balance.Endpoint{ID: "e", Backend: "books", Slots: 1, CacheTokens: 1000}, Address: "127.0.0.1:1"}}
	a.roster.Replace(list, table.Position{Revision: 1}, clock.System().Now())
	b.roster.Replace(list, table.Position{Revision: 1}, clock.System().Now())
	eventually(t, "both know each other", func() bool { return a.fleet.DaemonCount() == 2 && b.fleet.DaemonCount() == 2 })
	request := balance.Request{Backend: "books", Parts: []balance.PromptPart{{Hash: 1, Tokens: 10}}}
	if _, refusal := b.fleet.RelayScheduler().Place(request, clock.Second); refusal.Reason != "" {
		t.Fatal(refusal.Reason)
	}
	a.roster.MarkLeaving("e", 0)
	eventually(t, "b refuses requests for the leaving endpoint", func() bool {
		_, refusal := b.fleet.RelayScheduler().Place(request, clock.Second)
		return refusal.Reason != ""
	})
}

// TestEndpointThatSaysItLeavesIsKnownEverywhere checks that all domains are told of it by
// the daemon that has heard it, which does not follow the store.
func TestEndpointThatSaysItLeavesIsKnownEverywhere(t *testing.T) {
	fleet := startTree(t)
	for _, d := range fleet {
		d.roster.Replace(engineList(), table.Position{Revision: 4}, clock.System().Now())
	}
	leaving := engineList()[0]
	fleet["south-3"].fleet.RecordLeaving(relay.Placement{Endpoint: leaving.ID, Incarnation: leaving.Incarnation})
	for id, d := range fleet {
		eventually(t, id+" knows that the endpoint leaves", func() bool {
			list, _, _, _ := d.roster.List()
			return len(list) > 0 && list[0].Leaving
		})
	}
}

func TestEndpointListReachesDaemonsWithoutTheStore(t *testing.T) {
	rows := table.NewMemory().Client()
	a, b := start(t, "a", rows), start(t, "b", rows)
	list := []roster.Endpoint{{Endpoint: balance.Endpoint{ID: "e", Backend: "books"}, Address: "127.0.0.1:1"}}
	a.roster.Replace(list, table.Position{Revision: 4}, clock.System().Now())
	eventually(t, "b has the list", func() bool {
		got, _, _, known := b.roster.List()
		return known && fmt.Sprint(got) == fmt.Sprint(list)
	})
}

// TestStaleListIsReplacedAtOnce guards against a daemon that starts with a list that was
// behind when it read it, and uses endpoints that its peers know to be gone.
func TestStaleListIsReplacedAtOnce(t *testing.T) {
	rows := table.NewMemory().Client()
	a, b := start(t, "a", rows), start(t, "b", rows)
	eventually(t, "both know each other", func() bool { return a.fleet.DaemonCount() == 2 && b.fleet.DaemonCount() == 2 })
	now := clock.System().Now()
	a.roster.Replace(nil, table.Position{Revision: 9}, now-2*clock.Second)
	b.roster.Replace(engineList(), table.Position{Revision: 3}, now)
	started := time.Now()
	eventually(t, "b drops the endpoint", func() bool {
		list, _, _, _ := b.roster.List()
		return len(list) == 0
	})
	if took := time.Since(started); took > time.Second {
		t.Errorf("took %s, want at most 1 s", took)
	}
}

// TestHighestFenceReachesAllDaemons guards against a fence that is used twice after the
// store came back from a copy.
func TestHighestFenceReachesAllDaemons(t *testing.T) {
	fleet := startTree(t)
	fleet["south-2"].fence.Store(7)
	for id, d := range fleet {
		eventually(t, id+" knows fence 7", func() bool { return d.fleet.KnownFence() == 7 })
	}
}

// TestRowsAreWrittenAgain guards against daemons that others no longer find, since the
// table has lost their rows.
func TestRowsAreWrittenAgain(t *testing.T) {
	t.Parallel()
	rows := table.NewMemory().Client()
	d := start(t, "a", rows)
	eventually(t, "the row is written", func() bool { return hasRow(t, rows, "VM/a") })
	if err := rows.Commit(context.Background(), table.Txn{Writes: []table.Write{{Key: "VM/a", Delete: true}}}); err != nil {
		t.Fatal(err)
	}
	for deadline := time.Now().Add(22 * time.Second); !hasRow(t, rows, "VM/a"); time.Sleep(100 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("the row of %s is not written again", d.address)
		}
	}
}

func hasRow(t *testing.T, rows table.Client, key string) bool {
	t.Helper()
	row, err := rows.Get(context.Background(), key)
	if err != nil {
		t.Fatal(err)
	}
	return row.Version != 0
}

func TestUsageIsCollectedFromPeers(t *testing.T) {
	rows := table.NewMemory().Client()
	a, b := start(t, "a", rows), start(t, "b", rows)
	eventually(t, "both know each other", func() bool { return a.fleet.DaemonCount() == 2 && b.fleet.DaemonCount() == 2 })
	b.tally.Add("himal", 0)
	a.fleet.CollectUsage(context.Background(), 0)
	if sums := a.tally.Sum(0); sums["himal"] != 1 {
		t.Errorf("got sums %v, want 1 for himal", sums)
	}
}

// startTree starts two failure domains of three daemons each, which discover each
// other through the table.
func startTree(t *testing.T) map[string]*daemon {
	return startTreeWith(t, environment{clock: clock.System()})
}

// startTreeWith starts the daemons of startTree in an environment.
func startTreeWith(t *testing.T, env environment) map[string]*daemon {
	rows := table.NewMemory().Client()
	fleet := make(map[string]*daemon)
	for _, id := range []string{"north-1", "north-2", "north-3", "south-1", "south-2", "south-3"} {
		fleet[id] = startWith(t, env, id, rows)
	}
	for id, d := range fleet {
		eventually(t, id+" counts all daemons", func() bool { return d.fleet.DaemonCount() == len(fleet) })
	}
	return fleet
}

func engineList() []roster.Endpoint {
	return []roster.Endpoint{{Endpoint: balance.Endpoint{ID: "e", Backend: "books", Slots: 1, CacheTokens: 1000}, Address: "127.0.0.1:1"}}
}

// TestChangesReachAllDomains checks that what the root of one failure domain reads
// from the store reaches a daemon of another one that is not a root.
func TestChangesReachAllDomains(t *testing.T) {
	fleet := startTree(t)
	reader, far := fleet["north-1"], fleet["south-3"]
	reader.roster.Replace(engineList(), table.Position{Revision: 4}, clock.System().Now())
	eventually(t, "the endpoint is listed in the other domain", func() bool { return far.roster.State().Known })
	index, raw := version(7)
	reader.document.Update(index, raw, now())
	reader.fleet.Announce()
	eventually(t, "the configuration is in force in the other domain", func() bool {
		held, _ := far.document.Current()
		return held != nil && held.Version() == 7
	})
	started := time.Now()
	reader.roster.MarkLeaving("e", 0)
	eventually(t, "the endpoint leaves in the other domain", func() bool {
		list, _, _, _ := far.roster.List()
		return list[0].Leaving
	})
	if took := time.Since(started); took > time.Second {
		t.Errorf("took %s, want at most 1 s", took)
	}
}

// TestUsageReachesTheRoots checks that usage that a daemon counted is known at the root
// of another failure domain, that a new root learns what the old one had not passed
// on, and that other daemons do not receive it.
func TestUsageReachesTheRoots(t *testing.T) {
	fleet := startTree(t)
	fleet["south-3"].tally.Add("himal", 0)
	eventually(t, "the usage is known at the other root", func() bool { return fleet["north-1"].tally.Sum(0)["himal"] == 1 })
	fleet["south-1"].stop()
	fleet["south-3"].tally.Add("himal", 0)
	eventually(t, "the usage is known after a takeover", func() bool { return fleet["north-1"].tally.Sum(0)["himal"] == 2 })
	eventually(t, "the new root knows it", func() bool { return fleet["south-2"].tally.Sum(0)["himal"] == 2 })
	if sums := fleet["north-3"].tally.Sum(0); len(sums) != 0 {
		t.Errorf("a daemon that bills nothing has the usage %v", sums)
	}
}

func TestSealsReachTheRoots(t *testing.T) {
	fleet := startTree(t)
	fleet["south-3"].tally.AddSeal(tally.Seal{Window: 4, Counts: map[string]int64{"himal": 3}})
	for _, id := range []string{"south-1", "north-1"} {
		eventually(t, id+" knows the seal", func() bool {
			seal, known := fleet[id].tally.Sealed(4)
			return known && seal.Counts["himal"] == 3
		})
	}
}

// TestTakeoverWithoutTheStore checks that the daemons of a domain whose first daemons
// stop together stay current through the next one, also while the store is down.
func TestTakeoverWithoutTheStore(t *testing.T) {
	fleet := startTree(t)
	fleet["south-1"].stop()
	fleet["south-2"].stop()
	index, raw := version(7)
	eventually(t, "the last daemon of the domain gets the configuration", func() bool {
		fleet["north-1"].document.Update(index, raw, now())
		held, _ := fleet["south-3"].document.Current()
		current, _ := fleet["south-3"].fleet.ConfigStatus()
		return held != nil && current && fleet["south-3"].fleet.IsRoot()
	})
}
