package load

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"

	"github.com/banyanshift/banyanshift/coord/clock"
)

// Balancer is a small stand-in of the platform's balancer in front of the
// daemons: it sends requests to those whose readiness check succeeds.
type Balancer struct {
	clock  clock.Clock
	client *http.Client
	// ReadyPath is the path of the readiness check.
	readyPath string

	// FirstDaemonShare is the share of the requests, from 0 to 1, that goes to the first
	// ready daemon by name before the rest is spread evenly.
	FirstDaemonShare float64

	mu      sync.Mutex
	targets map[string]*target
}

type target struct {
	id    string
	url   string
	ready bool
}

const (
	readinessEvery   = 200 * clock.Millisecond
	readinessTimeout = clock.Second
)

// NewBalancer returns a Balancer that checks readyPath.
func NewBalancer(readyPath string, clk clock.Clock) *Balancer {
	return &Balancer{
		clock: clk, readyPath: readyPath,
		client:  &http.Client{Timeout: readinessTimeout.Duration()},
		targets: make(map[string]*target),
	}
}

// Put adds a daemon or changes its base URL.
func (b *Balancer) Put(id, url string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.targets[id] = &target{id: id, url: url}
}

// Remove takes a daemon out.
func (b *Balancer) Remove(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.targets, id)
}

// Run checks readiness until ctx ends.
func (b *Balancer) Run(ctx context.Context) {
	for {
		b.check(ctx)
		if b.clock.Sleep(ctx, readinessEvery) != nil {
			return
		}
	}
}

func (b *Balancer) check(ctx context.Context) {
	var wg sync.WaitGroup
	for _, t := range b.list() {
		wg.Go(func() { b.checkOne(ctx, t) })
	}
	wg.Wait()
}

func (b *Balancer) checkOne(ctx context.Context, t *target) {
	ready := false
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, t.url+b.readyPath, http.NoBody)
	if err == nil {
		response, err := b.client.Do(request)
		if err == nil {
			ready = response.StatusCode == http.StatusOK
			_ = response.Body.Close()
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	t.ready = ready
}

func (b *Balancer) list() []*target {
	b.mu.Lock()
	defer b.mu.Unlock()
	all := make([]*target, 0, len(b.targets))
	for _, t := range b.targets {
		all = append(all, t)
	}
	return all
}

// ReadyCount returns how many daemons take requests.
func (b *Balancer) ReadyCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	ready := 0
	for _, t := range b.targets {
		if t.ready {
			ready++
		}
	}
	return ready
}

// IsReady says that a daemon takes requests.
func (b *Balancer) IsReady(id string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	t, known := b.targets[id]
	return known && t.ready
}

// pick returns a ready daemon, or any when none is known to be.
func (b *Balancer) pick() (id, url string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var ready, all []*target
	for _, t := range b.targets {
		all = append(all, t)
		if t.ready {
			ready = append(ready, t)
		}
	}
	if len(ready) > 0 {
		all = ready
	}
	if len(all) == 0 {
		return "", ""
	}
	chosen := all[rand.IntN(len(all))]
	if b.FirstDaemonShare > 0 && rand.Float64() < b.FirstDaemonShare {
		chosen = slices.MinFunc(all, func(a, b *target) int { return strings.Compare(a.id, b.id) })
	}
	return chosen.id, chosen.url
}
