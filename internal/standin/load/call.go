package load

import (
	"sync"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/config/entity"
)

// Outcome classifies the response that a caller received.
type Outcome string

// The outcomes of an attempt.
const (
	// Completed is the complete expected response.
	Completed Outcome = "Completed"
	// NotRun is a refusal which states that the request did not run.
	NotRun Outcome = "NotRun"
	// Unknown is an error after which the request may have run: a refusal
	// that does not rule it out, a typed error within a stream, or a broken
	// connection.
	Unknown Outcome = "Unknown"
	// NotSent is a failure to connect; the request was not sent.
	NotSent Outcome = "NotSent"
	// Wrong is a response whose content differs from the expected one.
	Wrong Outcome = "Wrong"
	// Truncated is an incomplete response without an error.
	Truncated Outcome = "Truncated"
	// Cancelled is a request that the caller cancelled.
	Cancelled Outcome = "Cancelled"
)

// Attempt is one request of a call, sent first or as a retry.
type Attempt struct {
	// Daemon is the ID of the daemon that the attempt was sent to.
	Daemon  string
	Sent    clock.Millis
	Ended   clock.Millis
	Outcome Outcome
	Status  int
	// Code is the code in the error response. ConnectionBroken is set if the
	// transport failed before the response was complete.
	Code             string
	ConnectionBroken bool
	RetryAfter       clock.Millis
	RequestID        string
	// FirstTokenAt is when the first token arrived, or the whole response if
	// it is not a stream; 0 if none did. Tokens counts those received.
	FirstTokenAt clock.Millis
	Tokens       int
	// LastTokenAt is when the last token of a stream arrived.
	LastTokenAt clock.Millis
	// LongestTokenGap is the longest time between two successive tokens.
	LongestTokenGap clock.Millis
	// Detail describes the error or the difference from the expected response.
	Detail string
	// MissingRunHeader is set if a refusal had no valid Run header.
	MissingRunHeader bool
}

// permanentlyRefused reports whether a retry would get the same refusal: any
// 4xx status except 409 (conflict) and 429 (rate limit).
func (a Attempt) permanentlyRefused() bool {
	return a.Status >= 400 && a.Status < 500 && a.Status != 409 && a.Status != 429
}

// Call is one logical request of a caller with all its attempts.
type Call struct {
	Nonce            string
	Flow             string
	Team             string
	KeyID            string
	Class            string
	Route            string
	Backend          string
	Type             entity.BackendType
	Method           string
	IdempotencyKey   string
	FirstTokenTarget clock.Millis
	PromptTokens     int
	// OutputTokens is the length of the expected response in tokens.
	OutputTokens     int
	Repeatable       bool
	Forbidden        bool
	UsesWithdrawnKey bool
	Duplicated       bool
	// WholeAnswer calls get their response in one piece instead of a stream.
	WholeAnswer bool
	Ended       clock.Millis

	key               Key
	path              string
	body              []byte
	prompt            string
	cancelAfterTokens int

	mu       sync.Mutex
	attempts []Attempt
}

// AddAttempt appends a finished attempt.
func (c *Call) AddAttempt(attempt Attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.attempts = append(c.attempts, attempt)
}

// Attempts returns the finished attempts.
func (c *Call) Attempts() []Attempt {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Attempt(nil), c.attempts...)
}

// Outcome returns the best outcome of all attempts, except that a wrong or
// truncated response takes precedence over any other.
func (c *Call) Outcome() Outcome {
	rank := []Outcome{Wrong, Truncated, Completed, Cancelled, Unknown, NotRun, NotSent}
	attempts := c.Attempts()
	for _, outcome := range rank {
		for _, attempt := range attempts {
			if attempt.Outcome == outcome {
				return outcome
			}
		}
	}
	return Unknown
}

// Sent returns when the first attempt was sent, or 0 if there is none.
func (c *Call) Sent() clock.Millis {
	attempts := c.Attempts()
	if len(attempts) == 0 {
		return 0
	}
	sent := attempts[0].Sent
	for _, attempt := range attempts {
		sent = min(sent, attempt.Sent)
	}
	return sent
}
