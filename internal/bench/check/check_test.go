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
		t.Error("the same seed gave another schedule")
	}
	if other := strip(plan(8, faults(), clock.Minute)); reflect.DeepEqual(first, other) {
		t.Error("another seed gave the same schedule")
	}
}

func TestPlanHoldsEveryFaultWithinMargins(t *testing.T) {
	const duration = clock.Minute
	for seed := range uint64(50) {
		seen := make(map[string]bool)
		for _, e := range plan(seed, faults(), duration) {
			seen[e.Fault.name] = true
			if e.At < startMargin || e.At > duration-endMargin {
				t.Errorf("seed %d: %s comes at %s", seed, e.Fault.name, e.At)
			}
			if e.Length < e.Fault.shortest || e.Length > e.Fault.longest {
				t.Errorf("seed %d: %s lasts %s", seed, e.Fault.name, e.Length)
			}
		}
		if len(seen) != len(faults()) {
			t.Errorf("seed %d: only %d kinds of fault", seed, len(seen))
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
		{"all", Options{Faults: []string{"all"}}, len(usual()), false},
		{"none", Options{Faults: []string{"none"}}, 0, false},
		{"some", Options{Faults: []string{"kill", "rolling"}}, 2, false},
		{"unknown fault", Options{Faults: []string{"kil"}}, 0, true},
		{"unknown deployment", Options{Deployment: "x"}, 0, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			err := test.opts.complete()
			if (err != nil) != test.fails {
				t.Fatalf("got %v", err)
			}
			if err == nil && len(test.opts.Faults) != test.faults {
				t.Errorf("got %v", test.opts.Faults)
			}
		})
	}
}
