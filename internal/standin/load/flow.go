package load

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/config/entity"
)

// Flow is one kind of request that one team sends.
type Flow struct {
	// Name groups flows whose rate is changed together with SetRateFactor.
	Name string
	// Team owns the keys that are used; without a team no key is sent.
	Team  string
	Class string
	// Route is the model's name, or the name of a plain service's route.
	Route   string
	Backend string
	Type    entity.BackendType
	// PerSecond is the mean rate.
	PerSecond float64
	// FirstTokenTarget is the target of the class, used in reports only.
	FirstTokenTarget clock.Millis

	// BurstFactor multiplies the rate during the first BurstDuration of every
	// BurstInterval.
	BurstFactor   float64
	BurstInterval clock.Millis
	BurstDuration clock.Millis

	// SharedPrefixTokens is how many of the PromptTokens are a prefix that all
	// requests of the flow share.
	SharedPrefixTokens int
	PromptTokens       int
	// MinOutputTokens and MaxOutputTokens bound the length of the response.
	MinOutputTokens int
	MaxOutputTokens int
	// WholeAnswer requests a response in one piece instead of a stream.
	WholeAnswer bool
	// UseCompletionsAPI sends to /v1/completions instead of
	// /v1/chat/completions.
	UseCompletionsAPI bool
	// CancelShare is the share of requests that the caller cancels after a
	// random number of tokens.
	CancelShare float64

	// Method, Path and Duration describe the call of a plain service.
	Method   string
	Path     string
	Duration clock.Millis
	// Idempotent calls carry an idempotency key and are retried until they get
	// a final response or maxAttempts is reached. DuplicateShare is the share
	// of these calls that are sent twice at the same moment.
	Idempotent     bool
	DuplicateShare float64
	// Repeatable calls may run more than once.
	Repeatable bool

	// Forbidden requests must never run, since the team may not use the route.
	Forbidden bool
	// UseWithdrawnKey sends a withdrawn key.
	UseWithdrawnKey bool
	// UseUnknownKey sends a well-formed key that was never issued.
	UseUnknownKey bool
	// ForgeHeaders adds headers that only the router may set, and copies of the
	// key in places that the router must not pass on to endpoints.
	ForgeHeaders bool
}

// rateFactorAt returns the factor of the rate at a time since the start of the
// load, which is BurstFactor within a burst and 1 otherwise.
func (f Flow) rateFactorAt(since clock.Millis) float64 {
	if f.BurstInterval == 0 || since%f.BurstInterval >= f.BurstDuration {
		return 1
	}
	return f.BurstFactor
}

// newCall returns the next call of the flow, with random content.
func (s *flowSender) newCall(nonce string) *Call {
	f := s.flow
	call := &Call{
		Nonce: nonce, Flow: f.Name, Team: f.Team, Class: f.Class, Route: f.Route, Backend: f.Backend,
		Type: f.Type, FirstTokenTarget: f.FirstTokenTarget, Forbidden: f.Forbidden, Method: http.MethodPost,
		Repeatable: f.Repeatable || (f.Type == entity.Model && !f.Idempotent),
	}
	call.key = s.load.config.Keys.pick(f, s.random)
	call.KeyID = call.key.ID
	call.UsesWithdrawnKey = f.UseWithdrawnKey
	if f.UseWithdrawnKey && call.KeyID == "" {
		call.Forbidden = true
	}
	if f.Idempotent {
		call.IdempotencyKey = "k-" + nonce
		call.Duplicated = s.random.Float64() < f.DuplicateShare
	}
	if f.Type == entity.Service {
		s.setServiceRequest(call)
		return call
	}
	s.setModelRequest(call)
	return call
}

func (s *flowSender) setServiceRequest(call *Call) {
	call.Method = s.flow.Method
	call.path = fmt.Sprintf("%s?nonce=%s&ms=%d", s.flow.Path, call.Nonce, s.flow.Duration)
	if s.flow.Method != http.MethodGet {
		call.body = []byte(fmt.Sprintf(`{"Household":%q,"Amount":%d}`, call.Nonce, s.random.IntN(1000)))
	}
}

func (s *flowSender) setModelRequest(call *Call) {
	f := s.flow
	call.WholeAnswer = f.WholeAnswer
	call.OutputTokens = f.MinOutputTokens + s.random.IntN(f.MaxOutputTokens-f.MinOutputTokens+1)
	call.prompt = f.prompt(call.Nonce, call.OutputTokens, s.random)
	call.PromptTokens = len(strings.Fields(call.prompt))
	if s.random.Float64() < f.CancelShare {
		call.cancelAfterTokens = 1 + s.random.IntN(call.OutputTokens)
	}
}

// prompt returns a text that starts with the shared prefix and ends with the
// directives for the engine stand-in: the nonce and the length of its output.
func (f Flow) prompt(nonce string, output int, random *rand.Rand) string {
	var text strings.Builder
	for i := range f.SharedPrefixTokens {
		fmt.Fprintf(&text, "%s-%s-%d ", f.Team, f.Class, i)
	}
	for range max(0, f.PromptTokens-f.SharedPrefixTokens) {
		fmt.Fprintf(&text, "u%d ", random.IntN(100000))
	}
	fmt.Fprintf(&text, "id=%s len=%d", nonce, output)
	return text.String()
}
