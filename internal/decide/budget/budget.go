// Package budget bounds the retries of the whole fleet without coordination:
// each daemon limits itself to its part of the fleet's budget.
//
// In any window of time, the retries to a back end are limited to a share of
// its requests plus a fixed number. Each daemon applies the share to its own
// requests and divides the fixed number by the number of daemons. Requests and
// retries are counted in a sliding window of small steps. One step more than
// the window is kept, so that no span of the window's length exceeds the limit.
//
// The package is pure: it has no clock, lock or goroutine of its own.
//
// # Usage
//
//	b := budget.New(budget.Rules{Ratio: 0.2, FixedRetries: 56, Window: 10 * clock.Second})
//	b.RecordRequest(now, "summaries")
//	if b.TakeRetry(now, budget.Retry{Backend: "summaries"}, daemons) { ... }
package budget

import "github.com/banyanshift/banyanshift/coord/clock"

// windowSteps is the number of steps that the window is divided into.
const windowSteps = 10

// declinedShare is the part of the budget that retries of declined requests may take. Whether
// they are declined depends on their callers, who are not to use up the retries of others.
const declinedShare = 0.5

// safetyFactor is the part of the budget that is spent. The rest allows for
// daemons that temporarily disagree about the number of daemons.
const safetyFactor = 0.8

// Rules bound the retries to each back end.
type Rules struct {
	// Ratio is the number of retries allowed for each request.
	Ratio float64
	// FixedRetries is the number of retries that the whole fleet may make in
	// each window in addition to Ratio.
	FixedRetries float64
	Window       clock.Millis
}

// Budget counts the requests and retries of one daemon for each back end.
type Budget struct {
	rules    Rules
	backends map[string]*counters
}

// counters holds the counts of one back end in ring buffers with one element
// for each step.
type counters struct {
	step     int64
	requests [windowSteps + 1]int
	retries  [windowSteps + 1]int
	// declined counts those of the retries that are of declined requests.
	declined [windowSteps + 1]int
}

// New returns a Budget without recorded requests or retries.
func New(rules Rules) *Budget {
	return &Budget{rules: rules, backends: make(map[string]*counters)}
}

// RecordRequest counts a request to a back end.
func (b *Budget) RecordRequest(now clock.Millis, backend string) {
	c := b.countersAt(now, backend)
	c.requests[c.index()]++
}

// Retry is a request that is to be sent again. It is Declined if the endpoint before refused it for
// what its caller asks.
type Retry struct {
	Backend  string
	Declined bool
}

// TakeRetry reports whether the budget, which is shared by the given number of
// daemons, allows one more retry to a back end, and counts the retry if so.
func (b *Budget) TakeRetry(now clock.Millis, retry Retry, daemons int) bool {
	c := b.countersAt(now, retry.Backend)
	allowed := safetyFactor * (b.rules.Ratio*float64(sum(c.requests)) + b.rules.FixedRetries/float64(max(daemons, 1)))
	if float64(sum(c.retries)+1) > allowed {
		return false
	}
	if retry.Declined {
		if float64(sum(c.declined)+1) > declinedShare*allowed {
			return false
		}
		c.declined[c.index()]++
	}
	c.retries[c.index()]++
	return true
}

func sum(counts [windowSteps + 1]int) int {
	total := 0
	for _, n := range counts {
		total += n
	}
	return total
}

// countersAt returns the counters of a back end after clearing the steps that
// have expired by now.
func (b *Budget) countersAt(now clock.Millis, backend string) *counters {
	step := int64(now / max(b.rules.Window/windowSteps, 1))
	c := b.backends[backend]
	if c == nil {
		c = &counters{step: step}
		b.backends[backend] = c
	}
	for range min(step-c.step, windowSteps+1) {
		c.step++
		c.requests[c.index()] = 0
		c.retries[c.index()] = 0
		c.declined[c.index()] = 0
	}
	c.step = max(c.step, step)
	return c
}

func (c *counters) index() int {
	return int(c.step % (windowSteps + 1))
}
