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
		Message:    "An earlier request with this idempotency key was not run and is being withdrawn.",
	}
}

func refusalInProgress() *request.Refusal {
	return &request.Refusal{
		Status:     http.StatusConflict,
		Code:       request.CodeDuplicateInProgress,
		Run:        request.RunUnknown,
		RetryAfter: retryInProgress,
		Message:    "A request with this idempotency key is in progress. Ask again for its answer.",
	}
}

func refusalKeyReused() *request.Refusal {
	return &request.Refusal{
		Status:  http.StatusUnprocessableEntity,
		Code:    request.CodeIdempotencyKeyReused,
		Run:     request.RunNot,
		Message: "The idempotency key was used for a request with another body.",
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
		Message: "The request with this idempotency key was completed. Its answer was too large to keep.",
	}
}

func refusalLost() *request.Refusal {
	return &request.Refusal{
		Status:  http.StatusBadGateway,
		Code:    request.CodeEndpointFailed,
		Run:     request.RunUnknown,
		Message: "The request with this idempotency key was started and its outcome is not known. It is not run again.",
	}
}
