package check

import (
	"math/rand/v2"
	"slices"

	"github.com/banyanshift/banyanshift/coord/clock"
)

// event is one failure of the schedule.
type event struct {
	At     clock.Millis
	Length clock.Millis
	Fault  fault
	// Seed determines the random choices that the failure makes.
	Seed uint64
}

// No failure starts within startMargin of the start or endMargin of the end of a
// run. For each repeatInterval in between, the plan repeats about one failure.
const (
	startMargin    = 4 * clock.Second
	endMargin      = 12 * clock.Second
	repeatInterval = 8 * clock.Second
)

// plan returns the schedule of a seed: every fault once, and some repeated, at
// random times, so that faults also overlap.
func plan(seed uint64, faults []fault, duration clock.Millis) []event {
	if len(faults) == 0 {
		return nil
	}
	random := rand.New(rand.NewPCG(seed, 6))
	span := max(clock.Second, duration-startMargin-endMargin)
	chosen := slices.Clone(faults)
	for range int(span / repeatInterval) {
		if f := faults[random.IntN(len(faults))]; !f.onRequest {
			chosen = append(chosen, f)
		}
	}
	events := make([]event, 0, len(chosen))
	for _, f := range chosen {
		length := f.minLength + clock.Millis(random.Int64N(int64(f.maxLength-f.minLength)+1))
		at := startMargin + clock.Millis(random.Int64N(int64(span)))
		if f.onRequest {
			at = startMargin
		}
		events = append(events, event{At: at, Length: length, Fault: f, Seed: random.Uint64()})
	}
	slices.SortFunc(events, func(a, b event) int { return int(a.At - b.At) })
	return events
}
