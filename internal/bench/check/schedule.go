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
	// Seed feeds the choices that the failure makes when it comes.
	Seed uint64
}

// Margins of the schedule, and the mean distance of repeated failures.
const (
	startMargin = 4 * clock.Second
	endMargin   = 12 * clock.Second
	repeatEvery = 8 * clock.Second
)

// plan makes the schedule of a seed: every fault once, and some again, at
// random times, so that they also meet.
func plan(seed uint64, faults []fault, duration clock.Millis) []event {
	if len(faults) == 0 {
		return nil
	}
	random := rand.New(rand.NewPCG(seed, 6))
	span := max(clock.Second, duration-startMargin-endMargin)
	chosen := slices.Clone(faults)
	for range int(span / repeatEvery) {
		if f := faults[random.IntN(len(faults))]; !f.alone {
			chosen = append(chosen, f)
		}
	}
	events := make([]event, 0, len(chosen))
	for _, f := range chosen {
		length := f.shortest + clock.Millis(random.Int64N(int64(f.longest-f.shortest)+1))
		at := startMargin + clock.Millis(random.Int64N(int64(span)))
		if f.alone {
			at = startMargin
		}
		events = append(events, event{At: at, Length: length, Fault: f, Seed: random.Uint64()})
	}
	slices.SortFunc(events, func(a, b event) int { return int(a.At - b.At) })
	return events
}
