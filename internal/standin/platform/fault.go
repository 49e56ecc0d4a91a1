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

// Service names one of the platform's services.
type Service string

// The services. TableRead is the reading part of the table service, with a
// limit of its own; faults of Table hold for both.
const (
	Table     Service = "Table"
	TableRead Service = "TableRead"
	Object    Service = "Object"
	VMList    Service = "VMList"
	Order     Service = "Order"
	Usage     Service = "Usage"
)

// Fault is how a service misbehaves until it gets another Fault.
type Fault struct {
	Service Service
	// Down answers 503 to everything, without effect.
	Down bool
	// Slow delays each call: half of it before the effect, which takes place
	// even if the caller has gone, and half after.
	Slow clock.Millis
	// LoseAnswers is the share of calls, from 0 to 1, whose connection is cut
	// after the effect, without an answer.
	LoseAnswers float64
	// LoseCalls is the share of calls whose connection is cut before the
	// effect, which never takes place.
	LoseCalls float64
	// Rate limits the calls a second; 0 stands for the usual limit.
	Rate float64
}

const maxBodyBytes = 64 << 20

type faults struct {
	clock clock.Clock

	mu       sync.Mutex
	random   *rand.Rand
	current  map[Service]Fault
	usual    map[Service]float64
	limiters map[Service]*rate.Limiter
}

func newFaults(config Config, clk clock.Clock, random *rand.Rand) *faults {
	f := &faults{
		clock:    clk,
		random:   random,
		current:  make(map[Service]Fault),
		usual:    map[Service]float64{Table: config.WritesPerSecond, TableRead: config.ReadsPerSecond},
		limiters: make(map[Service]*rate.Limiter),
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
		limit = f.usual[fault.Service]
	}
	f.limiters[fault.Service] = newLimiter(limit)
}

// newLimiter allows bursts of half a second's worth; no limit when perSecond
// is 0.
func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond == 0 {
		return rate.NewLimiter(rate.Inf, 1)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond/2)))
}

// fate is what happens to one call.
type fate struct {
	fault      Fault
	allowed    bool
	loseCall   bool
	loseAnswer bool
}

func (f *faults) take(service Service) fate {
	f.mu.Lock()
	defer f.mu.Unlock()
	fault := f.current[service]
	if service == TableRead {
		fault = f.current[Table]
	}
	return fate{
		fault:      fault,
		allowed:    f.limiters[service].Allow(),
		loseCall:   f.random.Float64() < fault.LoseCalls,
		loseAnswer: f.random.Float64() < fault.LoseAnswers,
	}
}

// answer is what a service replies. A body of type []byte is sent as it is.
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

// call is one request with its body already read.
type call struct {
	*http.Request
	body []byte
}

func (c call) decode(into any) bool {
	return json.Unmarshal(c.body, into) == nil
}

// wrap puts the faults of service around handle.
func (f *faults) wrap(service Service, handle func(c call) answer) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
		if err != nil {
			writeAnswer(w, refuse(http.StatusBadRequest, "BadBody"))
			return
		}
		fate := f.take(service)
		switch {
		case fate.fault.Down:
			writeAnswer(w, refuse(http.StatusServiceUnavailable, "Down"))
			return
		case !fate.allowed:
			writeAnswer(w, refuse(http.StatusTooManyRequests, "RateLimited"))
			return
		}
		if fate.loseCall {
			panic(http.ErrAbortHandler)
		}
		lasting := context.WithoutCancel(r.Context())
		_ = f.clock.Sleep(lasting, fate.fault.Slow/2)
		reply := handle(call{Request: r.WithContext(lasting), body: body})
		_ = f.clock.Sleep(r.Context(), fate.fault.Slow/2)
		if fate.loseAnswer {
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
