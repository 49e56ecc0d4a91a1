package balance

import "github.com/banyanshift/banyanshift/coord/clock"

const (
	// maxQuietTime limits the quiet time that an endpoint can ask for.
	maxQuietTime = 5 * clock.Minute
	// rampTime is the time after a quiet time in which an endpoint gets more and more
	// of this daemon's requests again. At its start rampStartJobs run there at once,
	// and one more for each rampStep.
	rampTime      = clock.Second
	rampStartJobs = 1
	rampStep      = 50 * clock.Millisecond
)

// RecordQuiet records that an endpoint refused a request and wants no others from this
// daemon for some time. Unlike an ejected endpoint, it gets none even if there is no
// other one. RecordQuiet reports whether a quiet time has begun.
func (b *Balancer) RecordQuiet(now clock.Millis, id string, quiet clock.Millis) (begun bool) {
	r := b.replicas[id]
	if r == nil {
		return false
	}
	begun = now >= r.quietUntil
	r.quietUntil = max(r.quietUntil, now+min(quiet, maxQuietTime))
	return begun
}

// SetAside records that an endpoint has no place for a request until some time has passed.
// Unlike after a quiet time, it then gets as many as it has places for.
func (b *Balancer) SetAside(now clock.Millis, id string, time clock.Millis) {
	if r := b.replicas[id]; r != nil {
		r.asideUntil = now + min(time, maxQuietTime)
	}
}

// JobCount returns the number of known requests at an endpoint.
func (b *Balancer) JobCount(id string) int {
	if r := b.replicas[id]; r != nil {
		return r.jobCount
	}
	return 0
}

// openAt returns the time from which the endpoint may get requests again.
func (r *replica) openAt(now clock.Millis) clock.Millis {
	return max(r.quietUntil, r.asideUntil, r.coldOpenAt(now))
}

// Accepts reports whether an endpoint is known, is neither leaving nor drained, has its address
// and has not asked for a quiet time. One that was set aside by this daemon accepts requests of others,
// which have their own permits.
func (b *Balancer) Accepts(now clock.Millis, id string) bool {
	r := b.replicas[id]
	return r != nil && !r.Leaving && !r.isReassigned(now) && !b.IsDrained(r.FailureDomain) && now >= r.quietUntil
}

// isRampedUp reports whether the endpoint may get one more request, shortly after a quiet
// time, after it was cold or after it had lost its address. Others are preferred until then, so that daemons do not return
// all at once.
func (r *replica) isRampedUp(now clock.Millis) bool {
	from := max(r.quietUntil, r.reassignedUntil)
	if r.ColdRate > 0 {
		from = max(from, r.ColdUntil)
	}
	since := now - from
	if from == 0 || since < 0 || since >= rampTime {
		return true
	}
	return r.jobCount < rampStartJobs+int(since/rampStep)
}

// QuietTime returns the time until the first endpoint that could serve the request may get
// requests again. found is false unless all of them are quiet or set aside.
func (b *Balancer) QuietTime(now clock.Millis, request Request) (wait clock.Millis, found bool) {
	p := b.backends[request.Backend]
	if p == nil {
		return 0, false
	}
	for _, r := range p.members {
		if r.Leaving || r.isReassigned(now) || b.IsDrained(r.FailureDomain) || !request.Software.allows(&r.Endpoint) {
			continue
		}
		left := r.openAt(now) - now
		if left <= 0 {
			return 0, false
		}
		if !found || left < wait {
			wait, found = left, true
		}
	}
	return wait, found
}
