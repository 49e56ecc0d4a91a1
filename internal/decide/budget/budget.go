// Package budget bounds the retries of the whole fleet without asking anybody:
// each daemon spends at most its part.
//
// Within any window, the retries to a back end may be a share of its requests
// and a fixed number besides. The share grows with the daemon's own requests;
// the fixed number is divided among the daemons. What was spent counts against
// the window that slides over the last moments, in small steps, and a step more
// than the window is kept so that no span of its length holds too many.
//
// The package is pure: it has no clock, lock or goroutine of its own.
//
// # Usage
//
//	b := budget.New(budget.Rules{Ratio: 0.2, FixedRetries: 56, Window: 10 * clock.Second})
//	b.RecordRequest(now, "summaries")
//	if b.TakeRetry(now, "summaries", daemons) { ... }
package budget

import "github.com/banyanshift/banyanshift/coord/clock"

// steps is into how many parts the window is divided.
const steps = 10

// caution is the part of the budget that is used, since the daemons disagree
// for a while about how many of them there are.
const caution = 0.8

// Rules bound the retries to each back end.
type Rules struct {
	// Ratio is how many retries each request pays for.
	Ratio float64
	// FixedRetries is how many the whole fleet has besides in each window.
	FixedRetries float64
	Window       clock.Millis
}

// Budget keeps the books of one daemon.
type Budget struct {
	rules    Rules
	backends map[string]*ledger
}

// ledger counts by step; the slot of a step is its number modulo the length.
type ledger struct {
	step    int64
	offered [steps + 1]int
	retried [steps + 1]int
}

// New returns a Budget of which nothing is spent.
func New(rules Rules) *Budget {
	return &Budget{rules: rules, backends: make(map[string]*ledger)}
}

// RecordRequest counts a request to a back end.
func (b *Budget) RecordRequest(now clock.Millis, backend string) {
	l := b.ledger(now, backend)
	l.offered[l.slot()]++
}

// TakeRetry takes one retry, where that many daemons share the budget, and reports
// whether there was one.
func (b *Budget) TakeRetry(now clock.Millis, backend string, daemons int) bool {
	l := b.ledger(now, backend)
	allowed := caution * (b.rules.Ratio*float64(sum(l.offered)) + b.rules.FixedRetries/float64(max(daemons, 1)))
	if float64(sum(l.retried)+1) > allowed {
		return false
	}
	l.retried[l.slot()]++
	return true
}

func sum(counts [steps + 1]int) int {
	total := 0
	for _, n := range counts {
		total += n
	}
	return total
}

// ledger returns the ledger of a back end, moved on to the step of now.
func (b *Budget) ledger(now clock.Millis, backend string) *ledger {
	step := int64(now / max(b.rules.Window/steps, 1))
	l := b.backends[backend]
	if l == nil {
		l = &ledger{step: step}
		b.backends[backend] = l
	}
	for range min(step-l.step, steps+1) {
		l.step++
		l.offered[l.slot()] = 0
		l.retried[l.slot()] = 0
	}
	l.step = max(l.step, step)
	return l
}

func (l *ledger) slot() int {
	return int(l.step % (steps + 1))
}
