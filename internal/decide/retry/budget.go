// Package retry bounds how much extra work failures may cause: retries and
// hedges are paid from budgets that successes fill, so that an outage never
// turns into a storm of retries.
//
// The package is pure: it has no clock, lock or goroutine of its own.
//
// # Usage
//
//	budget := retry.NewBudgets(retry.Config{})
//	budget.RecordSuccess("coders", "summaries")
//	if req.Repeatable && budget.TakeRetry("coders", "summaries") {
//		// run it again elsewhere
//	}
//
//	hedger := retry.NewHedger(retry.HedgeConfig{})
//	hedger.RecordFirstToken(240 * clock.Millisecond)
//	if hedger.TakeHedge(waited, req.Repeatable) { ... }
package retry

// Defaults of Config.
const (
	// DefaultRatio is how many retries each success pays for.
	DefaultRatio = 0.1
	// DefaultBurst bounds the saved retries of a pair of team and back end.
	DefaultBurst = 10
	// DefaultMaxPairs bounds how many pairs are remembered.
	DefaultMaxPairs = 100_000
)

// Config holds the rules of Budgets. Zero fields take the defaults.
type Config struct {
	Ratio    float64
	Burst    float64
	MaxPairs int
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
	if config.MaxPairs == 0 {
		config.MaxPairs = DefaultMaxPairs
	}
	return &Budgets{config: config, tokens: make(map[pair]float64)}
}

// RecordSuccess pays a success into the budget.
func (b *Budgets) RecordSuccess(team, backend string) {
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

// TakeRetry takes one retry from the budget and reports whether there was one.
func (b *Budgets) TakeRetry(team, backend string) bool {
	key := pair{team: team, backend: backend}
	tokens, known := b.tokens[key]
	if !known {
		if len(b.tokens) >= b.config.MaxPairs {
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

// Remaining returns how many retries the budget holds.
func (b *Budgets) Remaining(team, backend string) float64 {
	tokens, known := b.tokens[pair{team: team, backend: backend}]
	if !known {
		return b.config.Burst
	}
	return tokens
}
