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

// Balancer is a small stand-in for the platform's load balancer in front of the
// daemons. It picks a random daemon whose readiness check succeeds.
type Balancer struct {
	clock  clock.Clock
	client *http.Client
	// readyPath is the path of the readiness check.
	readyPath string

	// FirstDaemonShare is the share of the requests, from 0 to 1, that goes to
	// the ready daemon whose name sorts first; the rest is spread evenly.
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
	readinessInterval = 200 * clock.Millisecond
	readinessTimeout  = clock.Second
)

// NewBalancer returns a Balancer without daemons. A daemon is ready if GET
// readyPath answers with status 200.
func NewBalancer(readyPath string, clk clock.Clock) *Balancer {
	return &Balancer{
		clock: clk, readyPath: readyPath,
		client:  &http.Client{Timeout: readinessTimeout.Duration()},
		targets: make(map[string]*target),
	}
}

// Put adds a daemon or replaces its base URL; it is not ready until checked.
func (b *Balancer) Put(id, url string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.targets[id] = &target{id: id, url: url}
}

// Remove removes a daemon.
func (b *Balancer) Remove(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.targets, id)
}

// Run checks the readiness of all daemons periodically until ctx ends.
func (b *Balancer) Run(ctx context.Context) {
	for {
		b.check(ctx)
		if b.clock.Sleep(ctx, readinessInterval) != nil {
			return
		}
	}
}

func (b *Balancer) check(ctx context.Context) {
	var wg sync.WaitGroup
	for _, t := range b.allTargets() {
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

func (b *Balancer) allTargets() []*target {
	b.mu.Lock()
	defer b.mu.Unlock()
	all := make([]*target, 0, len(b.targets))
	for _, t := range b.targets {
		all = append(all, t)
	}
	return all
}

// ReadyCount returns the number of ready daemons.
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

// IsReady reports whether the daemon is ready.
func (b *Balancer) IsReady(id string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	t, known := b.targets[id]
	return known && t.ready
}

// pick returns a random ready daemon, or any daemon if none is ready.
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
