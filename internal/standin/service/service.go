// Package service is a small stand-in for a plain HTTP service, such as one
// that issues certificates. Its answer is a pure function of the request, and
// it records every call that it receives.
//
// The query parameter nonce identifies the call in the record; ms sets the
// duration of the call in milliseconds.
//
// # Usage
//
//	s := service.New(service.Defaults(), spec, clock.System())
//	http.Serve(listener, s.Handler)
package service

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/standin/host"
	"github.com/banyanshift/banyanshift/internal/standin/record"
)

// Query parameters that the stand-in understands.
const (
	NonceParameter    = "nonce"
	DurationParameter = "ms"
)

// Config configures the services of a process.
type Config struct {
	// Seed seeds the random choice of faults.
	Seed uint64
	// DefaultCallTime is the duration of a call without DurationParameter.
	DefaultCallTime clock.Millis
}

// Defaults returns the default configuration.
func Defaults() Config {
	return Config{Seed: 1, DefaultCallTime: 20 * clock.Millisecond}
}

// Answer returns the answer to a call. It depends only on the arguments, so
// that a checker can compute it.
func Answer(method, path, nonce string, body []byte) string {
	sum := xxhash.Sum64(fmt.Appendf(nil, "%s %s %s %s", method, path, nonce, body))
	return fmt.Sprintf(`{"Nonce":%q,"Result":"%016x"}`, nonce, sum)
}

// LoadReport is the response of /load.
type LoadReport struct {
	Incarnation string
	Running     int
	Waiting     int
	Slots       int
	Sequence    uint64
	Leaving     bool
}

type service struct {
	config Config
	spec   host.Spec
	clock  clock.Clock
	slots  chan struct{}
	ctx    context.Context
	cancel context.CancelFunc

	mu       sync.Mutex
	random   *rand.Rand
	fault    host.Fault
	leaving  bool
	waiting  int
	running  int
	sequence uint64
	runs     []*record.Run
}

const maxBodyBytes = 16 << 20

// New returns a running service for spec.
func New(config Config, spec host.Spec, clk clock.Clock) *host.Endpoint {
	s := &service{
		config: config, spec: spec, clock: clk,
		slots:  make(chan struct{}, max(1, spec.Slots)),
		random: rand.New(rand.NewPCG(config.Seed, 4)),
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	mux := http.NewServeMux()
	mux.HandleFunc("GET /load", s.serveLoad)
	mux.HandleFunc("/", s.serve)
	return &host.Endpoint{
		Handler:     mux,
		Prepare:     func(context.Context) error { return nil },
		MarkLeaving: s.markLeaving,
		Drain:       s.drain,
		Close:       s.close,
		SetFault:    s.setFault,
		FillRecord:  s.record,
	}
}

func (s *service) serve(w http.ResponseWriter, r *http.Request) {
	run := &record.Run{
		Nonce: r.URL.Query().Get(NonceParameter), RequestID: r.Header.Get("Request-Id"),
		IdempotencyKey: r.Header.Get("Idempotency-Key"),
		Method:         r.Method, Path: r.URL.Path,
		Received: s.clock.Wall(), End: record.Running,
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		return
	}
	s.addWaiting(run)
	defer s.markEnded(run)
	select {
	case s.slots <- struct{}{}:
	case <-s.ctx.Done():
		panic(http.ErrAbortHandler)
	}
	defer func() { <-s.slots }()
	s.markStarted(run)
	s.simulateCall(r)
	s.reply(w, run, Answer(r.Method, r.URL.Path, run.Nonce, body))
}

// simulateCall sleeps for the duration of the call. The call is recorded before
// and takes effect even if the caller disconnects.
func (s *service) simulateCall(r *http.Request) {
	took := s.config.DefaultCallTime
	if ms, err := strconv.Atoi(r.URL.Query().Get(DurationParameter)); err == nil {
		took = clock.Millis(ms)
	}
	s.mu.Lock()
	if s.fault.Straggle > 0 {
		took = clock.Millis(float64(took) * s.fault.Straggle)
	}
	if s.random.Float64() < s.fault.Late {
		took += s.fault.LateBy
	}
	s.mu.Unlock()
	_ = s.clock.Sleep(s.ctx, took)
}

func (s *service) reply(w http.ResponseWriter, run *record.Run, text string) {
	s.mu.Lock()
	cross := s.random.Float64() < s.fault.Cross
	truncate := s.random.Float64() < s.fault.Truncate
	if s.ctx.Err() != nil {
		s.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	run.End = record.Finished
	s.mu.Unlock()
	requestID := run.RequestID
	if cross {
		requestID = "crossed"
		text = Answer("GET", "/crossed", "crossed", nil)
	}
	w.Header().Set("Request-Id", requestID)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	if truncate {
		_, _ = io.WriteString(w, text[:len(text)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, text)
}

func (s *service) addWaiting(run *record.Run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting++
	s.runs = append(s.runs, run)
}

func (s *service) markStarted(run *record.Run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting--
	s.running++
	run.Started = s.clock.Wall()
}

func (s *service) markEnded(run *record.Run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	run.Ended = s.clock.Wall()
	if run.Started == 0 {
		s.waiting--
	} else {
		s.running--
	}
	if run.End == record.Running {
		run.End = record.Crashed
	}
}

func (s *service) serveLoad(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	host.WriteJSON(w, LoadReport{
		Incarnation: s.spec.Endpoint.Incarnation, Running: s.running, Waiting: s.waiting,
		Slots: s.spec.Slots, Sequence: s.sequence, Leaving: s.leaving,
	})
}

func (s *service) markLeaving() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
}

const drainPollInterval = 20 * clock.Millisecond

func (s *service) drain(ctx context.Context) {
	for s.hasWork() && s.clock.Sleep(ctx, drainPollInterval) == nil {
	}
}

func (s *service) hasWork() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running+s.waiting > 0
}

func (s *service) close() {
	s.cancel()
}

func (s *service) setFault(fault host.Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
}

func (s *service) record(into *record.Endpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	into.Runs = make([]record.Run, 0, len(s.runs))
	for _, run := range s.runs {
		into.Runs = append(into.Runs, *run)
	}
}
