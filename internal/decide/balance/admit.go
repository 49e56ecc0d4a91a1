package balance

import "github.com/banyanshift/banyanshift/coord/clock"

// Patience is how long behind other prompts a long prompt may wait at the best
// endpoint before it is refused, by its rank. Shorter prompts delay others less
// and may wait longer in proportion.
//
// It answers a flood of long prompts that are less urgent than the questions
// beside them. What is refused loses little: endpoints are kept busy by what
// waits already, and the caller comes back when it is told to. What is let in
// delays every more urgent request that comes after it.
const (
	patienceOfSecond = 1500 * clock.Millisecond
	patienceOfOthers = 400 * clock.Millisecond
	// mostPatienceOfOthers is below patienceOfSecond, so that a long prompt
	// of the second rank is let in where none of a lower one is.
	mostPatienceOfOthers = 1200 * clock.Millisecond
	// longPrompt is the time that a long prompt takes at an idle endpoint.
	longPrompt = 250 * clock.Millisecond
	// servedShare is the part of the time left in which a request must be
	// expected to begin.
	servedShare = 0.8
)

// Admit reports whether a request for which an endpoint was chosen should run
// there. If not, it returns how much sooner it would have to begin.
func (b *Balancer) Admit(now clock.Millis, request Request, choice Choice, timeLeft clock.Millis) (excess clock.Millis, admitted bool) {
	if request.Started {
		return 0, true
	}
	if wait := b.share(now, request, choice); wait > 0 {
		return wait, false
	}
	allowed := clock.Millis(servedShare * float64(timeLeft))
	if patience, limited := b.patience(request); limited {
		own := b.prompt(request, choice)
		patience = patience * longPrompt / min(max(own, 1), longPrompt)
		if rank(request.Priority) > 1 {
			patience = min(patience, mostPatienceOfOthers)
		}
		allowed = min(allowed, baseTime+own+patience)
	}
	return choice.ExpectedFirstToken - allowed, choice.ExpectedFirstToken <= allowed
}

// patience returns how long the request may wait behind others; limited is
// false where it is the most urgent work that the back end has.
func (b *Balancer) patience(request Request) (patience clock.Millis, limited bool) {
	p := b.backends[request.Backend]
	if p == nil || len(request.Parts) == 0 {
		return 0, false
	}
	own := rank(request.Priority)
	switch {
	case !p.hasMoreUrgent(own):
		return 0, false
	case own == 1:
		return patienceOfSecond, true
	}
	return patienceOfOthers, true
}

// prompt is the time in which an idle endpoint computes the prompt.
func (b *Balancer) prompt(request Request, choice Choice) clock.Millis {
	r := b.replicas[choice.Endpoint]
	if r == nil {
		return 0
	}
	return clock.Millis(b.backends[request.Backend].prefillTime(r, choice.Uncached))
}

// hasMoreUrgent reports whether more urgent requests run or wait somewhere.
func (p *pool) hasMoreUrgent(than int) bool {
	for _, r := range p.members {
		for other := range than {
			if r.running[other] > 0 {
				return true
			}
		}
		for _, j := range r.waiting {
			if rank(j.Priority) < than {
				return true
			}
		}
	}
	return false
}
