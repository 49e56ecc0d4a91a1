// Package verdict checks, after a run, what must always hold, and works out
// the figures of service. It uses only what callers sent and got and what the
// stand-ins recorded, never the router's own word.
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

// Violations counts what did not hold, one field for each invariant.
type Violations struct {
	// TierOrder: no higher tier is shed or preempted for a lower one.
	TierOrder int
	// Starvation: no class starves.
	Starvation int
	// TeamIsolation: a request runs only for the team whose key came with it.
	TeamIsolation int
	// KeyLeaks: no endpoint sees a caller's key.
	KeyLeaks int
	// WithdrawnKeys: a withdrawn key stops working within seconds.
	WithdrawnKeys int
	// OverlappingOrders: no orders from two processes that both believe they
	// are in charge.
	OverlappingOrders int
	// UsageMismatches: no window twice with different figures, nor by two
	// processes, and every team billed once and correctly.
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

// Finding is one violation for a person to look into.
type Finding struct {
	Invariant string
	Detail    string
}

// Withdrawal is a key that was withdrawn.
type Withdrawal struct {
	KeyID string
	Team  string
	// Requested is when the withdrawal was sent, Accepted when the daemon had
	// confirmed it.
	Requested clock.Millis
	Accepted  clock.Millis
	Pending   bool
}

// Exit is the end of a daemon.
type Exit struct {
	Daemon string
	// StopRequested is when it was told to end, Ended when it had.
	StopRequested clock.Millis
	Ended         clock.Millis
	// Killed says that it had no chance to end gracefully.
	Killed bool
}

// ConfigProbe is one look at which version of a setting a daemon has in force.
type ConfigProbe struct {
	Daemon string
	Sent   clock.Millis
	// Version is the greatest version in force, 0 if none was seen.
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

// Race is what came of two operators who wrote the same entity at the same
// time, each expecting that it did not exist.
type Race struct {
	Entity string
	// Accepted counts the operators whose change was accepted.
	Accepted int
	// DivergentDaemons names the daemons that later had another value than the
	// accepted one.
	DivergentDaemons []string
}

// Input is everything that a run left behind.
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

// Limits of the invariants that speak of seconds.
const (
	withdrawalLimit    = 5 * clock.Second
	leavingLimit       = 3 * clock.Second
	configurationLimit = 9 * clock.Second
)

// maxFindings bounds the findings that are kept of each kind.
const maxFindings = 10

// judge carries the state of a judgement.
type judge struct {
	in       Input
	byNonce  map[string]*load.Call
	runs     map[string][]placed
	tiers    map[string]int
	report   Report
	found    map[string]int
	exits    map[string]Exit
	withdraw map[string]Withdrawal
}

// placed is a run with the endpoint that it was on.
type placed struct {
	record.Run
	endpoint *record.Endpoint
}

// Evaluate checks a run.
func Evaluate(in Input) Report {
	j := newJudge(in)
	for _, check := range []func(){
		j.tierOrder, j.starvation, j.isolation, j.keyLeaks, j.withdrawals, j.orders, j.usage,
		j.answers, j.refusals, j.duplicates, j.leaving, j.shutdowns, j.configuration,
	} {
		check()
	}
	j.figures()
	return j.report
}

// EvaluateCalls works out the figures and judges the answers of a run whose
// stand-ins' records are not at hand.
func EvaluateCalls(in Input) Report {
	j := newJudge(in)
	j.answers()
	j.figures()
	return j.report
}

func newJudge(in Input) *judge {
	j := &judge{
		in: in, byNonce: make(map[string]*load.Call), runs: make(map[string][]placed),
		tiers: make(map[string]int), found: make(map[string]int), exits: make(map[string]Exit),
		withdraw: make(map[string]Withdrawal),
	}
	for _, call := range in.Calls {
		j.byNonce[call.Nonce] = call
	}
	for _, class := range in.Scenario.Classes {
		j.tiers[class.Name] = class.Tier
	}
	for _, exit := range in.Exits {
		j.exits[exit.Daemon] = exit
	}
	for _, withdrawal := range in.Withdrawals {
		j.withdraw[withdrawal.KeyID] = withdrawal
	}
	for _, h := range in.Hosts {
		for i := range h.Endpoints {
			j.indexRuns(&h.Endpoints[i])
		}
	}
	for _, runs := range j.runs {
		slices.SortFunc(runs, func(a, b placed) int { return int(a.Received - b.Received) })
	}
	return j
}

func (j *judge) indexRuns(endpoint *record.Endpoint) {
	for _, run := range endpoint.Runs {
		j.runs[run.Nonce] = append(j.runs[run.Nonce], placed{Run: run, endpoint: endpoint})
	}
}

// began returns the runs of a nonce that started.
func (j *judge) began(nonce string) []placed {
	var began []placed
	for _, run := range j.runs[nonce] {
		if run.Started > 0 && run.End != record.Refused {
			began = append(began, run)
		}
	}
	return began
}

// violated counts one violation and keeps its finding if there are few.
func (j *judge) violated(count *int, invariant, format string, args ...any) {
	*count++
	j.found[invariant]++
	if j.found[invariant] <= maxFindings {
		finding := Finding{Invariant: invariant, Detail: fmt.Sprintf(format, args...)}
		j.report.Findings = append(j.report.Findings, finding)
	}
}

// offset shows an instant as time since the start of the run.
func (j *judge) offset(at clock.Millis) clock.Millis {
	return at - j.in.Started
}
