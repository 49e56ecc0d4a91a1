package entry

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/caller/request"
)

// errorBody is the JSON body of an error, in the format that clients of the OpenAI
// API expect.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
	Run     string `json:"run"`
}

// EncodeRefusal returns the JSON body of a refusal.
func EncodeRefusal(refusal *request.Refusal) []byte {
	body, err := json.Marshal(errorBody{Error: errorDetail{
		Message: refusal.Message,
		Type:    errorType(refusal.Status),
		Code:    string(refusal.Code),
		Run:     string(refusal.Run),
	}})
	if err != nil {
		return []byte(`{"error":{"message":"unprintable error"}}`)
	}
	return body
}

func errorType(status int) string {
	switch {
	case status == http.StatusUnauthorized:
		return "authentication_error"
	case status == http.StatusForbidden:
		return "permission_error"
	case status == http.StatusTooManyRequests:
		return "rate_limit_error"
	case status >= http.StatusInternalServerError:
		return "server_error"
	}
	return "invalid_request_error"
}

func (x *Exchange) refuse(refusal *request.Refusal) {
	header := x.writer.Header()
	header.Set("Content-Type", "application/json")
	header.Set("Run", string(refusal.Run))
	if refusal.RetryAfter > 0 {
		header.Set("Retry-After", strconv.FormatInt(roundUpToSeconds(refusal.RetryAfter), 10))
	}
	if refusal.Status == http.StatusUnauthorized {
		header.Set("Www-Authenticate", "Bearer")
	}
	_ = x.SendAnswer(refusal.Status, EncodeRefusal(refusal))
}

// roundUpToSeconds returns the duration in seconds, rounded up because
// Retry-After must be an integer.
func roundUpToSeconds(d clock.Millis) int64 {
	return int64((d + clock.Second - 1) / clock.Second)
}
