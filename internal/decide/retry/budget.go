// Package retry limits the extra load that failures cause. Retries and hedges
// (second copies of slow requests) take tokens from buckets that successful
// requests refill, so that an outage does not lead to a retry storm.
//
// The package is pure: it has no clock, lock or goroutine of its own.
//
// # Usage
//
//	budgets := retry.NewBudgets(retry.Config{})
//	budgets.RecordSuccess("coders", "summaries")
//	if req.Repeatable && budgets.TakeRetry("coders", "summaries") {
//		// run it again elsewhere
//	}
//
//	hedger := retry.NewHedger(retry.HedgeConfig{})
//	hedger.RecordFirstToken(240 * clock.Millisecond)
//	if hedger.TakeHedge(waited, req.Repeatable) { ... }
package retry

// Defaults of Config.
const (
	// DefaultRatio is the number of retries that each success adds.
	DefaultRatio = 0.1
	// DefaultBurst is the bucket size for each pair of team and back end.
	DefaultBurst = 10
	// DefaultMaxPairs bounds the number of pairs with a stored bucket.
	DefaultMaxPairs = 100_000
)

// Config holds the settings of Budgets. Zero fields take the defaults.
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

// Budgets holds a token bucket for each team and back end. A team that spends
// its own budget doesn't affect other teams.
type Budgets struct {
	config Config
	// tokens has no entry for a full bucket.
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

// RecordSuccess adds the tokens of one successful request to the budget.
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

// TakeRetry reports whether the budget allows one more retry, and takes it from
// the budget if so.
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

// Remaining returns the number of retries left in the budget.
func (b *Budgets) Remaining(team, backend string) float64 {
	tokens, known := b.tokens[pair{team: team, backend: backend}]
	if !known {
		return b.config.Burst
	}
	return tokens
}
