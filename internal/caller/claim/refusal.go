package claim

import (
	"net/http"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/caller/request"
)

// Retry-After values of refusals.
const (
	retryStoreDown  = 2 * clock.Second
	retryReleasing  = clock.Second
	retryInProgress = clock.Second
)

func refusalStoreDown() *request.Refusal {
	return &request.Refusal{
		Status:     http.StatusServiceUnavailable,
		Code:       request.CodeStoreUnavailable,
		Run:        request.RunNot,
		RetryAfter: retryStoreDown,
		Message:    "The idempotency key could not be claimed, so the request was not run.",
	}
}

func refusalReleasing() *request.Refusal {
	return &request.Refusal{
		Status:     http.StatusConflict,
		Code:       request.CodeDuplicateInProgress,
		Run:        request.RunNot,
		RetryAfter: retryReleasing,
		Message:    "An earlier request with this idempotency key was not run. The key is being released.",
	}
}

func refusalInProgress() *request.Refusal {
	return &request.Refusal{
		Status:     http.StatusConflict,
		Code:       request.CodeDuplicateInProgress,
		Run:        request.RunUnknown,
		RetryAfter: retryInProgress,
		Message:    "A request with this idempotency key is in progress. Retry to get its answer.",
	}
}

func refusalKeyReused() *request.Refusal {
	return &request.Refusal{
		Status:  http.StatusUnprocessableEntity,
		Code:    request.CodeIdempotencyKeyReused,
		Run:     request.RunNot,
		Message: "The idempotency key was already used for a different request.",
	}
}

func refusalKeyTooLong() *request.Refusal {
	return &request.Refusal{
		Status:  http.StatusBadRequest,
		Code:    request.CodeBadRequest,
		Run:     request.RunNot,
		Message: "The idempotency key is longer than 255 bytes.",
	}
}

func refusalAnswerDropped() *request.Refusal {
	return &request.Refusal{
		Status:  http.StatusConflict,
		Code:    request.CodeDuplicateInProgress,
		Run:     request.RunUnknown,
		Message: "The request with this idempotency key was completed, but its answer was too large to store.",
	}
}

func refusalLost() *request.Refusal {
	return &request.Refusal{
		Status:  http.StatusBadGateway,
		Code:    request.CodeEndpointFailed,
		Run:     request.RunUnknown,
		Message: "The request with this idempotency key was started, but its outcome is unknown. It is not run again.",
	}
}
