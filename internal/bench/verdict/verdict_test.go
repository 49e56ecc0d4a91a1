package verdict

import (
	"math"
	"reflect"
	"testing"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/bench/scenario"
	"github.com/banyanshift/banyanshift/internal/config/entity"
	"github.com/banyanshift/banyanshift/internal/platform/order"
	"github.com/banyanshift/banyanshift/internal/platform/usage"
	"github.com/banyanshift/banyanshift/internal/standin/load"
	"github.com/banyanshift/banyanshift/internal/standin/record"
)

const at = 100 * clock.Second

func modelCall(nonce string, class string, attempts ...load.Attempt) *load.Call {
	call := &load.Call{Nonce: nonce, Team: "t", Class: class, Backend: "b", Type: entity.Model, OutputTokens: 10, Repeatable: true, KeyID: "k"}
	for _, attempt := range attempts {
		call.AddAttempt(attempt)
	}
	call.Ended = at + clock.Second
	return call
}

func serviceCall(nonce string, attempts ...load.Attempt) *load.Call {
	call := modelCall(nonce, "", attempts...)
	call.Type, call.Repeatable, call.OutputTokens = entity.Service, false, 0
	return call
}

func completed() load.Attempt {
	return load.Attempt{Daemon: "d", Outcome: load.Completed, Sent: at, Ended: at + clock.Second, FirstTokenAt: at + 10, Tokens: 10}
}

func refused() load.Attempt {
	return load.Attempt{Daemon: "d", Outcome: load.NotRun, Code: "overloaded", Sent: at, Ended: at + clock.Second}
}

func run(nonce string) record.Run {
	return record.Run{Nonce: nonce, Received: at, Started: at + 5, Ended: at + clock.Second, Tokens: 10, End: record.Finished}
}

func runStartedAt(nonce string, started clock.Millis) record.Run {
	r := run(nonce)
	r.Started = started
	return r
}

func onEndpoint(runs ...record.Run) []record.Host {
	return []record.Host{{Endpoints: []record.Endpoint{{Endpoint: entity.Endpoint{ID: "e"}, Runs: runs}}}}
}

func bill(requests, tokens int64) record.Platform {
	line := usage.Line{Team: "t", Backend: "b", Requests: requests, OutputTokens: tokens}
	return record.Platform{Reports: []record.UsageReport{{Window: usage.Window{Scope: "r", Number: 1, Lines: []usage.Line{line}}}}}
}

// cleanInput returns an input without violations.
func cleanInput() Input {
	return Input{
		Scenario: scenario.Scenario{
			Teams:   []entity.Team{{Name: "t", Weight: 1}},
			Classes: []entity.Class{{Name: "high", Tier: 0}, {Name: "low", Tier: 3}},
		},
		Calls:    []*load.Call{modelCall("n", "high", completed())},
		Hosts:    onEndpoint(run("n")),
		Platform: bill(1, 10),
		Started:  at - 10*clock.Second,
		Ended:    at + 20*clock.Second,
	}
}

func TestCleanRunHasNoViolations(t *testing.T) {
	report := Evaluate(cleanInput())
	if report.Violations.Total() != 0 || report.Completed != 1 || report.WorstServed != 1 {
		t.Errorf("got %+v, want no violations, 1 completed call and WorstServed 1", report)
	}
}

func withStarvedClass(in *Input) {
	for range 30 {
		in.Calls = append(in.Calls, modelCall("x", "high", completed()), modelCall("y", "low", refused()))
	}
	in.Platform = bill(1, 10)
}

func TestEachInvariantIsChecked(t *testing.T) {
	tests := []struct {
		field   string
		corrupt func(in *Input)
	}{
		{"TierOrder", func(in *Input) {
			low := modelCall("low", "low", load.Attempt{Outcome: load.Completed, Sent: at - clock.Second, Ended: at + 9*clock.Second})
			in.Calls = []*load.Call{modelCall("n", "high", refused()), low}
			in.Hosts = onEndpoint(runStartedAt("low", at+5*clock.Second))
		}},
		{"Starvation", withStarvedClass},
		{"TeamIsolation", func(in *Input) { in.Calls[0].Forbidden = true }},
		{"KeyLeaks", func(in *Input) { in.Hosts[0].KeyLeaks = 1 }},
		{"WithdrawnKeys", func(in *Input) {
			in.Withdrawals = []Withdrawal{{KeyID: "k", Accepted: at - withdrawalLimit - 10}}
		}},
		{"WithdrawnKeys", func(in *Input) {
			stream := completed()
			stream.LastTokenAt = at + withdrawalLimit + 10
			in.Calls = []*load.Call{modelCall("n", "high", stream)}
			in.Withdrawals = []Withdrawal{{KeyID: "k", Accepted: at + 6}}
		}},
		{"OverlappingOrders", func(in *Input) {
			in.Platform.Orders = []record.Order{{Order: order.Order{ID: "o"}, Overlap: true}}
		}},
		{"UsageMismatches", func(in *Input) { in.Platform = bill(1, 11) }},
		{"UsageMismatches", func(in *Input) { in.Platform = bill(1, 9) }},
		{"UsageMismatches", func(in *Input) { in.Platform.Reports[0].Window.Number = 2 }},
		{"UsageMismatches", func(in *Input) {
			conflict := in.Platform.Reports[0]
			conflict.Conflict = true
			in.Platform.Reports = append(in.Platform.Reports, conflict)
		}},
		{"WholeAnswers", func(in *Input) {
			in.Calls = append(in.Calls, modelCall("w", "high", load.Attempt{Outcome: load.Wrong}))
		}},
		{"TrueRefusals", func(in *Input) { in.Calls = []*load.Call{modelCall("n", "high", refused())} }},
		{"DuplicateRuns", func(in *Input) {
			in.Calls = []*load.Call{serviceCall("n", completed())}
			in.Hosts = onEndpoint(run("n"), run("n"))
			in.Platform = bill(1, 0)
		}},
		{"LeavingWork", func(in *Input) { in.Hosts[0].Endpoints[0].LeavingSince = at - leavingLimit - 1 }},
		{"GracefulCuts", func(in *Input) {
			cut := load.Attempt{Daemon: "d", Outcome: load.Unknown, ConnectionBroken: true, Sent: at, Ended: at + clock.Second}
			in.Calls[0].AddAttempt(cut)
			in.Exits = []Exit{{Daemon: "d", StopRequested: at + 500, Ended: at + 2*clock.Second}}
		}},
		{"Configuration", func(in *Input) {
			in.ConfigChanges = []ConfigChange{{Version: 1, Accepted: at - configurationLimit - 1}}
			in.ConfigProbes = []ConfigProbe{{Daemon: "d", Sent: at}}
		}},
		{"Configuration", func(in *Input) {
			in.ConfigProbes = []ConfigProbe{{Daemon: "d", Sent: at, Version: 2}, {Daemon: "d", Sent: at + 1, Version: 1}}
		}},
	}
	for _, test := range tests {
		t.Run(test.field, func(t *testing.T) {
			in := cleanInput()
			test.corrupt(&in)
			report := Evaluate(in)
			if reflect.ValueOf(report.Violations).FieldByName(test.field).Int() == 0 {
				t.Errorf("got %+v, want a violation of the invariant", report.Violations)
			}
		})
	}
}

func TestCrashExposureIsBounded(t *testing.T) {
	in := cleanInput()
	in.Platform = record.Platform{}
	in.Exits = []Exit{{Daemon: "d", Killed: true, StopRequested: at + clock.Second + crashExposure - 1}}
	if report := Evaluate(in); report.Violations.UsageMismatches != 0 || report.ExposedAtCrash != 1 {
		t.Errorf("call within the crash exposure: got %+v, want no usage mismatch and 1 exposed call", report.Violations)
	}
	in.Exits[0].StopRequested++
	if report := Evaluate(in); report.Violations.UsageMismatches != 1 {
		t.Errorf("call before the crash exposure: got %+v, want 1 usage mismatch", report.Violations)
	}
}

func TestPreemptionDiffersFromDisconnection(t *testing.T) {
	in := cleanInput()
	cancelled := run("n")
	cancelled.End, cancelled.Tokens = record.Cancelled, 3
	resumed := runStartedAt("n", cancelled.Ended+200)
	resumed.FirstToken, resumed.Tokens = 3, 7
	in.Calls = append(in.Calls, modelCall("low", "low", completed()))
	in.Hosts = onEndpoint(cancelled, runStartedAt("low", cancelled.Ended+100))
	in.Hosts = append(in.Hosts, onEndpoint(resumed)...)
	in.Platform = bill(2, 20)
	if report := Evaluate(in); report.Violations.TierOrder != 1 {
		t.Errorf("preempted call: got %+v, want 1 TierOrder violation", report.Violations)
	}
	in.Hosts[1].Endpoints[0].Runs[0].Started = cancelled.Ended + 50
	if report := Evaluate(in); report.Violations.TierOrder != 0 {
		t.Errorf("call moved before the other started: got %+v, want no TierOrder violation", report.Violations)
	}
	in.Hosts[1].Endpoints[0].Runs[0].Started = cancelled.Ended + 150
	if report := Evaluate(in); report.Violations.TierOrder != 1 {
		t.Errorf("call still waiting when the other started: got %+v, want 1 TierOrder violation", report.Violations)
	}
	in.Disconnections = []Disconnection{{Endpoint: "e", From: cancelled.Ended - 1, To: cancelled.Ended}}
	if report := Evaluate(in); report.Violations.TierOrder != 0 {
		t.Errorf("connection broken: got %+v, want no TierOrder violation", report.Violations)
	}
	in.Disconnections = nil
	in.Hosts[0].Endpoints[0].Runs[0].Spoilt = true
	if report := Evaluate(in); report.Violations.TierOrder != 0 {
		t.Errorf("call abandoned for its corrupted answer: got %+v, want no TierOrder violation", report.Violations)
	}
	in.Hosts[0].Endpoints[0].Runs[0].Spoilt, in.Hosts[0].Endpoints[0].Runs[1].Spoilt = false, true
	if report := Evaluate(in); report.Violations.TierOrder != 1 {
		t.Errorf("other call's answer corrupted: got %+v, want 1 TierOrder violation", report.Violations)
	}
}

func TestFairness(t *testing.T) {
	tests := []struct {
		name  string
		teams map[string]*teamShare
		worst float64
		jain  float64
	}{
		{"all served", map[string]*teamShare{"a": {1, 10, 10}, "b": {1, 100, 100}}, 1, 1},
		{"small team starved", map[string]*teamShare{"a": {1, 10, 0}, "b": {1, 100, 50}}, 0, 0.5},
		{"fair split by weight", map[string]*teamShare{"a": {1, 100, 20}, "b": {3, 100, 60}}, 1, 1},
		{"unfair split", map[string]*teamShare{"a": {1, 100, 10}, "b": {1, 100, 30}}, 0.5, 0.9},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			worst, jain := fairness(poolRatios(test.teams))
			if math.Abs(worst-test.worst) > 1e-6 || math.Abs(jain-test.jain) > 1e-6 {
				t.Errorf("got worst ratio %g and Jain index %g", worst, jain)
			}
		})
	}
}
