// Package plain serves the callers of plain HTTP services: any method, body
// and status are passed on whole.
//
// Calls by a method that the back end lists as repeatable may be sent again
// after a failure. All others are handed to an endpoint at most once; with an
// Idempotency-Key that holds over all retries of the caller, whichever daemons
// they reach, and a retry gets the first answer.
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

// openScope is the scope of the claims of callers without a key. No team has
// this name.
const openScope = "~open"

// Dependencies are what a Handler needs.
type Dependencies struct {
	Clock     clock.Clock
	Logger    logrus.FieldLogger
	State     *state.State
	Service   *service.Client
	Scheduler request.Scheduler
	Claims    *claim.Claims
	// TakeRetry reports whether the retry budget allows to send a call again.
	TakeRetry func(req *request.Request) bool
	// RecordUsage records what a request is billed for.
	RecordUsage func(req *request.Request, promptTokens, outputTokens int)
}

// Handler serves plain services.
type Handler struct {
	deps Dependencies
}

// New returns a Handler.
func New(deps Dependencies) *Handler {
	return &Handler{deps: deps}
}

// Serve serves one call.
func (h *Handler) Serve(x *entry.Exchange) error {
	if err := checkPath(x.HTTP); err != nil {
		return err
	}
	route, found := h.deps.State.RouteForPath(x.HTTP.URL.Path)
	if !found {
		return pathUnknown()
	}
	backend, found := h.deps.State.Backend(route.Backend)
	if !found || backend.Type != entity.Service {
		return pathUnknown()
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

// dispatch runs a repeatable call, or one that may run once.
func (h *Handler) dispatch(x *entry.Exchange) error {
	c := newCall(h, x)
	if x.Request.Repeatable {
		return c.serveRepeatable()
	}
	keys := x.HTTP.Header["Idempotency-Key"]
	if len(keys) == 0 {
		return c.serveOnce(nil)
	}
	if len(keys) > 1 || keys[0] == "" || len(keys[0]) > claim.MaxKeyLength {
		return entry.BadRequest("The header Idempotency-Key must hold one key of 1 to 255 bytes.")
	}
	x.Request.IdempotencyKey = keys[0]
	return c.serveOnce(&claimant{claims: h.deps.Claims, scope: scope(x.Request)})
}

func scope(req *request.Request) string {
	if req.Team == "" {
		return openScope
	}
	return req.Team
}

// checkPath refuses paths that endpoints could read differently from the router.
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

func pathUnknown() error {
	return &request.Refusal{
		Status: http.StatusNotFound, Code: request.CodeRouteUnknown, Run: request.RunNot,
		Message: "There is no route for this path.",
	}
}

// detached returns a context that goes on when the caller leaves, for calls
// that must run to their end once they have been handed over.
func detached(ctx context.Context, limit clock.Millis) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.WithoutCancel(ctx), limit.Duration())
}
