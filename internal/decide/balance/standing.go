package balance

import (
	"slices"

	"github.com/banyanshift/banyanshift/coord/clock"
)

// Standing says whether an endpoint may get requests, and otherwise why not.
type Standing int

// Standings. Those after Leaving get no requests at all.
const (
	// Available endpoints get requests.
	Available Standing = iota
	// Ramping endpoints get more only if no other is available: they have just been quiet or
	// cold, and have as many requests as they should have at first.
	Ramping
	// Ejected endpoints could not be reached, and get requests only if no other is available.
	Ejected
	// Leaving endpoints get requests only through ChooseLeaving.
	Leaving
	// SetAside endpoints have no place for a request now.
	SetAside
	// ColdFull endpoints are cold and have as many requests as they can take for now.
	ColdFull
	// Quiet endpoints want no requests.
	Quiet
	// Drained endpoints are in a failure domain that the operator has drained.
	Drained
	// Reassigned endpoints have lost their address to another endpoint, as an answer from there
	// says.
	Reassigned
)

// standingNames holds the names of the standings in their order.
var standingNames = [...]string{"Available", "Ramping", "Ejected", "Leaving", "SetAside", "ColdFull", "Quiet", "Drained", "Reassigned"}

// String returns the name of the standing, for logs and metrics.
func (s Standing) String() string {
	return standingNames[s]
}

// Standings counts the endpoints by their standing.
func (b *Balancer) Standings(now clock.Millis) map[Standing]int {
	counts := make(map[Standing]int)
	for _, r := range b.replicas {
		counts[b.standing(now, r)]++
	}
	return counts
}

// BackendStandings counts the endpoints of a back end by their standing.
func (b *Balancer) BackendStandings(now clock.Millis, backend string) map[Standing]int {
	counts := make(map[Standing]int)
	if p := b.backends[backend]; p != nil {
		for _, r := range p.members {
			counts[b.standing(now, r)]++
		}
	}
	return counts
}

// standing returns the standing of an endpoint. If several reasons apply, it is the one
// that excludes the endpoint most.
func (b *Balancer) standing(now clock.Millis, r *replica) Standing {
	switch {
	case r.isReassigned(now):
		return Reassigned
	case b.IsDrained(r.FailureDomain):
		return Drained
	case now < r.quietUntil:
		return Quiet
	case now < r.coldOpenAt(now):
		return ColdFull
	case now < r.asideUntil:
		return SetAside
	case r.Leaving:
		return Leaving
	case now < r.ejectedUntil:
		return Ejected
	case !r.isRampedUp(now):
		return Ramping
	}
	return Available
}

// SetDrained sets the failure domains whose endpoints get no new requests.
func (b *Balancer) SetDrained(domains []string) {
	b.drained = domains
}

// IsDrained reports whether a failure domain is drained.
func (b *Balancer) IsDrained(domain string) bool {
	return slices.Contains(b.drained, domain)
}
