package balance

import "github.com/banyanshift/banyanshift/coord/clock"

// maxColdWait is how long a request may wait for its turn at a cold endpoint.
const maxColdWait = 300 * clock.Millisecond

// IsCold reports whether the endpoint takes only a limited rate of requests.
func (e *Endpoint) IsCold(now clock.Millis) bool {
	return e.ColdRate > 0 && now < e.ColdUntil
}

// coldWait returns the time until a cold endpoint can take a further request. Without it,
// the empty endpoint would look best to every daemon.
func (r *replica) coldWait(now clock.Millis) clock.Millis {
	if !r.IsCold(now) {
		return 0
	}
	return max(min(r.nextColdTurn, r.ColdUntil)-now, 0)
}

// coldOpenAt returns the time from which a cold endpoint may be chosen, 0 if it is not cold.
func (r *replica) coldOpenAt(now clock.Millis) clock.Millis {
	if !r.IsCold(now) {
		return 0
	}
	return min(r.nextColdTurn-maxColdWait, r.ColdUntil)
}

// takeColdTurn counts a request that was sent to the endpoint, by this or another daemon, if
// it was cold then.
func (r *replica) takeColdTurn(sentAt clock.Millis) {
	if r.IsCold(sentAt) {
		r.nextColdTurn = max(r.nextColdTurn, sentAt) + clock.Millis(float64(clock.Second)/r.ColdRate)
	}
}
