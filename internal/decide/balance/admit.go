package balance

import (
	"slices"

	"github.com/banyanshift/banyanshift/coord/clock"
)

// firstTokenBudgetShare is the share of the request's remaining time within which its first token
// must be expected.
const firstTokenBudgetShare = 0.8

// Admit reports whether a request should run on the endpoint that was chosen
// for it. If not, excess is how much sooner its first token would have to come.
func (b *Balancer) Admit(now clock.Millis, request Request, choice Choice, timeLeft clock.Millis) (excess clock.Millis, admitted bool) {
	p, r := b.backends[request.Backend], b.replicas[choice.Endpoint]
	if p == nil || r == nil {
		return 0, request.Started
	}
	return b.newAdmission(now, p, request, timeLeft).check(now, r, choice.Uncached, choice.ExpectedFirstToken)
}

// ChooseAdmitted returns the endpoint with the lowest cost among those at which the request
// is admitted. It is for requests that are not admitted at the endpoint that Choose returns,
// such as one that has their prompt cached but no time for prompts. Requests of the lowest rank
// beside more urgent ones are not tried at others, since a prompt that is computed a second time
// takes the room of those.
func (b *Balancer) ChooseAdmitted(now clock.Millis, request Request, timeLeft clock.Millis) (choice Choice, found bool) {
	p := b.backends[request.Backend]
	if p == nil || !p.mayTryOthers(request) {
		return Choice{}, false
	}
	a := b.newAdmission(now, p, request, timeLeft)
	return b.choose(now, p, request, func(s Standing, r *replica, e estimate) bool {
		if s != Available || slices.Contains(request.AvoidDomains, r.FailureDomain) {
			return false
		}
		_, admitted := a.check(now, r, e.uncached, clock.Millis(e.delays.total()))
		return admitted
	})
}

// mayTryOthers reports whether the request is tried at other endpoints than the best one: if
// nothing is more urgent, or if less urgent work is under way, which would go on at endpoints
// with room while this request is refused.
func (p *pool) mayTryOthers(request Request) bool {
	return !p.hasMoreUrgent(request) || request.hasUrgentRoute() || p.hasLessUrgent(request)
}

// hasUrgentRoute reports whether the route is more urgent than the team, so that other requests
// of equal priority may be less urgent.
func (r Request) hasUrgentRoute() bool {
	return rank(r.RoutePriority) < rank(r.Priority)
}

// admission decides whether a request is admitted at endpoints of a back end.
type admission struct {
	pool    *pool
	request Request
	// latest is the time within which the first token must be expected.
	latest clock.Millis
	// hasMoreUrgent is set if the back end has more urgent work.
	hasMoreUrgent bool
	// saturation is that of the back end.
	saturation float64
}

func (b *Balancer) newAdmission(now clock.Millis, p *pool, request Request, timeLeft clock.Millis) admission {
	return admission{
		pool: p, request: request, latest: clock.Millis(firstTokenBudgetShare * float64(timeLeft)),
		hasMoreUrgent: p.hasMoreUrgent(request), saturation: b.saturation(now, p),
	}
}

// check reports whether the request is admitted at an endpoint that has to compute a number
// of its prompt tokens.
func (a admission) check(now clock.Millis, r *replica, uncached int, expected clock.Millis) (excess clock.Millis, admitted bool) {
	if a.request.Started {
		return 0, true
	}
	prefill := clock.Millis(a.pool.prefillTime(now, r, uncached))
	if wait := a.promptShareWait(now, r, prefill); wait > 0 {
		return wait, false
	}
	return expected - a.latest, expected <= a.latest
}

// hasMoreUrgent reports whether any endpoint runs or queues requests that are more urgent than
// this one.
func (p *pool) hasMoreUrgent(request Request) bool {
	return p.hasWork(func(other int) bool { return other < rank(request.Priority) })
}

// hasLessUrgent reports whether any endpoint runs or queues requests that are less urgent than
// this one.
func (p *pool) hasLessUrgent(request Request) bool {
	return p.hasWork(func(other int) bool { return other > rank(request.Priority) })
}

// hasWork reports whether any endpoint runs or queues requests of a rank that matches.
func (p *pool) hasWork(matches func(rank int) bool) bool {
	for _, r := range p.members {
		for other, running := range r.running {
			if running > 0 && matches(other) {
				return true
			}
		}
		for _, j := range r.waiting {
			if matches(rank(j.Priority)) {
				return true
			}
		}
	}
	return false
}
