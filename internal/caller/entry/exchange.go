package entry

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/caller/request"
	"github.com/banyanshift/banyanshift/internal/config/entity"
)

// maxClassHeaderBytes bounds the header Class.
const maxClassHeaderBytes = entity.MaxNameLength

// Exchange is one caller's request and the answer to it.
type Exchange struct {
	// HTTP is the request as it came.
	HTTP *http.Request
	// Context ends when the caller has gone, and with the cause ErrKeyWithdrawn
	// when the key is withdrawn.
	Context context.Context
	// Request is what the filters know of the request.
	Request *request.Request
	// Body is the whole body, after ReadBody.
	Body []byte

	server *Server
	cancel context.CancelCauseFunc
	writer http.ResponseWriter
	ctrl   *http.ResponseController
	secret string
	began  bool
}

// serve takes an exchange through the common filters and the handler.
func (s *Server) serve(w http.ResponseWriter, r *http.Request, handler Handler) {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	requests.Add(1)
	ctx, cancel := context.WithCancelCause(r.Context())
	defer cancel(nil)
	x := &Exchange{
		HTTP:    r,
		Context: ctx,
		cancel:  cancel,
		Request: &request.Request{ID: s.deps.NewID(), Arrived: s.deps.Clock.Now()},
		server:  s,
		writer:  w,
		ctrl:    http.NewResponseController(w),
	}
	w.Header().Set("Request-Id", x.Request.ID)
	err := x.admit()
	if err == nil {
		err = x.authenticate()
	}
	if err == nil {
		err = handler(x)
	}
	x.finish(err)
}

// admit refuses everything while the daemon has no configuration to go by.
func (x *Exchange) admit() error {
	if err := x.server.deps.Ready(); err != nil {
		return &request.Refusal{
			Status: http.StatusServiceUnavailable, Code: request.CodeNotReady, Run: request.RunNot,
			RetryAfter: clock.Second, Message: "This daemon is not ready: " + err.Error() + ".",
		}
	}
	return nil
}

// ReadBody reads the whole body within the limits.
func (x *Exchange) ReadBody() error {
	limit := x.server.deps.Settings.MaxBodyBytes
	if x.HTTP.ContentLength > limit {
		return tooLarge()
	}
	body, err := io.ReadAll(http.MaxBytesReader(x.writer, x.HTTP.Body, limit))
	var overLimit *http.MaxBytesError
	switch {
	case errors.As(err, &overLimit):
		return tooLarge()
	case err != nil:
		return BadRequest("The request's body did not arrive whole.")
	}
	if x.secret != "" && bytes.Contains(body, []byte(x.secret)) {
		return BadRequest("The body holds the key. Keys belong in the header Authorization only.")
	}
	x.Body = body
	// The read deadline was for the request; the answer may take longer.
	_ = x.ctrl.SetReadDeadline(time.Time{})
	return nil
}

func tooLarge() error {
	return &request.Refusal{
		Status: http.StatusRequestEntityTooLarge, Code: request.CodeBodyTooLarge, Run: request.RunNot,
		Message: "The request's body is too large.",
	}
}

// BadRequest returns the refusal of a malformed request.
func BadRequest(message string) error {
	return &request.Refusal{
		Status: http.StatusBadRequest, Code: request.CodeBadRequest, Run: request.RunNot, Message: message,
	}
}

// Classify sets the route, the class and what follows from them. The team
// must be allowed on the route, and the class on it too.
func (x *Exchange) Classify(route entity.Route) error {
	if !route.OpenToAll {
		if x.Request.KeyID == "" {
			return keyMissing()
		}
		if !x.server.deps.State.Allowed(route.Name, x.Request.Team) {
			return &request.Refusal{
				Status: http.StatusForbidden, Code: request.CodeRouteForbidden, Run: request.RunNot,
				Message: "The key's team may not use this route.",
			}
		}
	}
	class, err := x.class(route)
	if err != nil {
		return err
	}
	x.Request.Route = route.Name
	x.Request.Backend = route.Backend
	x.Request.Class = class.Name
	x.Request.Tier = class.Tier
	x.Request.FirstTokenTarget = class.FirstTokenTarget
	x.Request.MaxWait = class.MaxWait
	x.Request.RefuseEarly = class.RefuseEarly
	return nil
}

// class finds the class that the request names, or the key's, or the route's first.
func (x *Exchange) class(route entity.Route) (entity.Class, error) {
	name := x.HTTP.Header.Get("Class")
	if len(name) > maxClassHeaderBytes {
		return entity.Class{}, BadRequest("The header Class is too long.")
	}
	if name == "" {
		name = x.defaultClass(route)
	}
	for _, allowed := range route.Classes {
		if allowed != name {
			continue
		}
		if class, found := x.server.deps.State.Class(name); found {
			return class, nil
		}
	}
	return entity.Class{}, &request.Refusal{
		Status: http.StatusForbidden, Code: request.CodeClassForbidden, Run: request.RunNot,
		Message: "The route does not allow this class.",
	}
}

func (x *Exchange) defaultClass(route entity.Route) string {
	if key, found := x.server.deps.State.Key(x.Request.KeyID); found && key.Class != "" {
		return key.Class
	}
	return route.Classes[0]
}

// Now returns the instant on the server's clock.
func (x *Exchange) Now() clock.Millis {
	return x.server.deps.Clock.Now()
}

// FinalError turns what ended a request early into the error to return for it.
// A withdrawn key goes before all else. A refusal says that the request may
// have run when mayHaveRun is set, whatever it said itself.
func (x *Exchange) FinalError(err error, mayHaveRun bool) error {
	run := request.RunNot
	if mayHaveRun {
		run = request.RunUnknown
	}
	if errors.Is(context.Cause(x.Context), ErrKeyWithdrawn) {
		return KeyWithdrawn(run)
	}
	var refusal *request.Refusal
	if !errors.As(err, &refusal) || !mayHaveRun {
		return err
	}
	changed := *refusal
	changed.Run = run
	return &changed
}

// HeaderSent reports whether the answer has begun, after which no status can be set.
func (x *Exchange) HeaderSent() bool {
	return x.began
}

// Header returns the answer's header.
func (x *Exchange) Header() http.Header {
	return x.writer.Header()
}

// SendHeader sends the answer's status and header.
func (x *Exchange) SendHeader(status int) {
	x.began = true
	x.writer.WriteHeader(status)
}

// Write sends a part of the answer. A reader that stalls for too long makes
// it fail.
func (x *Exchange) Write(data []byte) error {
	x.began = true
	stall := x.server.deps.Settings.WriteStallTimeout
	if err := x.ctrl.SetWriteDeadline(time.Now().Add(stall.Duration())); err != nil {
		return err
	}
	_, err := x.writer.Write(data)
	return err
}

// Flush sends what was written so far.
func (x *Exchange) Flush() error {
	return x.ctrl.Flush()
}

// finish sends a refusal and counts how the exchange ended.
func (x *Exchange) finish(err error) {
	if err == nil {
		completed.Add(1)
		return
	}
	var refusal *request.Refusal
	if !errors.As(err, &refusal) {
		if x.Context.Err() != nil {
			callersGone.Add(1)
			return
		}
		eventFailed.Log(x.server.deps.Logger, logrus.Fields{"RequestId": x.Request.ID, "Error": err.Error()})
		refusal = &request.Refusal{
			Status: http.StatusInternalServerError, Code: request.CodeEndpointFailed, Run: request.RunUnknown,
			Message: "The request failed inside the router.",
		}
	}
	refusals.Add(string(refusal.Code), 1)
	if x.began {
		return
	}
	x.refuse(refusal)
}
