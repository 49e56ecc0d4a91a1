package request

import (
	"fmt"

	"github.com/banyanshift/banyanshift/coord/clock"
)

// RunState states whether a refused or failed request may have run.
type RunState string

// Run states, which are sent to callers in the Run header.
const (
	// RunNot means that no byte of the request reached an endpoint, or that
	// the endpoint reported that it did not run the request.
	RunNot RunState = "Not"
	// RunUnknown means that the request may have run.
	RunUnknown RunState = "Unknown"
)

// Code identifies the reason of a refusal. Callers receive it as the code of the
// error, so its values must not change.
type Code string

// Codes of refusals.
const (
	CodeBadRequest           Code = "bad_request"
	CodeBodyTooLarge         Code = "body_too_large"
	CodeKeyMissing           Code = "key_missing"
	CodeKeyUnknown           Code = "key_unknown"
	CodeKeyWithdrawn         Code = "key_withdrawn"
	CodeTeamDisabled         Code = "team_disabled"
	CodeRouteUnknown         Code = "route_unknown"
	CodeRouteForbidden       Code = "route_forbidden"
	CodeClassForbidden       Code = "class_forbidden"
	CodeOverloaded           Code = "overloaded"
	CodeTargetWouldBeMissed  Code = "target_would_be_missed"
	CodeWaitedTooLong        Code = "waited_too_long"
	CodeNoEndpoint           Code = "no_endpoint"
	CodeShuttingDown         Code = "shutting_down"
	CodeNotReady             Code = "not_ready"
	CodeStoreUnavailable     Code = "store_unavailable"
	CodeDuplicateInProgress  Code = "duplicate_in_progress"
	CodeIdempotencyKeyReused Code = "idempotency_key_reused"
	CodeEndpointFailed       Code = "endpoint_failed"
	CodeBadAnswer            Code = "endpoint_answer_invalid"
)

// Refusal is the error that is sent to a caller whose request was refused or
// failed.
type Refusal struct {
	// Status is the HTTP status.
	Status int
	Code   Code
	Run    RunState
	// RetryAfter is how long the caller should wait before it retries; 0 if a
	// retry is pointless.
	RetryAfter clock.Millis
	// Message is a sentence for the caller. It must not contain a secret.
	Message string
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s: %s (run: %s)", r.Code, r.Message, r.Run)
}
