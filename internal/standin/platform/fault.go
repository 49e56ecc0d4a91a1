package platform

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"

	"golang.org/x/time/rate"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/standin/host"
)

// Service names a service of the platform.
type Service string

// The services. TableRead stands for the reads of the table service, which have
// a separate rate limit; all other faults of Table apply to reads as well.
const (
	Table     Service = "Table"
	TableRead Service = "TableRead"
	Object    Service = "Object"
	VMList    Service = "VMList"
	Order     Service = "Order"
	Usage     Service = "Usage"
)

// Fault is how a service misbehaves until another Fault replaces it.
type Fault struct {
	Service Service
	// Down answers every call with status 503, without effect.
	Down bool
	// Slow delays each call: by half before the effect, which takes place even
	// if the client has disconnected, and by half after it.
	Slow clock.Millis
	// LoseAnswers is the share of calls, from 0 to 1, whose connection is closed
	// after the effect, without a response.
	LoseAnswers float64
	// LoseCalls is the share of calls whose connection is closed before the
	// effect, which then never takes place.
	LoseCalls float64
	// Rate is the limit of calls per second; 0 means the configured limit.
	Rate float64
}

const maxBodyBytes = 64 << 20

type faults struct {
	clock clock.Clock

	mu           sync.Mutex
	random       *rand.Rand
	current      map[Service]Fault
	defaultRates map[Service]float64
	limiters     map[Service]*rate.Limiter
}

func newFaults(config Config, clk clock.Clock, random *rand.Rand) *faults {
	f := &faults{
		clock:        clk,
		random:       random,
		current:      make(map[Service]Fault),
		defaultRates: map[Service]float64{Table: config.WritesPerSecond, TableRead: config.ReadsPerSecond},
		limiters:     make(map[Service]*rate.Limiter),
	}
	for _, service := range []Service{Table, TableRead, Object, VMList, Order, Usage} {
		f.set(Fault{Service: service})
	}
	return f
}

func (f *faults) set(fault Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.current[fault.Service] = fault
	limit := fault.Rate
	if limit == 0 {
		limit = f.defaultRates[fault.Service]
	}
	f.limiters[fault.Service] = newLimiter(limit)
}

// newLimiter returns a limiter with a burst of half a second's calls; it allows
// everything if perSecond is 0.
func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond == 0 {
		return rate.NewLimiter(rate.Inf, 1)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond/2)))
}

// callOutcome holds the faults that apply to one call.
type callOutcome struct {
	fault      Fault
	allowed    bool
	loseCall   bool
	loseAnswer bool
}

// drawOutcome applies the rate limit and draws the random faults of a call.
func (f *faults) drawOutcome(service Service) callOutcome {
	f.mu.Lock()
	defer f.mu.Unlock()
	fault := f.current[service]
	if service == TableRead {
		fault = f.current[Table]
	}
	return callOutcome{
		fault:      fault,
		allowed:    f.limiters[service].Allow(),
		loseCall:   f.random.Float64() < fault.LoseCalls,
		loseAnswer: f.random.Float64() < fault.LoseAnswers,
	}
}

// answer is the response of a service. A body of type []byte is sent unchanged,
// any other as JSON.
type answer struct {
	status int
	body   any
}

func ok(body any) answer {
	return answer{status: http.StatusOK, body: body}
}

// codeBody is the body of a refusal.
type codeBody struct {
	Code string
}

func refuse(status int, code string) answer {
	return answer{status: status, body: codeBody{Code: code}}
}

// call is a request whose body has been read.
type call struct {
	*http.Request
	body []byte
}

func (c call) decode(into any) bool {
	return json.Unmarshal(c.body, into) == nil
}

// withFaults returns a handler that applies the faults of service to handle.
func (f *faults) withFaults(service Service, handle func(c call) answer) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
		if err != nil {
			writeAnswer(w, refuse(http.StatusBadRequest, "BadBody"))
			return
		}
		outcome := f.drawOutcome(service)
		switch {
		case outcome.fault.Down:
			writeAnswer(w, refuse(http.StatusServiceUnavailable, "Down"))
			return
		case !outcome.allowed:
			writeAnswer(w, refuse(http.StatusTooManyRequests, "RateLimited"))
			return
		}
		if outcome.loseCall {
			panic(http.ErrAbortHandler)
		}
		uncancelled := context.WithoutCancel(r.Context())
		_ = f.clock.Sleep(uncancelled, outcome.fault.Slow/2)
		reply := handle(call{Request: r.WithContext(uncancelled), body: body})
		_ = f.clock.Sleep(r.Context(), outcome.fault.Slow/2)
		if outcome.loseAnswer {
			panic(http.ErrAbortHandler)
		}
		writeAnswer(w, reply)
	}
}

func writeAnswer(w http.ResponseWriter, reply answer) {
	if data, raw := reply.body.([]byte); raw {
		w.WriteHeader(reply.status)
		_, _ = w.Write(data)
		return
	}
	if reply.status != http.StatusOK {
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(reply.status)
	}
	host.WriteJSON(w, reply.body)
}
