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
	// Name groups flows, for a change of rate.
	Name string
	// Team owns the keys that are used; empty sends no key at all.
	Team  string
	Class string
	// Route is the model's name, or the name of a plain service's route.
	Route   string
	Backend string
	Type    entity.BackendType
	// PerSecond is the mean rate.
	PerSecond float64
	// FirstTokenTarget is the class's target, for the figures.
	FirstTokenTarget clock.Millis

	// BurstFactor multiplies the rate for BurstDuration in every BurstInterval.
	BurstFactor   float64
	BurstInterval clock.Millis
	BurstDuration clock.Millis

	// SharedPrefixTokens of the prompt are the same for all requests of the flow,
	// out of PromptTokens.
	SharedPrefixTokens int
	PromptTokens       int
	// MinOutputTokens and MaxOutputTokens bound the tokens of the answer.
	MinOutputTokens int
	MaxOutputTokens int
	// WholeAnswer asks for an answer in one piece.
	WholeAnswer bool
	// UseCompletionsAPI uses the older interface without chat messages.
	UseCompletionsAPI bool
	// CancelShare is the share of requests that the caller gives up after
	// some tokens.
	CancelShare float64

	// Method and Path are the call of a plain service, Millis its duration.
	Method   string
	Path     string
	Duration clock.Millis
	// Idempotent sends an idempotency key and repeats what got no answer;
	// TwiceShare of the calls are sent two times at the same moment.
	Idempotent     bool
	DuplicateShare float64
	// Repeatable calls may be run more than once.
	Repeatable bool

	// Forbidden requests must never run: the team may not use the route.
	Forbidden bool
	// UseWithdrawnKey uses keys that have been withdrawn.
	UseWithdrawnKey bool
	// UseUnknownKey uses a key that was never given out.
	UseUnknownKey bool
	// ForgeHeaders adds headers that pretend to be the router's own, and the key in
	// places where it must not be passed on.
	ForgeHeaders bool
}

// burst returns the factor of the rate at a time since the start of the load.
func (f Flow) burst(since clock.Millis) float64 {
	if f.BurstInterval == 0 || since%f.BurstInterval >= f.BurstDuration {
		return 1
	}
	return f.BurstFactor
}

// compose makes up the next call of a flow.
func (s *source) compose(nonce string) *Call {
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
		s.composeService(call)
		return call
	}
	s.composeModel(call)
	return call
}

func (s *source) composeService(call *Call) {
	call.Method = s.flow.Method
	call.path = fmt.Sprintf("%s?nonce=%s&ms=%d", s.flow.Path, call.Nonce, s.flow.Duration)
	if s.flow.Method != http.MethodGet {
		call.body = []byte(fmt.Sprintf(`{"Household":%q,"Amount":%d}`, call.Nonce, s.random.IntN(1000)))
	}
}

func (s *source) composeModel(call *Call) {
	f := s.flow
	call.WholeAnswer = f.WholeAnswer
	call.OutputTokens = f.MinOutputTokens + s.random.IntN(f.MaxOutputTokens-f.MinOutputTokens+1)
	call.prompt = f.prompt(call.Nonce, call.OutputTokens, s.random)
	call.PromptTokens = len(strings.Fields(call.prompt))
	if s.random.Float64() < f.CancelShare {
		call.cancelAt = 1 + s.random.IntN(call.OutputTokens)
	}
}

// prompt returns a text that starts with the shared part and ends with the
// directives for the engine.
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
