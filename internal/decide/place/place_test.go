package place

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/config/entity"
)

func newPlacer(config Config, n, slots int) *Placer {
	p := New(config, rand.New(rand.NewPCG(1, 2)))
	p.SetEndpoints(0, newEndpoints(n), func(entity.Endpoint) int { return slots })
	return p
}

func newEndpoints(n int) []entity.Endpoint {
	endpoints := make([]entity.Endpoint, n)
	for i := range endpoints {
		endpoints[i] = entity.Endpoint{ID: fmt.Sprintf("e%03d", i), Incarnation: "1"}
	}
	return endpoints
}

// prefix returns the digests of n prefix blocks.
func prefix(n int, seed uint64) []uint64 {
	digests := make([]uint64, n)
	for i := range digests {
		digests[i] = seed<<32 + uint64(i) + 1
	}
	return digests
}

func TestPrefersCachedPrefixUntilItCostsMore(t *testing.T) {
	p := newPlacer(Config{}, 3, 8)
	r := Request{PromptTokens: 1280, Digests: prefix(20, 1)}
	p.RecordDispatch(0, "e001", "first", 1280, r.Digests)
	p.RecordFirstToken("e001", "first")
	choice, _ := p.Choose(1, r)
	if choice.Endpoint != "e001" || choice.Uncached != 0 {
		t.Fatalf("got %+v, want e001, which has the prefix cached", choice)
	}
	// Waiting for 4000 tokens to be computed first costs more than the cached
	// prefix saves.
	p.RecordDispatch(2, "e001", "big", 4000, nil)
	if choice, _ := p.Choose(3, r); choice.Endpoint == "e001" {
		t.Fatal("chose e001 for its cached prefix although it costs more than it saves")
	}
}

func TestCacheEventsAndGaps(t *testing.T) {
	p := newPlacer(Config{}, 2, 8)
	r := Request{PromptTokens: 640, Digests: prefix(10, 1)}
	for i, digest := range r.Digests {
		p.RecordCacheEvents("e000", "1", 1, []CacheEvent{{Sequence: uint64(i + 1), Digest: digest}})
	}
	if choice, _ := p.Choose(0, r); choice.Endpoint != "e000" || choice.Uncached != 0 {
		t.Fatalf("got %+v, want e000 with 0 uncached tokens", choice)
	}
	p.RecordCacheEvents("e000", "1", 50, []CacheEvent{{Sequence: 50, Digest: 1}})
	if choice, _ := p.Choose(0, r); choice.Uncached != 320 {
		t.Fatalf("got %d uncached tokens after a gap in the events, want half: 320", choice.Uncached)
	}
	p.RecordCacheEvents("e000", "old", 51, []CacheEvent{{Sequence: 51, Evicted: true, Digest: r.Digests[9]}})
	p.RecordCacheEvents("e000", "1", 51, []CacheEvent{{Sequence: 51, Evicted: true, Digest: r.Digests[9]}})
	if choice, _ := p.Choose(0, r); choice.Uncached != 640-288 {
		t.Fatalf("got %d uncached tokens after an eviction, want %d", choice.Uncached, 640-288)
	}
}

func TestIndexIsBounded(t *testing.T) {
	p := newPlacer(Config{IndexBlocks: 100}, 2, 8)
	for i := range 50 {
		p.RecordDispatch(0, "e000", fmt.Sprint(i), 0, prefix(20, uint64(i)))
	}
	if n := len(p.index.blocks); n > 100 {
		t.Fatalf("got %d blocks in the index, want at most 100", n)
	}
	p.SetEndpoints(1, newEndpoints(0), func(entity.Endpoint) int { return 8 })
	for i := range 50 {
		p.RecordEnd(1, "e000", fmt.Sprint(i), Result{})
	}
	if n := len(p.index.blocks); n != 0 || len(p.replicas) != 0 {
		t.Fatalf("got %d blocks and %d endpoints after all endpoints were removed, want none", n, len(p.replicas))
	}
}

func TestNewIncarnationHasAnEmptyCache(t *testing.T) {
	p := newPlacer(Config{}, 1, 8)
	r := Request{PromptTokens: 640, Digests: prefix(10, 1)}
	p.RecordDispatch(0, "e000", "a", 640, r.Digests)
	restarted := newEndpoints(1)
	restarted[0].Incarnation = "2"
	p.SetEndpoints(1, restarted, func(entity.Endpoint) int { return 8 })
	if choice, _ := p.Choose(2, r); choice.Uncached != 640 {
		t.Fatalf("got %d uncached tokens, want all 640", choice.Uncached)
	}
}

func TestLateLoadReportsAreCorrected(t *testing.T) {
	p := newPlacer(Config{}, 1, 4)
	p.RecordDispatch(1000, "e000", "a", 0, nil)
	p.RecordDispatch(1000, "e000", "b", 0, nil)
	p.RecordEnd(1500, "e000", "a", Result{})
	// The report dates from when both requests ran. They must not be counted
	// twice.
	p.RecordLoad(1600, LoadReport{Endpoint: "e000", Incarnation: "1", Running: 2, Sequence: 1})
	if p.FreeSlots() != 3 {
		t.Fatalf("got %d free slots, want 3", p.FreeSlots())
	}
	p.RecordLoad(1700, LoadReport{Endpoint: "e000", Incarnation: "1", Running: 4, Sequence: 2})
	if p.FreeSlots() != 1 {
		t.Fatalf("got %d free slots, want 1, because two requests of other daemons run", p.FreeSlots())
	}
	p.RecordLoad(1800, LoadReport{Endpoint: "e000", Incarnation: "1", Running: 0, Sequence: 1})
	if p.FreeSlots() != 1 {
		t.Fatal("an outdated report was used")
	}
}

// recordTokens records n samples of the time between tokens.
func recordTokens(p *Placer, endpoint string, n int, tokenTime clock.Millis) {
	for range n {
		p.RecordTokens(endpoint, 10, 10*tokenTime)
	}
}

func TestStragglersAreEjectedUpToMaxShare(t *testing.T) {
	p := newPlacer(Config{}, 9, 8)
	for i, endpoint := range newEndpoints(9) {
		tokenTime := clock.Millis(20)
		if i >= 5 {
			tokenTime = 200
		}
		recordTokens(p, endpoint.ID, 5, tokenTime)
	}
	p.EjectStragglers(0)
	if p.EjectedCount() != 3 {
		t.Fatalf("got %d of 9 endpoints ejected, want 3, the maximum share", p.EjectedCount())
	}
	for range 72 {
		choice, found := p.Choose(1, Request{})
		if !found {
			break
		}
		if r := p.byID[choice.Endpoint]; r.ejected {
			t.Fatal("chose an ejected endpoint")
		}
		p.RecordDispatch(1, choice.Endpoint, fmt.Sprint(rand.Uint64()), 0, nil)
	}
}

func TestProbeReinstatesRecoveredEndpoint(t *testing.T) {
	p := newPlacer(Config{}, 4, 8)
	for i, endpoint := range newEndpoints(4) {
		recordTokens(p, endpoint.ID, 5, clock.Millis(20+180*(i/3)))
	}
	if got := p.EjectStragglers(0); len(got) != 1 || got[0] != "e003" {
		t.Fatalf("got ejected endpoints %v, want e003", got)
	}
	r := Request{Retryable: true}
	if choice, _ := p.Choose(4*clock.Second, r); choice.Probe {
		t.Fatal("probed too early")
	}
	if choice, _ := p.Choose(6*clock.Second, Request{}); choice.Probe {
		t.Fatal("probed with a request that is not retryable")
	}
	choice, _ := p.Choose(6*clock.Second, r)
	if !choice.Probe || choice.Endpoint != "e003" {
		t.Fatalf("got %+v, want a probe of e003", choice)
	}
	p.RecordDispatch(6*clock.Second, "e003", "probe", 0, nil)
	if again, _ := p.Choose(6*clock.Second, r); again.Probe {
		t.Fatal("two probes at the same time")
	}
	recordTokens(p, "e003", 20, 20)
	p.RecordEnd(8*clock.Second, "e003", "probe", Result{})
	if p.EjectedCount() != 0 {
		t.Fatal("a recovered endpoint is still ejected")
	}
}

func TestFailuresEject(t *testing.T) {
	p := newPlacer(Config{}, 3, 8)
	for i := range 3 {
		id := fmt.Sprint(i)
		p.RecordDispatch(0, "e001", id, 0, nil)
		p.RecordEnd(0, "e001", id, Result{Failed: true})
	}
	if p.Usable("e001") {
		t.Fatal("an endpoint is usable after three consecutive failures")
	}
}

func TestExcludedEndpointIsChosenOnlyAsFallback(t *testing.T) {
	p := newPlacer(Config{}, 2, 1)
	r := Request{Exclude: []string{"e000"}}
	if choice, _ := p.Choose(0, r); choice.Endpoint != "e001" {
		t.Fatal("chose the excluded endpoint")
	}
	p.RecordDispatch(0, "e001", "a", 0, nil)
	if choice, found := p.Choose(0, r); !found || choice.Endpoint != "e000" {
		t.Fatal("did not fall back to the excluded endpoint")
	}
}
