// Package relay forwards callers' requests to endpoints and the endpoints'
// answers to the callers, without changing a byte of either body.
//
// Unlike the packages openai and plain, relay does not interpret bodies; all
// its decisions are based on the request line and header. A request passes the
// same sequence of filters as in those packages: decode, find the route,
// authenticate the key, schedule, forward, check the answer, and meter. A
// repeatable request is retried within the attempts of its route and the retry
// budget, and a resumable stream continues at another endpoint of the same software
// version after its last complete event, in the same answer or when the caller takes it
// up. A request that is not repeatable is sent to another endpoint
// only if the first one did not run it.
//
// An endpoint may start again under its ID at another software version before this daemon
// knows. So one that is to continue a stream is first asked for its incarnation, on the same
// connection, which belongs to one process, and one that began a stream is asked if the stream has
// to go on elsewhere before its start is certain.
//
// An answer goes on with a stream only if it is a sealed 200 of server-sent events without an
// encoding, whose first new event is the next one. Nothing else is written into a stream, and
// one that cannot go on breaks off, so that it does not look complete.
//
// An endpoint that refuses a request as misdirected (421) names itself in most cases. If it is
// the one that was meant, it says something of this request only. Otherwise its address may
// belong to another endpoint, which the endpoint's own report decides.
//
// A refusal with status 408, 421, 429 or 503 always means that the request has
// not run and will not run. A request that may have run is answered with 502 or
// 504, also if its endpoint answered with one of these statuses without stating that it
// did not run the request, unless it may be repeated.
//
// # Usage
//
//	handler := relay.New(relay.Config{Clock: clk, Logger: logger, Wire: wire, Connect: connector.Connect, Scheduler: scheduler, ...})
//	server := &http.Server{Handler: handler}
package relay

import (
	"context"
	"net/http"
	"sync/atomic"

	"github.com/sirupsen/logrus"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/config/document"
	"github.com/banyanshift/banyanshift/internal/decide/balance"
	"github.com/banyanshift/banyanshift/internal/decide/budget"
	"github.com/banyanshift/banyanshift/internal/decide/memory"
	"github.com/banyanshift/banyanshift/internal/decide/quarantine"
	"github.com/banyanshift/banyanshift/internal/decide/strain"
	"github.com/banyanshift/banyanshift/internal/endpoint/connect"
)

// Call holds the contents of the request line and header of a caller's request.
type Call struct {
	// ID identifies the request. The caller sends a new one with each retry.
	ID     string
	Method string
	Host   string
	// Path selects the route; Target is the path with the query, unchanged.
	Path   string
	Target string
	// TimeLeft is how long the caller will wait; 0 if it sets no limit.
	TimeLeft clock.Millis
	// Key is the caller's secret, empty if none was sent.
	Key string
	// Prompt is nil for requests that are not for a model.
	Prompt *Prompt
	// LastEventID is the ID of the last event that the caller has received of
	// a stream that it resumes.
	LastEventID string
	// Conditional is set if the caller states a condition that not every endpoint meets, so
	// that one may refuse the request as misdirected.
	Conditional bool
	// ResumedID is the ID of the request that brought the first event of that stream,
	// empty if the caller does not name it.
	ResumedID string
	// Header holds the fields that are forwarded unchanged.
	Header http.Header
	// HeaderBytes is the size of the request line and all header fields.
	HeaderBytes int
}

// Prompt describes the prompt of a model request.
type Prompt struct {
	Tokens    int
	MaxOutput int
	// ExpectedOutput is the caller's estimate of the generated tokens; 0 if
	// it sent none.
	ExpectedOutput int
	Parts          []balance.PromptPart
	// PartDigests holds a digest of each part by itself, whatever comes before it.
	PartDigests []quarantine.Digest
}

// Attempt describes one attempt to send a call to an endpoint.
type Attempt struct {
	// Endpoint is the ID of the only endpoint that may run the request.
	Endpoint string
	Team     string
	TimeLeft clock.Millis
	Priority int
	// ToModelEngine is true for requests to model engines, which support
	// priorities.
	ToModelEngine bool
	// CopyFrom is the address of the endpoint from whose cache the beginning of the prompt is to
	// be copied; empty if it is to be computed.
	CopyFrom string
	// ResumeAfterEventID is the ID of the last event that the caller has
	// received; empty if the stream starts at its beginning.
	ResumeAfterEventID string
}

// AnswerHead holds the contents of the status line and header of an endpoint's
// answer.
type AnswerHead struct {
	// NotRun is true if the endpoint reports that it did not run the request.
	NotRun bool
	// Misdirected is true if the endpoint did not run the request since it is not the one that
	// was meant, or since it does not meet a condition of the request.
	Misdirected bool
	// Endpoint is the ID of the endpoint that answered, empty if the answer does not state it.
	Endpoint string
	// Leaving is true if the endpoint reports that it is about to end.
	Leaving bool
	// QuietTime is how long the endpoint wants no requests from this daemon, 0 if it
	// does not say so.
	QuietTime clock.Millis
	// Terms is what the endpoint asks of all daemons together.
	Terms strain.Terms
	// Sealed is true if the header has the endpoint's seal, its proof of what
	// it answered.
	Sealed bool
	// Load is nil if the endpoint does not report its load.
	Load *Load
}

// Load is the load that an endpoint reports in an answer.
type Load struct {
	Running int
	Waiting int
	Slots   int
}

// Wire translates between HTTP and the types of this package. All fields must
// be set.
type Wire struct {
	// DecodeCall decodes the request line and header of a caller's request.
	DecodeCall func(r *http.Request) (Call, error)
	// EncodeAttempt returns the request line and header of the request to an
	// endpoint.
	EncodeAttempt func(call *Call, attempt Attempt) []byte
	// DecodeAnswer decodes the status and header of an endpoint's answer.
	DecodeAnswer func(status int, header http.Header) AnswerHead
	// Report translates the call that asks an endpoint what it says of itself.
	Report connect.ReportCall
}

// Scheduler decides where requests run. All fields must be set.
type Scheduler struct {
	// Place chooses an endpoint or returns a Refusal.
	Place func(request balance.Request, timeLeft clock.Millis) (Placement, Refusal)
	// RecordFirstToken is called when the answer to a placed request starts.
	RecordFirstToken func(placement Placement)
	// RecordEnd is called with the outcome when a placed request ends.
	RecordEnd func(placement Placement, outcome balance.Outcome)
	// RecordLoad stores the load that an endpoint reported.
	RecordLoad func(endpoint string, load Load)
	// RecordLeaving is called when the endpoint of a placement reports that it is
	// about to end. It gets no new requests.
	RecordLeaving func(placement Placement)
	// RecordTerms is called with the terms in each answer.
	RecordTerms func(placement Placement, terms strain.Terms)
	// Acquire asks for the permit to send a request to an endpoint, and waits until it
	// may be sent.
	Acquire func(ctx context.Context, placement Placement, priority int, timeLeft clock.Millis) Permit
	// SetAside sends no requests to an endpoint for a time.
	SetAside func(endpoint string, time clock.Millis)
	// RecordQuiet is called when an endpoint wants no requests for a time.
	RecordQuiet func(endpoint string, quiet clock.Millis)
	// MaySend reports whether a placed request may still be sent to its endpoint.
	MaySend func(placement Placement) bool
	// InvalidateAddress reports that the address of a placement belongs to another endpoint.
	InvalidateAddress func(placement Placement)
	// ConfirmAddress reports that it belongs to the endpoint of the placement.
	ConfirmAddress func(placement Placement)
	// CountRequest counts a new request to a back end. The retry budget is a
	// share of these requests.
	CountRequest func(backend string)
	// TakeRetry takes one retry from the back end's budget, which all daemons
	// share. It returns false if the budget is used up.
	TakeRetry func(retry budget.Retry) bool
}

// Permit allows a request to be sent to an endpoint, or says when to ask again.
type Permit struct {
	Granted    bool
	AskAgainIn clock.Millis
	// Release is called with the outcome of the request. It is nil if nobody waits for it.
	Release func(outcome strain.Outcome)
}

// RecordSignals records what an endpoint says of itself in an answer.
func (s Scheduler) RecordSignals(placement Placement, head AnswerHead) {
	if head.Load != nil {
		s.RecordLoad(placement.Endpoint, *head.Load)
	}
	if head.QuietTime > 0 {
		s.RecordQuiet(placement.Endpoint, head.QuietTime)
	}
	if head.Leaving {
		s.RecordLeaving(placement)
	}
	s.RecordTerms(placement, head.Terms)
}

// Placement assigns a request to an endpoint.
type Placement struct {
	Job      uint64
	Endpoint string
	Address  string
	// FailureDomain is that of the endpoint.
	FailureDomain string
	// Incarnation is that of the endpoint as far as is known.
	Incarnation int64
	// SoftwareVersion is the version of the endpoint's software.
	SoftwareVersion    string
	ExpectedFirstToken clock.Millis
	// CopyFrom is the address of the endpoint from whose cache CopyTokens of the prompt are to be
	// copied; empty if none are.
	CopyFrom   string
	CopyTokens int
}

// Refusal states why a request was not placed. It is empty if the request was
// placed.
type Refusal struct {
	Reason string
	// RetryAfter is how long the caller should wait before it retries.
	RetryAfter clock.Millis
	// Final is set if the caller should not retry.
	Final bool
}

// Quarantine keeps requests that crash endpoints from being sent. All fields must be set.
type Quarantine struct {
	// Active reports whether any crash is known.
	Active func() bool
	// Admit decides whether a request with these digests may be sent, and waits for its
	// trial if it is under suspicion.
	Admit func(ctx context.Context, digests []quarantine.Digest, timeLeft clock.Millis) Admission
	// RecordLost is called when a request with these digests got no answer because its
	// connection ended.
	RecordLost func(placement Placement, digests []quarantine.Digest)
	// RecordSound is called when a request with these digests was answered.
	RecordSound func(digests []quarantine.Digest)
	// RecordAnswer is called when the endpoint of a placement has answered anything.
	RecordAnswer func(placement Placement)
}

// Admission allows a request to be sent, or says why not.
type Admission struct {
	Granted bool
	Refusal Refusal
	// Suspects lists the digests for which the request is refused or tried.
	Suspects []quarantine.Digest
	// Release is called when the attempt has ended, with whether the endpoint answered. It
	// is nil if nobody waits for it.
	Release func(answered bool)
}

// Configuration is the configuration that this daemon uses.
type Configuration struct {
	// Index is nil until a configuration is known.
	Index *document.Index
	// Age is the time since the version was last known to be the newest.
	Age clock.Millis
	// Current is true if no newer version can have been in force for long.
	Current bool
	// Isolated is true if neither the store nor the peers can be reached, so
	// that a newer version may be in force.
	Isolated bool
}

// Config configures a Handler. All fields must be set.
type Config struct {
	Clock  clock.Clock
	Logger logrus.FieldLogger
	Wire   Wire
	// Connect finds a way to an endpoint. Its error is a *http1.RequestError.
	Connect       func(ctx context.Context, target connect.Target) (connect.Connection, error)
	Scheduler     Scheduler
	Quarantine    Quarantine
	Streams       Streams
	Configuration func() Configuration
	// RecordStarted counts a team's request for billing, at the wall-clock time
	// at which it started to run.
	RecordStarted func(team string, wall clock.Millis)
	// Memory bounds the bodies and answers that are held.
	Memory *memory.Budget
	// FailureDomain is the failure domain of this daemon.
	FailureDomain string
}

// Shutdown says when a daemon that shuts down stops serving.
type Shutdown struct {
	// TakeAllUntil is the time from which on only requests are taken that end before End.
	TakeAllUntil clock.Millis
	// End is when requests that are left are abandoned.
	End clock.Millis
}

// Handler is the http.Handler that serves callers.
type Handler struct {
	config Config
	// shutdown is nil until the daemon shuts down.
	shutdown atomic.Pointer[Shutdown]
	active   atomic.Int64
	checks   *addressChecks
	// abandoned ends when requests are no longer served.
	abandoned context.Context
	abandon   context.CancelFunc
}

// New returns a Handler.
func New(config Config) *Handler {
	abandoned, abandon := context.WithCancel(context.Background())
	return &Handler{config: config, checks: newAddressChecks(), abandoned: abandoned, abandon: abandon}
}

// Drain prepares for the end of the daemon. All heads that are written later announce the end of
// their connections, so that callers connect to another daemon, and a late request is taken only
// if its time limit ends before the daemon.
func (h *Handler) Drain(shutdown Shutdown) {
	h.shutdown.Store(&shutdown)
}

// Abandon ends all requests that are being served, and later ones. One that has not run gets 503
// and one that may have run 502; an answer that has begun breaks off.
func (h *Handler) Abandon() {
	h.abandon()
}

// InFlight returns how many requests are being served.
func (h *Handler) InFlight() int {
	return int(h.active.Load())
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.active.Add(1)
	defer h.active.Add(-1)
	requestCount.Add(1)
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	defer context.AfterFunc(h.abandoned, cancel)()
	x := &exchange{handler: h, w: w, r: r, ctx: ctx, arrived: h.config.Clock.Now()}
	x.serve()
}
