package request

import (
	"fmt"

	"github.com/banyanshift/banyanshift/coord/clock"
)

// RunState says whether a request that got no answer may have run.
type RunState string

// The run states, sent to callers in the header Run.
const (
	// RunNot says that no byte of the request reached an endpoint, or that
	// the endpoint itself said that it did not run.
	RunNot RunState = "Not"
	// RunUnknown says that the request may have run.
	RunUnknown RunState = "Unknown"
)

// Code names the reason of a refusal. It is sent to callers as the error's
// code and is stable.
type Code string

// The codes of refusals.
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

// Refusal is the error that tells a caller why its request was not answered.
type Refusal struct {
	// Status is the HTTP status.
	Status int
	Code   Code
	Run    RunState
	// RetryAfter is when the caller may try again; 0 when that is pointless.
	RetryAfter clock.Millis
	// Message is a sentence for the caller. It holds no secret.
	Message string
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s: %s (run: %s)", r.Code, r.Message, r.Run)
}
