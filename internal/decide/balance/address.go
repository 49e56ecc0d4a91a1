package balance

import "github.com/banyanshift/banyanshift/coord/clock"

// The times for which an endpoint gets no requests after an answer from its address showed that
// another endpoint is there. The time doubles each time that this is found again.
const (
	minReassigned = 2 * clock.Second
	maxReassigned = 30 * clock.Second
)

// InvalidateAddress records that the address of an endpoint belongs to another one. For a time it
// is not chosen, not even by ChooseLeaving; requests that are sent then find out whether it still
// is so. InvalidateAddress reports whether that time has begun, and how long it is.
func (b *Balancer) InvalidateAddress(now clock.Millis, id string) (time clock.Millis, begun bool) {
	r := b.replicas[id]
	if r == nil || r.isReassigned(now) {
		return 0, false
	}
	time = min(minReassigned<<min(r.reassignments, 8), maxReassigned)
	r.reassignments++
	r.reassignedUntil = now + time
	return time, true
}

// ConfirmAddress records that an endpoint has its address. It reports whether that was in doubt.
func (b *Balancer) ConfirmAddress(now clock.Millis, id string) (changed bool) {
	r := b.replicas[id]
	if r == nil {
		return false
	}
	changed = r.isReassigned(now)
	r.reassignments, r.reassignedUntil = 0, min(r.reassignedUntil, now)
	return changed
}

// isReassigned reports whether the address counts as that of another endpoint.
func (r *replica) isReassigned(now clock.Millis) bool {
	return now < r.reassignedUntil
}
