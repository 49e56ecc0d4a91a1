// Package plain routes requests for plain HTTP services. It forwards any method,
// body and status unchanged.
//
// Calls with a method that the back end lists as repeatable may be sent again
// after a failure. All other calls run at most once. With an Idempotency-Key
// this holds across all retries of the caller, whichever daemons they reach, and
// a retry gets the answer of the first run.
//
// # Usage
//
//	handler := plain.New(plain.Dependencies{...})
//	server.HandleUnmatched(handler.Serve)
package plain

import (
	"context"
	"net/http"
	"slices"
	"strings"

	"github.com/sirupsen/logrus"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/caller/claim"
	"github.com/banyanshift/banyanshift/internal/caller/entry"
	"github.com/banyanshift/banyanshift/internal/caller/request"
	"github.com/banyanshift/banyanshift/internal/config/entity"
	"github.com/banyanshift/banyanshift/internal/config/state"
	"github.com/banyanshift/banyanshift/internal/endpoint/service"
)

// anonymousScope is the claim scope of callers without an API key. No team can
// have this name.
const anonymousScope = "~open"

// Dependencies are the dependencies of a Handler.
type Dependencies struct {
	Clock     clock.Clock
	Logger    logrus.FieldLogger
	State     *state.State
	Service   *service.Client
	Scheduler request.Scheduler
	Claims    *claim.Claims
	// TakeRetry takes a retry of the call from the retry budget and reports
	// whether the budget allowed it.
	TakeRetry func(req *request.Request) bool
	// RecordUsage records the usage that a request is billed for.
	RecordUsage func(req *request.Request, promptTokens, outputTokens int)
}

// Handler serves requests for plain services.
type Handler struct {
	deps Dependencies
}

// New returns a Handler.
func New(deps Dependencies) *Handler {
	return &Handler{deps: deps}
}

// Serve routes one call to an endpoint and writes its answer.
func (h *Handler) Serve(x *entry.Exchange) error {
	if err := checkPath(x.HTTP); err != nil {
		return err
	}
	route, found := h.deps.State.RouteForPath(x.HTTP.URL.Path)
	if !found {
		return unknownRouteRefusal()
	}
	backend, found := h.deps.State.Backend(route.Backend)
	if !found || backend.Type != entity.Service {
		return unknownRouteRefusal()
	}
	if err := x.Classify(route); err != nil {
		return err
	}
	if err := x.ReadBody(); err != nil {
		return err
	}
	x.Request.PromptTokens = 1
	x.Request.Repeatable = slices.Contains(backend.RepeatableMethods, x.HTTP.Method)
	return h.dispatch(x)
}

// dispatch runs the call with retries if it is repeatable, and otherwise at most
// once.
func (h *Handler) dispatch(x *entry.Exchange) error {
	c := newCall(h, x)
	defer c.memory.Release()
	if x.Request.Repeatable {
		return c.serveRepeatable()
	}
	keys := x.HTTP.Header["Idempotency-Key"]
	if len(keys) == 0 {
		return c.serveAtMostOnce(nil)
	}
	if len(keys) > 1 || keys[0] == "" || len(keys[0]) > claim.MaxKeyLength {
		return entry.BadRequest("The header Idempotency-Key must hold one key of 1 to 255 bytes.")
	}
	x.Request.IdempotencyKey = keys[0]
	return c.serveAtMostOnce(&callClaim{claims: h.deps.Claims, scope: claimScope(x.Request)})
}

func claimScope(req *request.Request) string {
	if req.Team == "" {
		return anonymousScope
	}
	return req.Team
}

// checkPath rejects paths that endpoints might parse differently from the router.
func checkPath(r *http.Request) error {
	path := r.URL.Path
	if !strings.HasPrefix(path, "/") || strings.ContainsAny(path, "\\\x00") {
		return entry.BadRequest("The path is malformed.")
	}
	escaped := strings.ToLower(r.URL.EscapedPath())
	if strings.Contains(escaped, "%2f") || strings.Contains(escaped, "//") {
		return entry.BadRequest("The path holds an escaped or a doubled slash.")
	}
	for segment := range strings.SplitSeq(path, "/") {
		if segment == "." || segment == ".." {
			return entry.BadRequest("The path holds a dot segment.")
		}
	}
	return nil
}

func unknownRouteRefusal() error {
	return &request.Refusal{
		Status: http.StatusNotFound, Code: request.CodeRouteUnknown, Run: request.RunNot,
		Message: "There is no route for this path.",
	}
}

// detachContext returns a context that is not canceled when the caller
// disconnects, for calls that must run to completion once they are sent.
func detachContext(ctx context.Context, limit clock.Millis) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.WithoutCancel(ctx), limit.Duration())
}
