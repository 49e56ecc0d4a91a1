// Package retry bounds how much extra work failures may cause: retries and
// hedges are paid from budgets that successes fill, so that an outage never
// turns into a storm of retries.
//
// The package is pure: it has no clock, lock or goroutine of its own.
//
// # Usage
//
//	budget := retry.NewBudgets(retry.Config{})
//	budget.Succeeded("coders", "summaries")
//	if req.Repeatable && budget.Retry("coders", "summaries") {
//		// run it again elsewhere
//	}
//
//	hedges := retry.NewHedges(retry.HedgeConfig{})
//	hedges.FirstToken(240 * clock.Millisecond)
//	if hedges.Due(waited, req.Repeatable) { ... }
package retry

// Defaults of Config.
const (
	// DefaultRatio is how many retries each success pays for.
	DefaultRatio = 0.1
	// DefaultBurst bounds the saved retries of a pair of team and back end.
	DefaultBurst = 10
	// DefaultPairs bounds how many pairs are remembered.
	DefaultPairs = 100_000
)

// Config holds the rules of Budgets. Zero fields take the defaults.
type Config struct {
	Ratio float64
	Burst float64
	Pairs int
}

// pair is a team and a back end.
type pair struct {
	team    string
	backend string
}

// Budgets holds a token bucket for each team and back end. A team that uses
// up its own budget takes nothing from others.
type Budgets struct {
	config Config
	tokens map[pair]float64
}

// NewBudgets returns Budgets in which every pair starts with a full bucket.
func NewBudgets(config Config) *Budgets {
	if config.Ratio == 0 {
		config.Ratio = DefaultRatio
	}
	if config.Burst == 0 {
		config.Burst = DefaultBurst
	}
	if config.Pairs == 0 {
		config.Pairs = DefaultPairs
	}
	return &Budgets{config: config, tokens: make(map[pair]float64)}
}

// Succeeded pays a success into the budget.
func (b *Budgets) Succeeded(team, backend string) {
	key := pair{team: team, backend: backend}
	tokens, known := b.tokens[key]
	if !known {
		return
	}
	tokens += b.config.Ratio
	if tokens >= b.config.Burst {
		delete(b.tokens, key)
		return
	}
	b.tokens[key] = tokens
}

// Retry takes one retry from the budget and reports whether there was one.
func (b *Budgets) Retry(team, backend string) bool {
	key := pair{team: team, backend: backend}
	tokens, known := b.tokens[key]
	if !known {
		if len(b.tokens) >= b.config.Pairs {
			return false
		}
		tokens = b.config.Burst
	}
	if tokens < 1 {
		return false
	}
	b.tokens[key] = tokens - 1
	return true
}

// Left returns how many retries the budget holds.
func (b *Budgets) Left(team, backend string) float64 {
	tokens, known := b.tokens[pair{team: team, backend: backend}]
	if !known {
		return b.config.Burst
	}
	return tokens
}
