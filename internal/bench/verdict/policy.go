package verdict

import (
	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/config/entity"
	"github.com/banyanshift/banyanshift/internal/standin/load"
	"github.com/banyanshift/banyanshift/internal/standin/record"
)

// shedCodes are the codes of refusals due to lack of capacity.
var shedCodes = map[string]bool{"overloaded": true, "target_would_be_missed": true, "waited_too_long": true}

// tierSlack allows for the delay between a decision and its arrival at the
// caller.
const tierSlack = 500 * clock.Millisecond

// checkTierOrder finds two kinds of requests: those that were shed while a
// request of a lower tier already waited for the same back end and ran
// afterwards, and those that were preempted on an endpoint that then started a
// request of a lower tier.
func (e *evaluation) checkTierOrder() {
	for _, call := range e.in.Calls {
		tier, known := e.tierByClass[call.Class]
		if !known || call.Type != entity.Model {
			continue
		}
		for _, attempt := range call.Attempts() {
			if attempt.Outcome == load.NotRun && shedCodes[attempt.Code] {
				e.checkShedCall(call, attempt, tier)
			}
		}
		for _, run := range e.startedRuns(call.Nonce) {
			if run.End == record.Cancelled && call.Outcome() == load.Completed {
				e.checkPreemptedCall(call, run, tier)
			}
		}
	}
}

func (e *evaluation) checkShedCall(call *load.Call, attempt load.Attempt, tier int) {
	for _, other := range e.in.Calls {
		otherTier, known := e.tierByClass[other.Class]
		if !known || otherTier <= tier || other.Backend != call.Backend || other.Sent() > attempt.Ended-tierSlack {
			continue
		}
		for _, run := range e.startedRuns(other.Nonce) {
			if run.FirstToken == 0 && run.Started > attempt.Ended+tierSlack {
				e.addViolation(&e.report.Violations.TierOrder, "TierOrder", "%s of tier %d was shed by %s with %s at %s; %s of tier %d waited at %s since %s and ran at %s",
					call.Nonce, tier, attempt.Daemon, attempt.Code, e.sinceStart(attempt.Ended),
					other.Nonce, otherTier, daemonOf(other), e.sinceStart(other.Sent()), e.sinceStart(run.Started))
				return
			}
		}
	}
}

const preemptionSpan = clock.Second

func (e *evaluation) checkPreemptedCall(call *load.Call, run endpointRun, tier int) {
	left := run.endpoint.LeavingSince > 0 && run.endpoint.LeavingSince <= run.Ended
	if left || e.endedByDisconnection(run) || run.Spoilt {
		return
	}
	for _, other := range run.endpoint.Runs {
		otherCall, known := e.callsByNonce[other.Nonce]
		if !known || e.tierByClass[otherCall.Class] <= tier || other.Started < run.Ended || other.Started > run.Ended+preemptionSpan {
			continue
		}
		if e.movedBefore(call, run, other.Started) {
			continue
		}
		e.addViolation(&e.report.Violations.TierOrder, "TierOrder", "%s of tier %d at %s was preempted on %s at %s; %s of tier %d at %s started there %s later",
			call.Nonce, tier, daemonOf(call), run.endpoint.ID, e.sinceStart(run.Ended),
			other.Nonce, e.tierByClass[otherCall.Class], daemonOf(otherCall), other.Started-run.Ended)
		return
	}
}

// daemonOf returns the daemon that a call was first sent to.
func daemonOf(call *load.Call) string {
	attempts := call.Attempts()
	if len(attempts) == 0 {
		return "no daemon"
	}
	return attempts[0].Daemon
}

// movedBefore reports whether a call with a cancelled run had resumed on another
// endpoint by an instant, so that it was moved and not preempted.
func (e *evaluation) movedBefore(call *load.Call, cancelled endpointRun, by clock.Millis) bool {
	for _, run := range e.startedRuns(call.Nonce) {
		if run.endpoint != cancelled.endpoint && run.Started >= cancelled.Started && run.Started <= by {
			return true
		}
	}
	return false
}

// disconnectionSlack allows for the time until an endpoint notices a broken connection.
const disconnectionSlack = 200 * clock.Millisecond

// endedByDisconnection reports whether a run ended because the check broke its
// connection.
func (e *evaluation) endedByDisconnection(run endpointRun) bool {
	for _, cut := range e.in.Disconnections {
		if cut.Endpoint == run.endpoint.ID && run.Ended >= cut.From && run.Ended <= cut.To+disconnectionSlack {
			return true
		}
	}
	return false
}

// A class starves in a span of starvationSpan if it has at least
// starvationDemand requests and none completes, while its back end completes at
// least starvationService requests.
const (
	starvationSpan    = 15 * clock.Second
	starvationStep    = 5 * clock.Second
	starvationDemand  = 8
	starvationService = 20
)

func (e *evaluation) checkStarvation() {
	for from := e.in.Started; from == e.in.Started || from+starvationSpan <= e.in.Ended; from += starvationStep {
		e.checkStarvationIn(from, from+starvationSpan)
	}
}

type backendClass struct {
	backend string
	class   string
}

func (e *evaluation) checkStarvationIn(from, to clock.Millis) {
	demand := make(map[backendClass]int)
	done := make(map[backendClass]int)
	total := make(map[string]int)
	for _, call := range e.in.Calls {
		sent := call.Sent()
		if call.Forbidden || call.UsesWithdrawnKey || call.Class == "" || sent == 0 {
			continue
		}
		key := backendClass{backend: call.Backend, class: call.Class}
		if sent < to && call.Ended > from {
			demand[key]++
		}
		if call.Outcome() == load.Completed && call.Ended >= from && call.Ended < to {
			done[key]++
			total[key.backend]++
		}
	}
	for key, count := range demand {
		if count >= starvationDemand && done[key] == 0 && total[key.backend] >= starvationService {
			e.addViolation(&e.report.Violations.Starvation, "Starvation", "class %s had %d requests between %s and %s, none completed; its back end completed %d",
				key.class, count, e.sinceStart(from), e.sinceStart(to), total[key.backend])
		}
	}
}
