// Package relay passes requests of callers on to endpoints and their answers
// back, unchanged to the byte.
//
// Where the packages openai and plain know the bodies that they carry, relay
// knows only what the head of a request says. A request passes the same line
// of filters as theirs: it is read, its route is found, its key gives the team,
// it is scheduled, forwarded, its answer checked, and metered. What may be
// repeated is sent again within the attempts of its route and the retry budget;
// a resumable stream goes on at another endpoint after its last whole event.
// What may not be repeated is sent once.
//
// A refusal with status 408, 421, 429 or 503 always means that the request has
// not run and will not run. What may have run ends with 502 or 504.
//
// # Usage
//
//	handler := relay.New(relay.Config{Clock: clk, Logger: logger, Wire: wire, Pool: pool, Scheduler: scheduler, ...})
//	server := &http.Server{Handler: handler}
package relay

import (
	"net/http"
	"sync/atomic"

	"github.com/sirupsen/logrus"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/config/document"
	"github.com/banyanshift/banyanshift/internal/decide/balance"
	"github.com/banyanshift/banyanshift/internal/endpoint/http1"
)

// Call is a request of a caller, as far as its head tells.
type Call struct {
	// ID names the request. The caller draws a new one for each try.
	ID     string
	Method string
	Host   string
	// Path selects the route; Target is the path with the query as it was
	// sent.
	Path   string
	Target string
	// TimeLeft is how long the caller will wait; 0 when it does not say.
	TimeLeft clock.Millis
	// Key is the caller's secret, empty when none was sent.
	Key string
	// Prompt is nil for requests that are not for a model.
	Prompt *Prompt
	// LastEventID is the last event of a stream that the caller has.
	LastEventID string
	// Header has the fields that are passed on as they came.
	Header http.Header
	// HeaderBytes is the size of the request line and all fields.
	HeaderBytes int
}

// Prompt describes the prompt of a model request.
type Prompt struct {
	Tokens    int
	MaxOutput int
	// ExpectedOutput is the caller's guess of the generated tokens; 0 where
	// it has none.
	ExpectedOutput int
	Parts          []balance.PromptPart
}

// Attempt is one sending of a call to an endpoint.
type Attempt struct {
	// Endpoint is the ID of the only endpoint that may run the request.
	Endpoint string
	Team     string
	TimeLeft clock.Millis
	Priority int
	// ToModelEngine is set for requests to model engines, which know priorities.
	ToModelEngine bool
	// ResumeAfterEventID is the last event that the caller has; empty for a stream
	// from its beginning.
	ResumeAfterEventID string
}

// AnswerHead is what the head of an endpoint's answer says.
type AnswerHead struct {
	// NotRun says that the endpoint did not run the request.
	NotRun bool
	// WrongEndpoint says that another endpoint has the address.
	WrongEndpoint bool
	// Sealed answers carry the endpoint's proof of what it answered.
	Sealed bool
	// Load is nil where the endpoint does not state its load.
	Load *Load
}

// Load is what an endpoint says of itself in an answer.
type Load struct {
	Running int
	Waiting int
	Slots   int
}

// Wire translates between HTTP and the types of this package. All fields must
// be set.
type Wire struct {
	// DecodeCall reads the head of a caller's request.
	DecodeCall func(r *http.Request) (Call, error)
	// EncodeAttempt returns the head of the request to an endpoint.
	EncodeAttempt func(call *Call, attempt Attempt) []byte
	// DecodeAnswer reads the head of an endpoint's answer.
	DecodeAnswer func(status int, header http.Header) AnswerHead
}

// Scheduler decides where requests run. All fields must be set.
type Scheduler struct {
	// Place chooses an endpoint, or refuses.
	Place func(request balance.Request, timeLeft clock.Millis) (Placement, Refusal)
	// RecordFirstToken and Ended follow a placed request.
	RecordFirstToken func(placement Placement)
	RecordEnd        func(placement Placement, outcome balance.Outcome)
	// RecordLoad takes in what an endpoint said of its load.
	RecordLoad func(endpoint string, load Load)
	// InvalidateAddress takes in that the address of an endpoint belongs to another.
	InvalidateAddress func(endpoint string)
	// CountRequest counts a request to a back end, and Retry takes one retry from
	// the budget that the fleet shares.
	CountRequest func(backend string)
	TakeRetry    func(backend string) bool
}

// Placement is a place on an endpoint.
type Placement struct {
	Job                uint64
	Endpoint           string
	Address            string
	ExpectedFirstToken clock.Millis
}

// Refusal says why a request was not placed; it is empty where one was.
type Refusal struct {
	Reason string
	// RetryAfter is when the caller should come back.
	RetryAfter clock.Millis
}

// Configuration gives the configuration in force.
type Configuration struct {
	// Index is nil while none is known.
	Index *document.Index
	// Current says that no newer version can have been in force for long.
	Current bool
	// Isolated says that neither the store nor the peers can be reached, so
	// that a newer version may be in force.
	Isolated bool
}

// Config configures a Handler. All fields must be set.
type Config struct {
	Clock         clock.Clock
	Logger        logrus.FieldLogger
	Wire          Wire
	Pool          *http1.Pool
	Scheduler     Scheduler
	Configuration func() Configuration
	// RecordStarted counts a request of a team that began to run at the time of day.
	RecordStarted func(team string, wall clock.Millis)
	// FailureDomain is where this daemon stands.
	FailureDomain string
}

// Handler serves callers.
type Handler struct {
	config   Config
	draining atomic.Bool
	active   atomic.Int64
}

// New returns a Handler.
func New(config Config) *Handler {
	return &Handler{config: config}
}

// Drain makes every answer from now on ask its caller to connect elsewhere.
func (h *Handler) Drain() {
	h.draining.Store(true)
}

// InFlight returns how many requests are being served.
func (h *Handler) InFlight() int {
	return int(h.active.Load())
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.active.Add(1)
	defer h.active.Add(-1)
	requests.Add(1)
	if h.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	x := &exchange{handler: h, w: w, r: r, arrived: h.config.Clock.Now()}
	x.serve()
}
