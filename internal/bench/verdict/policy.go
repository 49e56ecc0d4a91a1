package verdict

import (
	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/config/entity"
	"github.com/banyanshift/banyanshift/internal/standin/load"
	"github.com/banyanshift/banyanshift/internal/standin/record"
)

// shedCodes are the codes of refusals for want of capacity.
var shedCodes = map[string]bool{"overloaded": true, "target_would_be_missed": true, "waited_too_long": true}

// tierSlack allows for the time that a decision takes to reach a caller.
const tierSlack = 500 * clock.Millisecond

// tierOrder finds requests that were shed while one of a lower tier, which
// already waited for the same back end, ran afterwards; and requests that were
// preempted on an endpoint that then started one of a lower tier.
func (j *judge) tierOrder() {
	for _, call := range j.in.Calls {
		tier, known := j.tiers[call.Class]
		if !known || call.Type != entity.Model {
			continue
		}
		for _, attempt := range call.Attempts() {
			if attempt.Outcome == load.NotRun && shedCodes[attempt.Code] {
				j.shed(call, attempt, tier)
			}
		}
		for _, run := range j.began(call.Nonce) {
			if run.End == record.Cancelled && call.Outcome() == load.Completed {
				j.preempted(call, run, tier)
			}
		}
	}
}

func (j *judge) shed(call *load.Call, attempt load.Attempt, tier int) {
	for _, other := range j.in.Calls {
		otherTier, known := j.tiers[other.Class]
		if !known || otherTier <= tier || other.Backend != call.Backend || other.Sent() > attempt.Ended-tierSlack {
			continue
		}
		for _, run := range j.began(other.Nonce) {
			if run.FirstToken == 0 && run.Started > attempt.Ended+tierSlack {
				j.violated(&j.report.Violations.TierOrder, "TierOrder", "%s of tier %d was shed by %s with %s at %s; %s of tier %d waited at %s since %s and ran at %s",
					call.Nonce, tier, attempt.Daemon, attempt.Code, j.offset(attempt.Ended),
					other.Nonce, otherTier, daemonOf(other), j.offset(other.Sent()), j.offset(run.Started))
				return
			}
		}
	}
}

const preemptionSpan = clock.Second

func (j *judge) preempted(call *load.Call, run placed, tier int) {
	left := run.endpoint.LeavingSince > 0 && run.endpoint.LeavingSince <= run.Ended
	if left || j.cut(run) || run.Spoilt {
		return
	}
	for _, other := range run.endpoint.Runs {
		otherCall, known := j.byNonce[other.Nonce]
		if !known || j.tiers[otherCall.Class] <= tier || other.Started < run.Ended || other.Started > run.Ended+preemptionSpan {
			continue
		}
		if j.wentOn(call, run, other.Started) {
			continue
		}
		j.violated(&j.report.Violations.TierOrder, "TierOrder", "%s of tier %d at %s was preempted on %s at %s; %s of tier %d at %s started there %s later",
			call.Nonce, tier, daemonOf(call), run.endpoint.ID, j.offset(run.Ended),
			other.Nonce, j.tiers[otherCall.Class], daemonOf(otherCall), other.Started-run.Ended)
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

// wentOn says that a call whose run was cancelled had gone on elsewhere by an
// instant: it was moved, not displaced.
func (j *judge) wentOn(call *load.Call, cancelled placed, by clock.Millis) bool {
	for _, run := range j.began(call.Nonce) {
		if run.endpoint != cancelled.endpoint && run.Started >= cancelled.Started && run.Started <= by {
			return true
		}
	}
	return false
}

// cutSlack allows for the time that an endpoint takes to see a broken
// connection.
const cutSlack = 200 * clock.Millisecond

// cut says that a run ended because its connection was broken on purpose.
func (j *judge) cut(run placed) bool {
	for _, cut := range j.in.Disconnections {
		if cut.Endpoint == run.endpoint.ID && run.Ended >= cut.From && run.Ended <= cut.To+cutSlack {
			return true
		}
	}
	return false
}

// A class starves in a span when it has work all the time and gets none done
// while other classes of its back end do.
const (
	starvationSpan    = 15 * clock.Second
	starvationStep    = 5 * clock.Second
	starvationDemand  = 8
	starvationService = 20
)

func (j *judge) starvation() {
	for from := j.in.Started; from == j.in.Started || from+starvationSpan <= j.in.Ended; from += starvationStep {
		j.starvedIn(from, from+starvationSpan)
	}
}

type poolClass struct {
	backend string
	class   string
}

func (j *judge) starvedIn(from, to clock.Millis) {
	demand := make(map[poolClass]int)
	done := make(map[poolClass]int)
	total := make(map[string]int)
	for _, call := range j.in.Calls {
		sent := call.Sent()
		if call.Forbidden || call.UsesWithdrawnKey || call.Class == "" || sent == 0 {
			continue
		}
		key := poolClass{backend: call.Backend, class: call.Class}
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
			j.violated(&j.report.Violations.Starvation, "Starvation", "class %s had %d requests between %s and %s, none completed; its back end completed %d",
				key.class, count, j.offset(from), j.offset(to), total[key.backend])
		}
	}
}
