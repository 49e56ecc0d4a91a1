// Package load sends callers' requests to daemons and compares every response
// with the expected one. The stand-ins for engines and services answer
// deterministically, so there is exactly one expected response per request.
//
// Arrivals are open loop: a flow sends at its rate and does not wait for earlier
// requests. Each request carries a nonce by which a checker matches it with the
// records of the stand-ins.
//
// # Usage
//
//	l := load.New(load.Config{Seed: 1, Flows: flows, Keys: keys, Balancer: balancer}, clk)
//	l.Run(ctx)              // until ctx ends; then drains the requests in flight
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
	// Balancer chooses the daemon for each attempt.
	Balancer *Balancer
	// DrainTimeout is how long requests in flight may continue after the
	// context ends.
	DrainTimeout clock.Millis
	// MaxInFlight bounds the requests in flight; arrivals beyond it are dropped
	// and counted.
	MaxInFlight int
	// RetryDelay is the delay before the first retry; it doubles with each one.
	RetryDelay clock.Millis
}

// Load sends the calls of flows and records them.
type Load struct {
	config   Config
	clock    clock.Clock
	client   *http.Client
	inFlight atomic.Int64
	// dropped counts arrivals that were not sent because MaxInFlight was reached.
	dropped atomic.Int64
	mu      sync.Mutex
	// rates holds the rate factors of flows by name; the default is 1.
	rates map[string]float64
	calls []*Call
	// requestCtx is cancelled to end requests still in flight after the drain
	// timeout.
	requestCtx     context.Context
	cancelRequests context.CancelFunc
	wg             sync.WaitGroup
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
	l.requestCtx, l.cancelRequests = context.WithCancel(context.Background())
	return l
}

// Run sends requests until ctx ends, then waits for those in flight. It cancels
// them after the drain timeout.
func (l *Load) Run(ctx context.Context) {
	var flows sync.WaitGroup
	for i := range l.config.Flows {
		flows.Add(1)
		s := &flowSender{load: l, flow: l.config.Flows[i], random: rand.New(rand.NewPCG(l.config.Seed, uint64(i)+1)), index: i}
		go s.run(ctx, &flows)
	}
	flows.Wait()
	ended := make(chan struct{})
	go l.runWait(ended)
	select {
	case <-ended:
	case <-l.drainTimeout():
		l.cancelRequests()
		<-ended
	}
	l.cancelRequests()
	l.client.CloseIdleConnections()
}

// runWait closes ended when no request is in flight.
func (l *Load) runWait(ended chan<- struct{}) {
	l.wg.Wait()
	close(ended)
}

// drainTimeout returns a channel that is closed after the drain timeout.
func (l *Load) drainTimeout() <-chan struct{} {
	ctx, cancel := context.WithTimeout(context.Background(), l.config.DrainTimeout.Duration())
	context.AfterFunc(ctx, cancel)
	return ctx.Done()
}

// SetRateFactor sets the factor for the rate of the flows named name.
func (l *Load) SetRateFactor(name string, factor float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rates[name] = factor
}

func (l *Load) rateFactor(name string) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if factor, ok := l.rates[name]; ok {
		return factor
	}
	return 1
}

// Calls returns all calls so far. Calls still in flight change until Run
// returns.
func (l *Load) Calls() []*Call {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]*Call(nil), l.calls...)
}

// Progress counts the calls that were sent, are in flight and were dropped.
type Progress struct {
	Sent     int
	InFlight int64
	Dropped  int64
}

// Progress returns the current counts.
func (l *Load) Progress() Progress {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Progress{Sent: len(l.calls), InFlight: l.inFlight.Load(), Dropped: l.dropped.Load()}
}

// flowSender sends the calls of one flow.
type flowSender struct {
	load   *Load
	flow   Flow
	random *rand.Rand
	index  int
	sent   int
}

// run sends requests at exponentially distributed intervals until ctx ends.
func (s *flowSender) run(ctx context.Context, flows *sync.WaitGroup) {
	defer flows.Done()
	clk := s.load.clock
	started := float64(clk.Now())
	next := started
	for {
		rate := s.flow.PerSecond * s.load.rateFactor(s.flow.Name) * s.flow.rateFactorAt(clock.Millis(next-started))
		next += s.random.ExpFloat64() / max(rate, minRate) * float64(clock.Second)
		next = max(next, float64(clk.Now()-clock.Second))
		if clk.Sleep(ctx, clock.Millis(next)-clk.Now()) != nil {
			return
		}
		s.startCall()
	}
}

// minRate keeps the interval finite when the rate of a flow is set to 0.
const minRate = 0.01

// startCall starts the next call in a goroutine, or drops it when MaxInFlight is
// reached.
func (s *flowSender) startCall() {
	l := s.load
	s.sent++
	call := s.newCall(fmt.Sprintf("s%d-f%d-%d", l.config.Seed, s.index, s.sent))
	if l.inFlight.Load() >= int64(l.config.MaxInFlight) {
		l.dropped.Add(1)
		return
	}
	l.mu.Lock()
	l.calls = append(l.calls, call)
	l.mu.Unlock()
	seed := s.random.Uint64()
	l.inFlight.Add(1)
	l.wg.Add(1)
	go l.runCall(call, s.flow, rand.New(rand.NewPCG(seed, 1)))
}

// runCall sends one call with its retries.
func (l *Load) runCall(call *Call, flow Flow, random *rand.Rand) {
	defer l.wg.Done()
	defer l.inFlight.Add(-1)
	if call.Duplicated {
		l.wg.Add(1)
		go l.runDuplicate(call, flow)
	}
	l.sendWithRetries(call, flow, random)
	call.Ended = l.clock.Wall()
}

// runDuplicate sends the same call once more, concurrently.
func (l *Load) runDuplicate(call *Call, flow Flow) {
	defer l.wg.Done()
	call.AddAttempt(l.send(call, flow))
}

// maxAttempts bounds the attempts of a call with an idempotency key.
const maxAttempts = 6

// sendWithRetries sends a call, and with an idempotency key sends it again until
// the outcome is final or maxAttempts is reached.
func (l *Load) sendWithRetries(call *Call, flow Flow, random *rand.Rand) {
	wait := l.config.RetryDelay
	for range maxAttempts {
		attempt := l.send(call, flow)
		call.AddAttempt(attempt)
		final := attempt.Outcome == Completed || attempt.Outcome == Wrong || attempt.Outcome == Cancelled
		if call.IdempotencyKey == "" || call.Forbidden || final || attempt.permanentlyRefused() {
			return
		}
		pause := max(wait, attempt.RetryAfter) + clock.Millis(random.IntN(int(wait)+1))
		if l.clock.Sleep(l.requestCtx, pause) != nil {
			return
		}
		wait *= 2
	}
}
