// Package engine is a small stand-in for a language-model engine. It batches
// continuously, so that the time between tokens grows with the batch; caches
// prompt prefixes in limited memory; honours priorities; resumes and cancels
// streams; and misbehaves on command.
//
// Token i of an answer is a pure function of the prompt and i, so that a
// checker knows the right answer to every request. A prompt may hold the words
// len=N, which fixes the length of the answer, and id=X, which marks the
// request in the record.
//
// # Usage
//
//	e := engine.New(engine.Defaults(), spec, clock.System())
//	http.Serve(listener, e.Handler)
//
// The package host starts engines with their listeners.
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
	// Seed feeds the lost events and the faults.
	Seed uint64
	// StepMicros is the time of a batch step, and StepMicrosPerRequest what
	// each request in it adds.
	StepMicros           int64
	StepMicrosPerRequest int64
	// PrefillMicrosPerToken is the time to read one uncached prompt token.
	PrefillMicrosPerToken int64
	// KVTokens bounds the KV cache of the running requests, and the prefix
	// cache, in tokens each.
	KVTokens int
	// MaxWaiting bounds the engine's own queue.
	MaxWaiting int
	// LoadLag is how far load reports are behind the truth.
	LoadLag clock.Millis
	// CacheEventLag is how late cache events come, and CacheEventLossShare the share of them
	// that is lost.
	CacheEventLag       clock.Millis
	CacheEventLossShare float64
	// WeightBytes is the size of a model in the weight store.
	WeightBytes int64
	// PlatformURL is where the weight store is; none when empty.
	PlatformURL string
}

// Defaults returns the usual configuration.
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
	// runs are all requests that came, in the order of their arrival.
	runs []*record.Run
	// rate is the tokens a second of the last step.
	rate float64
	// imported holds the requests whose KV cache was imported.
	imported map[string]bool
	loads    loadReports
	orders   orderBook
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
		MarkLeaving: e.leave,
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

func (e *engine) leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = true
}

// drainPoll is how often a draining engine looks whether it is idle.
const drainPoll = 20 * clock.Millisecond

func (e *engine) drain(ctx context.Context) {
	for e.busy() {
		if e.clock.Sleep(ctx, drainPoll) != nil {
			return
		}
	}
}

func (e *engine) busy() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.running)+len(e.waiting) > 0
}

// close ends the engine; what runs is cut off.
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
