package balance

import "github.com/banyanshift/banyanshift/coord/clock"

// PromptPart is one of the consecutive parts of a prompt. Hash covers the part
// and all parts before it.
type PromptPart struct {
	Hash   uint64
	Tokens int
}

// Request holds the properties of a request that a choice depends on.
type Request struct {
	Backend string
	// FailureDomain is that of the daemon that received the request.
	FailureDomain string
	// BodyBytes is the size of the request body.
	BodyBytes int
	// Parts is the prompt; empty for requests to plain services.
	Parts []PromptPart
	// Output is the expected number of generated tokens.
	Output int
	// Priority is the rank of the request; 0 is the most urgent.
	Priority int
	// RoutePriority is the priority of the request's route. It differs from Priority if the
	// team has a priority of its own.
	RoutePriority int
	// EventGap is the target for the longest pause between two events of the stream, 0 if there
	// is none.
	EventGap clock.Millis
	// Started requests have been partly answered and are always admitted.
	Started bool
	// Software limits the choice to endpoints of one software version, if Limited.
	Software SoftwareLimit
	// TieBreakSeed differs for each request. It selects among endpoints of
	// about equal cost.
	TieBreakSeed uint64
	// Exclude names endpoints that must not be chosen.
	Exclude []string
	// AvoidDomains names failure domains that are chosen only if no other has an endpoint.
	AvoidDomains []string
}

// SoftwareLimit requires a software version of endpoints. The zero value allows all.
type SoftwareLimit struct {
	Limited bool
	Version string
}

// allows reports whether an endpoint may be chosen.
func (l SoftwareLimit) allows(endpoint *Endpoint) bool {
	return !l.Limited || endpoint.SoftwareVersion == l.Version
}

// PromptTokens returns the number of prompt tokens.
func (r Request) PromptTokens() int {
	total := 0
	for _, part := range r.Parts {
		total += part.Tokens
	}
	return total
}

// Choice is an endpoint for a request.
type Choice struct {
	Endpoint string
	// Uncached is the expected number of prompt tokens to compute.
	Uncached int
	// CopyFrom is the endpoint from whose cache CopyTokens of the prompt are to be copied first,
	// which takes CopyTime; empty if none are.
	CopyFrom   string
	CopyTokens int
	CopyTime   clock.Millis
	// ExpectedFirstToken is the expected time to first token, or to the
	// complete response of a plain service.
	ExpectedFirstToken clock.Millis
	// Delays is the breakdown of ExpectedFirstToken.
	Delays Delays
}

// Job is a request that this or another daemon sent to an endpoint.
type Job struct {
	ID       uint64
	Endpoint string
	Parts    []PromptPart
	Uncached int
	Output   int
	Priority int
	// Expected is the expected time to first token.
	Expected clock.Millis
	// CopyFrom and CopyTime are those of the Choice. Jobs of other daemons have none.
	CopyFrom string
	CopyTime clock.Millis
}
