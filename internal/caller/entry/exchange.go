package entry

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/caller/keepalive"
	"github.com/banyanshift/banyanshift/internal/caller/request"
	"github.com/banyanshift/banyanshift/internal/config/entity"
	"github.com/banyanshift/banyanshift/internal/decide/memory"
)

// maxClassHeaderBytes limits the length of the Class header.
const maxClassHeaderBytes = entity.MaxNameLength

// maxWriteBytes limits how much of an answer is written under one deadline, so
// that a long answer may take as long as its caller reads.
const maxWriteBytes = 64 << 10

// Exchange is one caller's request and the answer to it.
type Exchange struct {
	// HTTP is the request as the HTTP server received it.
	HTTP *http.Request
	// Context is canceled when the caller disconnects, and with the cause
	// ErrKeyWithdrawn when the key is withdrawn.
	Context context.Context
	// Request is the descriptor of the request, which the filters fill in.
	Request *request.Request
	// Body is the whole body. ReadBody sets it.
	Body []byte

	// memory is what the body takes.
	memory     memory.Reservation
	server     *Server
	cancel     context.CancelCauseFunc
	writer     http.ResponseWriter
	controller *http.ResponseController
	secret     string
	headerSent bool
}

// serve runs an exchange through the common filters and the handler.
func (s *Server) serve(w http.ResponseWriter, r *http.Request, handler Handler) {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	requests.Add(1)
	ctx, cancel := context.WithCancelCause(r.Context())
	defer cancel(nil)
	x := &Exchange{
		HTTP:       r,
		Context:    ctx,
		cancel:     cancel,
		Request:    &request.Request{ID: s.deps.NewID(), Arrived: s.deps.Clock.Now()},
		server:     s,
		writer:     w,
		controller: http.NewResponseController(w),
		memory:     s.deps.Memory.Reserve(memory.Body),
	}
	defer x.memory.Release()
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

// admit refuses all requests while the daemon is not ready, for example because
// it has no configuration.
func (x *Exchange) admit() error {
	if err := x.server.deps.Ready(); err != nil {
		return &request.Refusal{
			Status: http.StatusServiceUnavailable, Code: request.CodeNotReady, Run: request.RunNot,
			RetryAfter: clock.Second, Message: "This daemon is not ready: " + err.Error() + ".",
		}
	}
	return nil
}

// BadRequest returns the refusal of a malformed request.
func BadRequest(message string) error {
	return &request.Refusal{
		Status: http.StatusBadRequest, Code: request.CodeBadRequest, Run: request.RunNot, Message: message,
	}
}

// Classify sets the fields of Request that depend on the route and the class. It
// refuses a team or class that the route does not allow.
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
	class, err := x.chooseClass(route)
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

// chooseClass returns the class in the Class header, else the key's class, else
// the route's first class.
func (x *Exchange) chooseClass(route entity.Route) (entity.Class, error) {
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

// Now returns the time on the server's clock.
func (x *Exchange) Now() clock.Millis {
	return x.server.deps.Clock.Now()
}

// FinalError returns the error with which a handler ends a request that failed
// with err. If the key was withdrawn, that takes precedence over err. If
// mayHaveRun is true, a refusal gets the run state RunUnknown.
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
	updated := *refusal
	updated.Run = run
	return &updated
}

// HeaderSent reports whether the status and header of the answer have been sent
// and can no longer be set.
func (x *Exchange) HeaderSent() bool {
	return x.headerSent
}

// Header returns the answer's header.
func (x *Exchange) Header() http.Header {
	return x.writer.Header()
}

// SendHeader sends the answer's status and header. If the server drains, the header announces the
// end of the connection, so that the caller sends its next request to another daemon.
func (x *Exchange) SendHeader(status int) {
	if x.server.draining.Load() {
		x.writer.Header().Set("Connection", "close")
	}
	x.headerSent = true
	x.writer.WriteHeader(status)
}

// SendAnswer sends a whole answer. It declares the length of the body, so that
// also an HTTP/1.0 caller sees whether the answer arrived whole.
func (x *Exchange) SendAnswer(status int, body []byte) error {
	if len(body) > 0 {
		x.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	x.SendHeader(status)
	if len(body) == 0 {
		return nil
	}
	return x.Write(body)
}

// Write writes a part of the answer. It fails if the caller reads nothing of it
// for WriteStallTimeout.
func (x *Exchange) Write(data []byte) error {
	for len(data) > maxWriteBytes {
		if err := x.writePiece(data[:maxWriteBytes]); err != nil {
			return err
		}
		data = data[maxWriteBytes:]
	}
	return x.writePiece(data)
}

// writePiece writes at most maxWriteBytes within WriteStallTimeout.
func (x *Exchange) writePiece(data []byte) error {
	if !x.headerSent {
		x.SendHeader(http.StatusOK)
	}
	timeout := x.server.deps.Settings.WriteStallTimeout
	if err := x.controller.SetWriteDeadline(time.Now().Add(timeout.Duration())); err != nil {
		return err
	}
	_, err := x.writer.Write(data)
	return err
}

// Flush sends the buffered part of the answer to the caller.
func (x *Exchange) Flush() error {
	return x.controller.Flush()
}

// finish counts how the exchange ended. It sends the refusal of a request that
// failed before the header of its answer was sent, and otherwise ends a failed
// exchange with abort.
func (x *Exchange) finish(err error) {
	if err == nil {
		completed.Add(1)
		return
	}
	var refusal *request.Refusal
	isRefusal := errors.As(err, &refusal)
	if !isRefusal && x.Context.Err() != nil {
		callersGone.Add(1)
		x.abort()
	}
	if !isRefusal {
		refusal = x.internalFailure(err)
	}
	refusals.Add(string(refusal.Code), 1)
	if x.headerSent {
		x.abort()
	}
	x.refuse(refusal)
}

// internalFailure logs an unexpected error and returns the refusal for it.
func (x *Exchange) internalFailure(err error) *request.Refusal {
	eventRequestFailed.Log(x.server.deps.Logger, logrus.Fields{"RequestId": x.Request.ID, "Error": err.Error()})
	return &request.Refusal{
		Status: http.StatusInternalServerError, Code: request.CodeEndpointFailed, Run: request.RunUnknown,
		Message: "The request failed inside the router.",
	}
}

// abort closes the connection, so that the caller sees that its answer is
// incomplete. It does not return. If the handler returned instead, net/http would
// end the answer as if it were complete, also for a caller that counts as gone
// because it has closed only its sending side.
func (x *Exchange) abort() {
	if x.endsWithConnection() {
		if err := x.resetConnection(); err != nil {
			eventNotReset.Log(x.server.deps.Logger, logrus.Fields{"RequestId": x.Request.ID, "Error": err.Error()})
		}
	}
	panic(http.ErrAbortHandler)
}

// endsWithConnection reports whether the caller takes the end of the connection for
// the end of the answer, because HTTP/1.0 has no chunks.
func (x *Exchange) endsWithConnection() bool {
	return x.headerSent && !x.HTTP.ProtoAtLeast(1, 1) && x.Header().Get("Content-Length") == ""
}

// resetConnection resets the caller's connection below TLS, so that neither TCP nor
// TLS shows a regular end.
func (x *Exchange) resetConnection() error {
	conn, _, err := x.controller.Hijack()
	if err != nil {
		return err
	}
	err = keepalive.Reset(conn)
	// Releases the connection's slot; the connection itself is closed already.
	_ = conn.Close()
	return err
}
