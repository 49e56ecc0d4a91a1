package compare

import (
	"bytes"
	"encoding/xml"
	"errors"
	"io"
	"testing"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/bench/factory"
	"github.com/banyanshift/banyanshift/internal/standin/load"
)

func TestFlagsReachTheAction(t *testing.T) {
	var got *Options
	cmd := NewCmdCompare(factory.New(), func(o *Options) error {
		got = o
		return nil
	})
	cmd.SetArgs([]string{"--seed", "7", "--workloads", "burst,flood", "--json"})
	if err := cmd.Execute(); err != nil {
		t.Fatal(err)
	}
	if got.Seed != 7 || len(got.Workloads) != 2 || !got.JSON || len(got.Policies) != 4 {
		t.Fatalf("flags were not parsed into the options: got %+v", got)
	}
}

func TestScenariosAreValid(t *testing.T) {
	for _, w := range workloads() {
		s := scenarioFor(w, 20*clock.Second)
		if len(s.Flows) == 0 {
			t.Errorf("%s: no flows", w.name)
		}
		for _, class := range s.Classes {
			if err := class.Validate(); err != nil {
				t.Errorf("%s: %v", w.name, err)
			}
		}
		for _, b := range s.Backends {
			if err := b.Validate(); err != nil {
				t.Errorf("%s: %v", w.name, err)
			}
		}
	}
}

func TestFairnessWithoutCompletedCalls(t *testing.T) {
	calls := []*load.Call{{Team: "a", OutputTokens: 10, Ended: 50}, {Team: "b", OutputTokens: 10, Ended: 50}}
	worst, _ := fairness(calls, 100)
	if worst != 0 {
		t.Fatalf("worst-served share without completed calls: got %v, want 0", worst)
	}
}

func TestPlotIsWellFormed(t *testing.T) {
	table := Table{Rows: []Row{
		{Policy: "Broker", Workload: "burst", Attainment: map[string]float64{"interactive": 1}, WorstServed: 0.9, JainIndex: 1},
		{Policy: "LocalFair", Workload: "burst", WorstServed: 0.5, JainIndex: 0.7},
	}}
	decoder := xml.NewDecoder(bytes.NewReader(plot(table)))
	for {
		_, err := decoder.Token()
		if errors.Is(err, io.EOF) {
			return
		}
		if err != nil {
			t.Fatal(err)
		}
	}
}
