// Package engine is a small stand-in for a language-model engine. It uses
// continuous batching, so that the time between tokens grows with the batch; it
// caches prompt prefixes in limited memory, orders its queue by priority,
// resumes and cancels streams, and injects faults on command.
//
// Token i of an answer is a pure function of the prompt and i, so that a
// checker can compute the right answer to every request. The word len=N in a
// prompt sets the length of the answer, and id=X identifies the request in the
// record.
//
// # Usage
//
//	e := engine.New(engine.Defaults(), spec, clock.System())
//	http.Serve(listener, e.Handler)
//
// Package host starts engines with their listeners.
package engine

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/caller/request"
	"github.com/banyanshift/banyanshift/internal/standin/host"
	"github.com/banyanshift/banyanshift/internal/standin/record"
)

const blockTokens = request.PrefixBlockTokens

// Config configures the engines of a process.
type Config struct {
	// Seed seeds the random choice of lost events and of faults.
	Seed uint64
	// StepMicros is the base duration of a batch step. Each request in the
	// batch adds StepMicrosPerRequest.
	StepMicros           int64
	StepMicrosPerRequest int64
	// PrefillMicrosPerToken is the prefill time of one uncached prompt token.
	PrefillMicrosPerToken int64
	// KVTokens is the capacity in tokens of the KV cache of running requests,
	// and of the prefix cache.
	KVTokens int
	// MaxWaiting is the capacity of the engine's own queue.
	MaxWaiting int
	// LoadLag is the sampling period of load reports; a report is between one
	// and two periods old.
	LoadLag clock.Millis
	// CacheEventLag is the delay before a cache event becomes visible, and
	// CacheEventLossShare the share of cache events that is lost.
	CacheEventLag       clock.Millis
	CacheEventLossShare float64
	// WeightBytes is the size of a model in the weight store.
	WeightBytes int64
	// PlatformURL is the base URL of the weight store. If it is empty, no
	// weights are loaded.
	PlatformURL string
}

// Defaults returns the default configuration.
func Defaults() Config {
	return Config{
		Seed:                  1,
		StepMicros:            18000,
		StepMicrosPerRequest:  1000,
		PrefillMicrosPerToken: 50,
		KVTokens:              64000,
		MaxWaiting:            64,
		LoadLag:               250 * clock.Millisecond,
		CacheEventLag:         500 * clock.Millisecond,
		CacheEventLossShare:   0.05,
		WeightBytes:           1 << 30,
	}
}

// engine is one endpoint.
type engine struct {
	config Config
	spec   host.Spec
	clock  clock.Clock
	cache  *prefixCache
	wake   chan struct{}
	ctx    context.Context
	cancel context.CancelFunc

	mu       sync.Mutex
	random   *rand.Rand
	fault    host.Fault
	leaving  bool
	closed   bool
	waiting  []*sequence
	running  []*sequence
	arrivals uint64
	kvUsed   int
	// runs holds every request received, in order of arrival.
	runs []*record.Run
	// tokensPerSecond is the token rate of the last step over the whole batch.
	tokensPerSecond float64
	// imported holds the IDs of requests whose KV cache was imported and that
	// have not started.
	imported map[string]bool
	loads    delayedLoad
	orders   orderLog
}

// New returns a running engine for spec.
func New(config Config, spec host.Spec, clk clock.Clock) *host.Endpoint {
	e := &engine{
		config: config, spec: spec, clock: clk,
		cache:    newPrefixCache(config, clk),
		wake:     make(chan struct{}, 1),
		random:   rand.New(rand.NewPCG(config.Seed, 3)),
		imported: make(map[string]bool),
	}
	e.orders.init(spec)
	e.ctx, e.cancel = context.WithCancel(context.Background())
	go e.run()
	return &host.Endpoint{
		Handler:     e.routes(),
		Prepare:     e.loadWeights,
		MarkLeaving: e.markLeaving,
		Drain:       e.drain,
		Close:       e.close,
		SetFault:    e.setFault,
		FillRecord:  e.record,
	}
}

func (e *engine) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", func(w http.ResponseWriter, r *http.Request) { e.complete(w, r, true) })
	mux.HandleFunc("POST /v1/completions", func(w http.ResponseWriter, r *http.Request) { e.complete(w, r, false) })
	mux.HandleFunc("POST /cancel", e.serveCancel)
	mux.HandleFunc("GET /load", e.serveLoad)
	mux.HandleFunc("GET /cache-events", e.serveEvents)
	mux.HandleFunc("POST /kv/export", e.serveExport)
	mux.HandleFunc("POST /kv/import", e.serveImport)
	mux.HandleFunc("POST /orders", e.serveOrder)
	return mux
}

func (e *engine) markLeaving() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = true
}

// drainPollInterval is how often drain checks whether the engine is idle.
const drainPollInterval = 20 * clock.Millisecond

func (e *engine) drain(ctx context.Context) {
	for e.hasWork() {
		if e.clock.Sleep(ctx, drainPollInterval) != nil {
			return
		}
	}
}

func (e *engine) hasWork() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.running)+len(e.waiting) > 0
}

// close stops the engine and aborts all waiting and running requests.
func (e *engine) close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.closed = true
	for _, s := range append(e.running, e.waiting...) {
		s.finish(record.Crashed, e.clock.Wall())
	}
	e.running, e.waiting = nil, nil
	e.cancel()
}

func (e *engine) setFault(fault host.Fault) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fault = fault
}

func (e *engine) record(into *record.Endpoint) {
	e.mu.Lock()
	defer e.mu.Unlock()
	into.Runs = make([]record.Run, 0, len(e.runs))
	for _, run := range e.runs {
		into.Runs = append(into.Runs, *run)
	}
	into.Orders = e.orders.list()
}
