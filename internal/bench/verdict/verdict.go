// Package verdict checks the router's invariants after a run and computes the
// service that callers got. It uses only what callers sent and received and
// what the stand-ins recorded, never the router's own reports.
//
// # Usage
//
//	report := verdict.Evaluate(verdict.Input{Calls: l.Calls(), Records: records, ...})
//	if report.Violations.Total() > 0 { ... report.Findings say where ... }
package verdict

import (
	"fmt"
	"slices"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/bench/scenario"
	"github.com/banyanshift/banyanshift/internal/standin/load"
	"github.com/banyanshift/banyanshift/internal/standin/record"
)

// Violations counts the violations of each invariant.
type Violations struct {
	// TierOrder: no higher tier is shed or preempted for a lower one.
	TierOrder int
	// Starvation: no class starves.
	Starvation int
	// TeamIsolation: a request runs only for the team whose key it carries.
	TeamIsolation int
	// KeyLeaks: no endpoint sees a caller's key.
	KeyLeaks int
	// WithdrawnKeys: a withdrawn key stops working within seconds.
	WithdrawnKeys int
	// OverlappingOrders: no orders from two processes that both assume that
	// they hold the lease.
	OverlappingOrders int
	// UsageMismatches: no window is reported twice with different figures, or
	// by two processes, and every team is billed once and correctly.
	UsageMismatches int
	// WholeAnswers: a caller gets the whole answer to its own request.
	WholeAnswers int
	// TrueRefusals: a refusal that says "not run" is true.
	TrueRefusals int
	// DuplicateRuns: a request that is not idempotent runs at most once.
	DuplicateRuns int
	// LeavingWork: a leaving endpoint gets no new work after a few seconds.
	LeavingWork int
	// GracefulCuts: a graceful shutdown cuts no request.
	GracefulCuts int
	// Configuration: an accepted configuration is in force everywhere within
	// seconds and never reverts.
	Configuration int
}

// Total returns the number of all violations.
func (v Violations) Total() int {
	return v.TierOrder + v.Starvation + v.TeamIsolation + v.KeyLeaks + v.WithdrawnKeys +
		v.OverlappingOrders + v.UsageMismatches + v.WholeAnswers + v.TrueRefusals +
		v.DuplicateRuns + v.LeavingWork + v.GracefulCuts + v.Configuration
}

// Finding describes one violation for a person to investigate.
type Finding struct {
	Invariant string
	Detail    string
}

// Withdrawal is a key that was withdrawn.
type Withdrawal struct {
	KeyID string
	Team  string
	// Requested is when the withdrawal was sent, Accepted when the daemon
	// confirmed it.
	Requested clock.Millis
	Accepted  clock.Millis
	Pending   bool
}

// Exit is a daemon's exit.
type Exit struct {
	Daemon string
	// StopRequested is when it was told to stop, Ended when it had exited.
	StopRequested clock.Millis
	Ended         clock.Millis
	// Killed reports whether it was ended without a graceful shutdown.
	Killed bool
}

// ConfigProbe is the result of one check of which version of a setting a daemon
// has in force.
type ConfigProbe struct {
	Daemon string
	Sent   clock.Millis
	// Version is the highest version found in force, 0 if there was none.
	Version int
}

// ConfigChange is an accepted version of the probed setting.
type ConfigChange struct {
	Version  int
	Accepted clock.Millis
}

// Disconnection is a span in which the connections to an endpoint were broken.
type Disconnection struct {
	Endpoint string
	From     clock.Millis
	To       clock.Millis
}

// Outage is a span in which the platform's store was down.
type Outage struct {
	From clock.Millis
	To   clock.Millis
}

// Race is the outcome of two operators creating the same entity at the same
// time, each expecting that it does not exist.
type Race struct {
	Entity string
	// Accepted counts the operators whose change was accepted.
	Accepted int
	// DivergentDaemons names the daemons that later had another value than the
	// accepted one.
	DivergentDaemons []string
}

// Input is the data of a run that Evaluate checks.
type Input struct {
	Scenario       scenario.Scenario
	Calls          []*load.Call
	Platform       record.Platform
	Hosts          []record.Host
	Withdrawals    []Withdrawal
	Exits          []Exit
	ConfigProbes   []ConfigProbe
	ConfigChanges  []ConfigChange
	Races          []Race
	Disconnections []Disconnection
	Outages        []Outage
	// Started and Ended bound the run.
	Started clock.Millis
	Ended   clock.Millis
}

// Time limits of the invariants that hold only after some seconds.
const (
	withdrawalLimit    = 5 * clock.Second
	leavingLimit       = 3 * clock.Second
	configurationLimit = 9 * clock.Second
)

// maxFindings bounds the findings that are kept for each invariant.
const maxFindings = 10

// evaluation holds the state of the checks of one run.
type evaluation struct {
	in              Input
	callsByNonce    map[string]*load.Call
	runsByNonce     map[string][]endpointRun
	tierByClass     map[string]int
	report          Report
	findingCounts   map[string]int
	exitByDaemon    map[string]Exit
	withdrawalByKey map[string]Withdrawal
}

// endpointRun is a run with the endpoint that it was on.
type endpointRun struct {
	record.Run
	endpoint *record.Endpoint
}

// Evaluate checks all invariants of a run and computes its figures.
func Evaluate(in Input) Report {
	e := newEvaluation(in)
	for _, check := range []func(){
		e.checkTierOrder, e.checkStarvation, e.checkTeamIsolation, e.checkKeyLeaks, e.checkWithdrawals, e.checkOrders, e.checkUsage,
		e.checkAnswers, e.checkRefusals, e.checkDuplicateRuns, e.checkLeavingEndpoints, e.checkShutdowns, e.checkConfiguration,
	} {
		check()
	}
	e.computeFigures()
	return e.report
}

// EvaluateCalls computes the figures and checks the answers of a run without the
// records of the stand-ins.
func EvaluateCalls(in Input) Report {
	e := newEvaluation(in)
	e.checkAnswers()
	e.computeFigures()
	return e.report
}

func newEvaluation(in Input) *evaluation {
	e := &evaluation{
		in: in, callsByNonce: make(map[string]*load.Call), runsByNonce: make(map[string][]endpointRun),
		tierByClass: make(map[string]int), findingCounts: make(map[string]int), exitByDaemon: make(map[string]Exit),
		withdrawalByKey: make(map[string]Withdrawal),
	}
	for _, call := range in.Calls {
		e.callsByNonce[call.Nonce] = call
	}
	for _, class := range in.Scenario.Classes {
		e.tierByClass[class.Name] = class.Tier
	}
	for _, exit := range in.Exits {
		e.exitByDaemon[exit.Daemon] = exit
	}
	for _, withdrawal := range in.Withdrawals {
		e.withdrawalByKey[withdrawal.KeyID] = withdrawal
	}
	for _, h := range in.Hosts {
		for i := range h.Endpoints {
			e.indexRuns(&h.Endpoints[i])
		}
	}
	for _, runs := range e.runsByNonce {
		slices.SortFunc(runs, func(a, b endpointRun) int { return int(a.Received - b.Received) })
	}
	return e
}

func (e *evaluation) indexRuns(endpoint *record.Endpoint) {
	for _, run := range endpoint.Runs {
		e.runsByNonce[run.Nonce] = append(e.runsByNonce[run.Nonce], endpointRun{Run: run, endpoint: endpoint})
	}
}

// startedRuns returns the runs of a nonce that started and were not refused.
func (e *evaluation) startedRuns(nonce string) []endpointRun {
	var started []endpointRun
	for _, run := range e.runsByNonce[nonce] {
		if run.Started > 0 && run.End != record.Refused {
			started = append(started, run)
		}
	}
	return started
}

// addViolation counts one violation and keeps its finding, up to maxFindings for
// each invariant.
func (e *evaluation) addViolation(count *int, invariant, format string, args ...any) {
	*count++
	e.findingCounts[invariant]++
	if e.findingCounts[invariant] <= maxFindings {
		finding := Finding{Invariant: invariant, Detail: fmt.Sprintf(format, args...)}
		e.report.Findings = append(e.report.Findings, finding)
	}
}

// sinceStart converts an instant to the time since the start of the run.
func (e *evaluation) sinceStart(at clock.Millis) clock.Millis {
	return at - e.in.Started
}
