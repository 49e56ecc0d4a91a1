package load

import (
	"sync"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/config/entity"
)

// Outcome says what a caller got.
type Outcome string

// The outcomes of an attempt.
const (
	// Completed is the whole right answer.
	Completed Outcome = "Completed"
	// NotRun is a refusal that says that the request did not run.
	NotRun Outcome = "NotRun"
	// Unknown is an error that leaves open whether the request ran: a
	// refusal that says so, a typed error within a stream, or a connection
	// that broke.
	Unknown Outcome = "Unknown"
	// NotSent is a failure to connect: the request never left.
	NotSent Outcome = "NotSent"
	// Wrong is an answer with content that is not the right one.
	Wrong Outcome = "Wrong"
	// Truncated is an answer that ended as if it were whole, and is not.
	Truncated Outcome = "Truncated"
	// Cancelled is a request that the caller itself gave up.
	Cancelled Outcome = "Cancelled"
)

// Attempt is one sending of a call.
type Attempt struct {
	// Daemon is the target that the attempt was sent to.
	Daemon  string
	Sent    clock.Millis
	Ended   clock.Millis
	Outcome Outcome
	Status  int
	// Code is the code of the error, Broken that the connection broke.
	Code             string
	ConnectionBroken bool
	RetryAfter       clock.Millis
	RequestID        string
	// FirstTokenAt is when the first token came, or a service's answer; 0 if
	// none did. Tokens counts those received.
	FirstTokenAt clock.Millis
	Tokens       int
	// LastTokenAt is when the last token of a stream came.
	LastTokenAt clock.Millis
	// LongestTokenGap is the longest time between two tokens.
	LongestTokenGap clock.Millis
	// Detail says what was wrong with the answer.
	Detail string
	// MissingRunHeader says that the header Run was missing.
	MissingRunHeader bool
}

// final says that another attempt is pointless.
func (a Attempt) final() bool {
	return a.Status >= 400 && a.Status < 500 && a.Status != 409 && a.Status != 429
}

// Call is one request as its caller means it, with all its attempts.
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
	// OutputTokens is the length of the right answer in tokens.
	OutputTokens     int
	Repeatable       bool
	Forbidden        bool
	UsesWithdrawnKey bool
	Duplicated       bool
	// WholeAnswer calls get their answer in one piece.
	WholeAnswer bool
	Ended       clock.Millis

	key      Key
	path     string
	body     []byte
	prompt   string
	cancelAt int

	mu       sync.Mutex
	attempts []Attempt
}

// AddAttempt appends an attempt that has ended.
func (c *Call) AddAttempt(attempt Attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.attempts = append(c.attempts, attempt)
}

// Attempts returns the attempts that have ended.
func (c *Call) Attempts() []Attempt {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Attempt(nil), c.attempts...)
}

// Outcome returns the best that any attempt got; a wrong or truncated answer
// counts before all.
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

// Sent returns when the call was first sent, 0 if never.
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
