package check

import (
	"reflect"
	"testing"

	"github.com/banyanshift/banyanshift/coord/clock"
)

func TestPlanFollowsFromSeed(t *testing.T) {
	strip := func(events []event) (result []string) {
		for _, e := range events {
			result = append(result, e.Fault.name, e.At.String(), e.Length.String())
		}
		return result
	}
	first := strip(plan(7, faults(), clock.Minute))
	if again := strip(plan(7, faults(), clock.Minute)); !reflect.DeepEqual(first, again) {
		t.Error("got different schedules for the same seed, want the same")
	}
	if other := strip(plan(8, faults(), clock.Minute)); reflect.DeepEqual(first, other) {
		t.Error("got the same schedule for different seeds, want different ones")
	}
}

func TestPlanHoldsEveryFaultWithinMargins(t *testing.T) {
	const duration = clock.Minute
	for seed := range uint64(50) {
		seen := make(map[string]bool)
		for _, e := range plan(seed, faults(), duration) {
			seen[e.Fault.name] = true
			if e.At < startMargin || e.At > duration-endMargin {
				t.Errorf("seed %d: %s starts at %s, outside the margins", seed, e.Fault.name, e.At)
			}
			if e.Length < e.Fault.minLength || e.Length > e.Fault.maxLength {
				t.Errorf("seed %d: %s lasts %s, outside its limits", seed, e.Fault.name, e.Length)
			}
		}
		if len(seen) != len(faults()) {
			t.Errorf("seed %d: number of fault kinds: got %d, want all", seed, len(seen))
		}
	}
}

func TestCompleteChecksFlags(t *testing.T) {
	tests := []struct {
		name   string
		opts   Options
		faults int
		fails  bool
	}{
		{"all", Options{Faults: []string{"all"}}, len(defaultFaults()), false},
		{"none", Options{Faults: []string{"none"}}, 0, false},
		{"some", Options{Faults: []string{"kill", "rolling"}}, 2, false},
		{"unknown fault", Options{Faults: []string{"kil"}}, 0, true},
		{"unknown deployment", Options{Deployment: "x"}, 0, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			err := test.opts.complete()
			if (err != nil) != test.fails {
				t.Fatalf("complete: got unexpected error result %v", err)
			}
			if err == nil && len(test.opts.Faults) != test.faults {
				t.Errorf("unexpected number of faults: got %v", test.opts.Faults)
			}
		})
	}
}
