// Package platform is a small stand-in for the platform's services: the table
// with transactions, the object store, the VM list, endpoint orders, usage
// reports and the weight store. Each service can be slowed down, taken down,
// limited in rate, or made to lose responses after the effect.
//
// # Usage
//
//	p := platform.New(platform.Defaults(), clock.System())
//	err := p.Start("127.0.0.1:0")
//	defer p.Close()
//	client := table.New(p.URL(), http.DefaultClient)
//
// POST /control/fault with a Fault sets a fault. GET /record returns the orders,
// endpoints and usage reports for a checker.
package platform

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"

	"github.com/samber/oops"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/coord/table"
	"github.com/banyanshift/banyanshift/internal/standin/record"
)

// Config configures a Platform.
type Config struct {
	// Seed seeds the random choice of lost calls and responses.
	Seed uint64
	// VMLag and EndpointLag are how far the lists lag behind the actual state.
	VMLag       clock.Millis
	EndpointLag clock.Millis
	// WritesPerSecond and ReadsPerSecond limit the table service, a
	// transaction counting as one write.
	WritesPerSecond float64
	ReadsPerSecond  float64
	// WeightBytesPerSecond limits the weight store, over all readers.
	WeightBytesPerSecond float64
	// FirmMilliPrice and CheapMilliPrice are the prices of an endpoint for an
	// hour, in thousandths of the currency.
	FirmMilliPrice  int64
	CheapMilliPrice int64
	// MaxCheapPerDomain bounds the cheap endpoints of a failure domain.
	MaxCheapPerDomain int
	// StopGrace is how long a stopped endpoint may finish running requests.
	StopGrace clock.Millis
	// ChecksFence makes the platform refuse orders with an outdated fence.
	ChecksFence bool
	// Slots is how many requests an endpoint runs concurrently.
	Slots int
	// BackendsIgnoringFence names the back ends whose engines do not check fences.
	BackendsIgnoringFence []string
}

// Defaults returns the default configuration.
func Defaults() Config {
	return Config{
		Seed:                 1,
		VMLag:                2 * clock.Second,
		EndpointLag:          500 * clock.Millisecond,
		WritesPerSecond:      400,
		ReadsPerSecond:       2000,
		WeightBytesPerSecond: 4 << 30,
		FirmMilliPrice:       4000,
		CheapMilliPrice:      1200,
		MaxCheapPerDomain:    16,
		StopGrace:            30 * clock.Second,
		ChecksFence:          true,
		Slots:                8,
	}
}

// Platform is a stand-in for the platform.
type Platform struct {
	config Config
	clock  clock.Clock
	faults *faults
	rows   table.Client
	memory *table.Memory
	leaks  *record.LeakCounter
	server *http.Server
	url    string
	ctx    context.Context
	cancel context.CancelFunc

	objects   objects
	vms       vms
	endpoints *endpoints
	usage     usageReports
	weights   *weights
}

// New returns a Platform that is not started.
func New(config Config, clk clock.Clock) *Platform {
	random := rand.New(rand.NewPCG(config.Seed, 1))
	memory := table.NewMemory()
	p := &Platform{
		config: config,
		clock:  clk,
		faults: newFaults(config, clk, random),
		memory: memory,
		rows:   memory.Client(),
		leaks:  &record.LeakCounter{},
	}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	p.vms.init(config.VMLag, clk)
	p.objects.data = make(map[string][]byte)
	p.usage.init(clk)
	p.endpoints = newEndpoints(p.ctx, config, clk)
	p.weights = newWeights(config.WeightBytesPerSecond)
	return p
}

// Start listens at address and serves requests in the background.
func (p *Platform) Start(address string) (err error) {
	defer func() { err = oops.Wrapf(err, "start platform stand-in") }()
	var config net.ListenConfig
	listener, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return err
	}
	p.url = "http://" + listener.Addr().String()
	p.server = &http.Server{Handler: p.routes(), ReadHeaderTimeout: clock.Minute.Duration()}
	go p.run(record.NewKeyScanner(listener, p.leaks))
	return nil
}

func (p *Platform) run(listener net.Listener) {
	_ = p.server.Serve(listener)
}

// URL returns the base URL of all services of a started Platform.
func (p *Platform) URL() string {
	return p.url
}

// Close stops the server and cancels the calls to hosts that are in progress.
func (p *Platform) Close() {
	p.cancel()
	_ = p.server.Close()
}

// Record returns the record of what happened so far.
func (p *Platform) Record() record.Platform {
	result := record.Platform{Now: p.clock.Wall(), KeyLeaks: p.leaks.Count()}
	result.Commits, result.Reads = p.memory.Counts()
	result.Reports = p.usage.record()
	p.endpoints.record(&result)
	return result
}

// history keeps past values of T so that they can be read with a lag.
type history[T any] struct {
	mu     sync.Mutex
	lag    clock.Millis
	clock  clock.Clock
	values []timed[T]
}

type timed[T any] struct {
	at    clock.Millis
	value T
}

func (h *history[T]) add(value T) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.values = append(h.values, timed[T]{at: h.clock.Now(), value: value})
}

// read returns the value that was current one lag ago and discards older ones.
func (h *history[T]) read() (value T) {
	h.mu.Lock()
	defer h.mu.Unlock()
	newest := -1
	for i, entry := range h.values {
		if entry.at <= h.clock.Now()-h.lag {
			newest = i
		}
	}
	if newest < 0 {
		return value
	}
	h.values = h.values[newest:]
	return h.values[0].value
}
