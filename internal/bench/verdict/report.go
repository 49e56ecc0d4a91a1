package verdict

import (
	"fmt"
	"maps"
	"math"
	"slices"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/config/entity"
	"github.com/banyanshift/banyanshift/internal/standin/load"
)

// ClassFigures is the service that a class got.
type ClassFigures struct {
	Requests  int
	Completed int
	// Met counts completed requests with a time to first token within target.
	Met int
	// FirstTokenP50 and FirstTokenP99 are percentiles of the time to first
	// token over the completed requests.
	FirstTokenP50 clock.Millis
	FirstTokenP99 clock.Millis
	// GapP95 is the 95th percentile over streams of the longest time between
	// two tokens.
	GapP95 clock.Millis

	firstTokens []clock.Millis
	gaps        []clock.Millis
}

// Report holds the measurements and violations of a run.
type Report struct {
	Requests      int
	Completed     int
	RefusedNotRun int
	// Unknown counts calls with an error that does not say whether they ran.
	// Cancelled counts calls that their caller abandoned.
	Unknown          int
	Cancelled        int
	NotSent          int
	DuplicateRuns    int
	WrongAnswers     int
	TruncatedAnswers int
	KeyLeaks         int
	// UnmarkedRefusals counts refusals without the header Run.
	UnmarkedRefusals  int
	OverlappingOrders int
	UsageMismatches   int
	// Attainment is, by class, the share of requests that were completed with
	// a time to first token within target. Refused requests count as missed.
	Attainment map[string]float64
	Classes    map[string]ClassFigures
	// WorstServed is the lowest ratio of served to deserved work of a team
	// within a class and back end. JainIndex is Jain's fairness index of these
	// ratios.
	WorstServed float64
	JainIndex   float64
	Spend       float64
	// CheapShare is the share of tokens that cheap endpoints produced.
	CheapShare float64
	// GoodputPerSecond counts the tokens of completed answers per second.
	// WastedShare is the share of produced tokens that are in no completed
	// answer.
	GoodputPerSecond float64
	WastedShare      float64
	// ExposedAtCrash counts completed calls whose daemon was killed within a
	// second of their end, so that they may be missing from the bill.
	ExposedAtCrash int
	Orders         int
	Windows        int
	// LastRunAfterWithdrawal is the time from an accepted withdrawal to the
	// last run with the key. ConfigurationInForce is the time from an accepted
	// change until each daemon has it in force.
	LastRunAfterWithdrawal DurationSummary
	ConfigurationInForce   DurationSummary
	// LastRunAfterAsking is the same as LastRunAfterWithdrawal, but measured
	// from when the withdrawal was sent.
	LastRunAfterAsking DurationSummary
	// ServedInOutage counts the model requests that were sent while the store
	// was down, ServedOutside all others.
	ServedInOutage ServedCount
	ServedOutside  ServedCount
	// Outcomes counts refusals and errors by code.
	Outcomes map[string]int
	// Samples holds an example call and its message for each of the Outcomes.
	Samples map[string]string

	Violations Violations
	Findings   []Finding

	ratios             []float64
	tokens             tokenCount
	withdrawalTimes    []clock.Millis
	configurationTimes []clock.Millis

	withdrawalRequestTimes []clock.Millis
}

// ServedCount is a part of some requests.
type ServedCount struct {
	Requests int
	Served   int
}

func (s *ServedCount) add(served bool) {
	s.Requests++
	if served {
		s.Served++
	}
}

// DurationSummary summarizes measured durations. P99 and Max are 0 when there
// are none.
type DurationSummary struct {
	Count int
	P99   clock.Millis
	Max   clock.Millis
}

type tokenCount struct {
	cheap    int
	all      int
	good     int
	duration clock.Millis
}

func (e *evaluation) computeFigures() {
	r := &e.report
	r.Classes = make(map[string]ClassFigures)
	r.Outcomes = make(map[string]int)
	r.Samples = make(map[string]string)
	for _, call := range e.in.Calls {
		e.countCall(call)
	}
	r.Spend = e.in.Platform.Spend
	r.tokens.duration = e.in.Ended - e.in.Started
	e.countProducedTokens()
	r.ratios = e.servedRatios()
	r.computeDerived()
}

func (e *evaluation) countCall(call *load.Call) {
	r := &e.report
	r.Requests++
	for _, attempt := range call.Attempts() {
		if attempt.Outcome != load.Completed {
			kind := string(attempt.Outcome) + " " + attempt.Code
			r.Outcomes[kind]++
			r.Samples[kind] = fmt.Sprintf("%s (%s) at %s: %s", call.Nonce, call.Flow, e.sinceStart(attempt.Ended), attempt.Detail)
		}
		if attempt.MissingRunHeader {
			r.UnmarkedRefusals++
		}
	}
	switch call.Outcome() {
	case load.Completed:
		r.Completed++
		r.tokens.good += call.OutputTokens
	case load.NotRun:
		r.RefusedNotRun++
	case load.NotSent:
		r.NotSent++
	case load.Cancelled:
		r.Cancelled++
	case load.Wrong:
		r.WrongAnswers++
	case load.Truncated:
		r.TruncatedAnswers++
	default:
		r.Unknown++
	}
	if call.Class != "" && e.expectedToBeServed(call) && call.Outcome() != load.Cancelled {
		figures := r.Classes[call.Class]
		figures.add(call, e.firstToken(call))
		r.Classes[call.Class] = figures
		e.countOutage(call)
	}
}

func (e *evaluation) countOutage(call *load.Call) {
	if call.Type != entity.Model {
		return
	}
	into := &e.report.ServedOutside
	sent := call.Sent()
	for _, outage := range e.in.Outages {
		if sent >= outage.From && sent < outage.To {
			into = &e.report.ServedInOutage
		}
	}
	into.add(call.Outcome() == load.Completed)
}

// expectedToBeServed reports whether the router should serve a call.
func (e *evaluation) expectedToBeServed(call *load.Call) bool {
	_, withdrawn := e.withdrawalByKey[call.KeyID]
	if withdrawn && call.Outcome() != load.Completed {
		return false
	}
	return !call.Forbidden && !call.UsesWithdrawnKey && call.Flow != "hostile"
}

func (f *ClassFigures) add(call *load.Call, firstToken clock.Millis) {
	f.Requests++
	if call.Outcome() != load.Completed {
		return
	}
	f.Completed++
	if firstToken <= call.FirstTokenTarget {
		f.Met++
	}
	f.firstTokens = append(f.firstTokens, firstToken)
	for _, attempt := range call.Attempts() {
		if attempt.Outcome == load.Completed && !call.WholeAnswer {
			f.gaps = append(f.gaps, attempt.LongestTokenGap)
			return
		}
	}
}

// firstToken returns the time from a completed call's first attempt to its
// first token, or to a service's answer. The caller of an answer that is not
// streamed does not see the first token, so the engine's record is used.
func (e *evaluation) firstToken(call *load.Call) clock.Millis {
	sent := call.Sent()
	if call.WholeAnswer {
		for _, run := range e.startedRuns(call.Nonce) {
			if run.FirstTokenAt > 0 {
				return run.FirstTokenAt - sent
			}
		}
	}
	for _, attempt := range call.Attempts() {
		if attempt.Outcome == load.Completed {
			return attempt.FirstTokenAt - sent
		}
	}
	return 0
}

func (e *evaluation) countProducedTokens() {
	tokens := &e.report.tokens
	for _, runs := range e.runsByNonce {
		for _, run := range runs {
			tokens.all += run.Tokens
			if run.endpoint.Market == entity.Cheap {
				tokens.cheap += run.Tokens
			}
		}
	}
}

// computeDerived computes the figures that follow from the counts.
func (r *Report) computeDerived() {
	r.Attainment = make(map[string]float64)
	for name, figures := range r.Classes {
		r.Attainment[name] = float64(figures.Met) / float64(max(1, figures.Requests))
		figures.FirstTokenP50 = quantile(figures.firstTokens, 0.5)
		figures.FirstTokenP99 = quantile(figures.firstTokens, 0.99)
		figures.GapP95 = quantile(figures.gaps, 0.95)
		r.Classes[name] = figures
	}
	r.DuplicateRuns = r.Violations.DuplicateRuns
	r.KeyLeaks = r.Violations.KeyLeaks
	r.OverlappingOrders = r.Violations.OverlappingOrders
	r.UsageMismatches = r.Violations.UsageMismatches
	r.WorstServed, r.JainIndex = fairness(r.ratios)
	r.CheapShare = float64(r.tokens.cheap) / float64(max(1, r.tokens.all))
	r.WastedShare = max(0, 1-float64(r.tokens.good)/float64(max(1, r.tokens.all)))
	r.GoodputPerSecond = float64(r.tokens.good) / max(1, r.tokens.duration.Seconds())
	r.LastRunAfterWithdrawal = summarizeDurations(r.withdrawalTimes)
	r.LastRunAfterAsking = summarizeDurations(r.withdrawalRequestTimes)
	r.ConfigurationInForce = summarizeDurations(r.configurationTimes)
}

func summarizeDurations(times []clock.Millis) DurationSummary {
	return DurationSummary{Count: len(times), P99: quantile(times, 0.99), Max: quantile(times, 1)}
}

// quantile returns the smallest value that at least the share q of the values
// do not exceed, or 0 without values.
func quantile(values []clock.Millis, q float64) clock.Millis {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	index := int(math.Ceil(q*float64(len(sorted)))) - 1
	return sorted[max(0, index)]
}

// Merge adds the report of another deployment to r.
func (r *Report) Merge(other Report) {
	r.Requests += other.Requests
	r.Completed += other.Completed
	r.RefusedNotRun += other.RefusedNotRun
	r.Unknown += other.Unknown
	r.Cancelled += other.Cancelled
	r.NotSent += other.NotSent
	r.WrongAnswers += other.WrongAnswers
	r.TruncatedAnswers += other.TruncatedAnswers
	r.UnmarkedRefusals += other.UnmarkedRefusals
	r.ExposedAtCrash += other.ExposedAtCrash
	r.ServedInOutage.Requests += other.ServedInOutage.Requests
	r.ServedInOutage.Served += other.ServedInOutage.Served
	r.ServedOutside.Requests += other.ServedOutside.Requests
	r.ServedOutside.Served += other.ServedOutside.Served
	r.Orders += other.Orders
	r.Windows += other.Windows
	r.Spend += other.Spend
	r.ratios = append(r.ratios, other.ratios...)
	r.withdrawalTimes = append(r.withdrawalTimes, other.withdrawalTimes...)
	r.withdrawalRequestTimes = append(r.withdrawalRequestTimes, other.withdrawalRequestTimes...)
	r.configurationTimes = append(r.configurationTimes, other.configurationTimes...)
	r.Findings = append(r.Findings, other.Findings...)
	r.tokens.cheap += other.tokens.cheap
	r.tokens.all += other.tokens.all
	r.tokens.good += other.tokens.good
	r.tokens.duration = max(r.tokens.duration, other.tokens.duration)
	r.Violations.add(other.Violations)
	for name, figures := range other.Classes {
		r.Classes[name] = figures
	}
	for code, count := range other.Outcomes {
		r.Outcomes[code] += count
	}
	maps.Copy(r.Samples, other.Samples)
	r.computeDerived()
}

func (v *Violations) add(other Violations) {
	v.TierOrder += other.TierOrder
	v.Starvation += other.Starvation
	v.TeamIsolation += other.TeamIsolation
	v.KeyLeaks += other.KeyLeaks
	v.WithdrawnKeys += other.WithdrawnKeys
	v.OverlappingOrders += other.OverlappingOrders
	v.UsageMismatches += other.UsageMismatches
	v.WholeAnswers += other.WholeAnswers
	v.TrueRefusals += other.TrueRefusals
	v.DuplicateRuns += other.DuplicateRuns
	v.LeavingWork += other.LeavingWork
	v.GracefulCuts += other.GracefulCuts
	v.Configuration += other.Configuration
}
