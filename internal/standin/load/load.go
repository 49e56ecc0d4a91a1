// Package load sends callers' requests to daemons and judges every answer
// against the only right one, which it knows from the stand-ins' rules.
//
// Arrivals are open loop: a flow sends at its rate whatever becomes of earlier
// requests. Each request carries a nonce by which a checker finds it again in
// the records of the stand-ins.
//
// # Usage
//
//	l := load.New(load.Config{Seed: 1, Flows: flows, Keys: keys, Targets: targets}, clk)
//	l.Run(ctx)              // until ctx ends; then waits for what is open
//	calls := l.Calls()
package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/banyanshift/banyanshift/coord/clock"
)

// Config configures a Load.
type Config struct {
	Seed  uint64
	Flows []Flow
	Keys  *Keyring
	// Balancer are the daemons that requests go to.
	Balancer *Balancer
	// DrainTimeout is how long open requests may go on when the context ends.
	DrainTimeout clock.Millis
	// MaxInFlight bounds the open requests; arrivals beyond it are dropped and
	// counted.
	MaxInFlight int
	// RetryDelay is the first pause before a call is repeated; it doubles.
	RetryDelay clock.Millis
}

// Load runs flows and keeps their calls.
type Load struct {
	config Config
	clock  clock.Clock
	client *http.Client
	open   atomic.Int64
	// dropped counts arrivals that were not sent for want of room.
	dropped atomic.Int64
	// rate multiplies the rates of the flows by name; 1 when absent.
	mu    sync.Mutex
	rates map[string]float64
	calls []*Call
	// done ends requests that are still open after the drain time.
	done   context.Context
	finish context.CancelFunc
	wg     sync.WaitGroup
}

// New returns a Load.
func New(config Config, clk clock.Clock) *Load {
	transport := &http.Transport{
		MaxIdleConnsPerHost: config.MaxInFlight,
		IdleConnTimeout:     (30 * clock.Second).Duration(),
		DisableCompression:  true,
	}
	l := &Load{config: config, clock: clk, rates: make(map[string]float64)}
	l.client = &http.Client{Transport: transport}
	l.done, l.finish = context.WithCancel(context.Background())
	return l
}

// Run sends requests until ctx ends, then waits for those that are open.
func (l *Load) Run(ctx context.Context) {
	var flows sync.WaitGroup
	for i := range l.config.Flows {
		flows.Add(1)
		s := &source{load: l, flow: l.config.Flows[i], random: rand.New(rand.NewPCG(l.config.Seed, uint64(i)+1)), index: i}
		go s.run(ctx, &flows)
	}
	flows.Wait()
	ended := make(chan struct{})
	go l.waitOpen(ended)
	select {
	case <-ended:
	case <-l.timer():
		l.finish()
		<-ended
	}
	l.finish()
	l.client.CloseIdleConnections()
}

func (l *Load) waitOpen(ended chan<- struct{}) {
	l.wg.Wait()
	close(ended)
}

func (l *Load) timer() <-chan struct{} {
	ctx, cancel := context.WithTimeout(context.Background(), l.config.DrainTimeout.Duration())
	context.AfterFunc(ctx, cancel)
	return ctx.Done()
}

// SetRateFactor multiplies the rate of the flows named name.
func (l *Load) SetRateFactor(name string, factor float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rates[name] = factor
}

func (l *Load) factor(name string) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if factor, ok := l.rates[name]; ok {
		return factor
	}
	return 1
}

// Calls returns all calls so far. It is meant for after Run has returned.
func (l *Load) Calls() []*Call {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]*Call(nil), l.calls...)
}

// Progress is a count of calls by outcome.
type Progress struct {
	Sent     int
	InFlight int64
	Dropped  int64
}

// Progress returns how far the load is.
func (l *Load) Progress() Progress {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Progress{Sent: len(l.calls), InFlight: l.open.Load(), Dropped: l.dropped.Load()}
}

// source is the running side of a flow.
type source struct {
	load   *Load
	flow   Flow
	random *rand.Rand
	index  int
	sent   int
}

// run sends requests at exponentially distributed intervals.
func (s *source) run(ctx context.Context, flows *sync.WaitGroup) {
	defer flows.Done()
	clk := s.load.clock
	begun := float64(clk.Now())
	next := begun
	for {
		rate := s.flow.PerSecond * s.load.factor(s.flow.Name) * s.flow.burst(clock.Millis(next-begun))
		next += s.random.ExpFloat64() / max(rate, minRate) * float64(clock.Second)
		next = max(next, float64(clk.Now()-clock.Second))
		if clk.Sleep(ctx, clock.Millis(next)-clk.Now()) != nil {
			return
		}
		s.launch()
	}
}

// minRate keeps the intervals of a flow that stands still finite.
const minRate = 0.01

func (s *source) launch() {
	l := s.load
	s.sent++
	call := s.compose(fmt.Sprintf("s%d-f%d-%d", l.config.Seed, s.index, s.sent))
	if l.open.Load() >= int64(l.config.MaxInFlight) {
		l.dropped.Add(1)
		return
	}
	l.mu.Lock()
	l.calls = append(l.calls, call)
	l.mu.Unlock()
	seed := s.random.Uint64()
	l.open.Add(1)
	l.wg.Add(1)
	go l.run(call, s.flow, rand.New(rand.NewPCG(seed, 1)))
}

// run carries out one call with its repetitions.
func (l *Load) run(call *Call, flow Flow, random *rand.Rand) {
	defer l.wg.Done()
	defer l.open.Add(-1)
	if call.Duplicated {
		l.wg.Add(1)
		go l.second(call, flow)
	}
	l.attempts(call, flow, random)
	call.Ended = l.clock.Wall()
}

// second sends the same call another time, at the same moment.
func (l *Load) second(call *Call, flow Flow) {
	defer l.wg.Done()
	call.AddAttempt(l.attempt(call, flow))
}

// maxAttempts bounds how often a call with an idempotency key is sent.
const maxAttempts = 6

func (l *Load) attempts(call *Call, flow Flow, random *rand.Rand) {
	wait := l.config.RetryDelay
	for range maxAttempts {
		attempt := l.attempt(call, flow)
		call.AddAttempt(attempt)
		final := attempt.Outcome == Completed || attempt.Outcome == Wrong || attempt.Outcome == Cancelled
		if call.IdempotencyKey == "" || call.Forbidden || final || attempt.final() {
			return
		}
		pause := max(wait, attempt.RetryAfter) + clock.Millis(random.IntN(int(wait)+1))
		if l.clock.Sleep(l.done, pause) != nil {
			return
		}
		wait *= 2
	}
}
