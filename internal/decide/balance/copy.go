package balance

import "github.com/banyanshift/banyanshift/coord/clock"

const (
	// copySetupTime is the time until an endpoint has begun to copy a part of a prompt from
	// another one, in ms.
	copySetupTime = 5
	// crossDomainCopyFactor is how much longer a copy from another failure domain takes.
	crossDomainCopyFactor = 2
	// minCopySaving is the time by which a copy must be faster than computing the tokens, in
	// ms. Smaller savings are within the error of the estimates.
	minCopySaving = 10
)

// promptCopy is a part of a prompt that an endpoint takes from the cache of another one before
// it computes the rest. The zero value is no copy.
type promptCopy struct {
	from   *replica
	tokens int
	// time is the expected time until the copy is complete, in ms.
	time float64
}

// cachedPrompt is how much of a prompt the endpoints of a back end have cached.
type cachedPrompt struct {
	// tokens holds the length of the cached prefix for each member of the pool.
	tokens []int
	// sources holds the member of each failure domain that has the most.
	sources []copySource
}

type copySource struct {
	replica *replica
	tokens  int
}

// findCached returns what the members have cached of the prompt of a request, until the next
// call.
func (b *Balancer) findCached(now clock.Millis, p *pool, request Request) cachedPrompt {
	cached := &p.cached
	cached.tokens, cached.sources = cached.tokens[:0], cached.sources[:0]
	for _, r := range p.members {
		tokens := r.cache.match(request.Parts)
		cached.tokens = append(cached.tokens, tokens)
		if tokens > 0 && r.CopyRate > 0 && b.canBeCopied(now, r) && request.Software.allows(&r.Endpoint) {
			cached.addSource(copySource{replica: r, tokens: tokens})
		}
	}
	return *cached
}

// canBeCopied reports whether others may copy from the cache of an endpoint: it is not about to
// be gone and takes requests.
func (b *Balancer) canBeCopied(now clock.Millis, r *replica) bool {
	switch b.standing(now, r) {
	case Available, Ramping:
		return true
	case Leaving:
		return r.LeavesAt-now >= minRemainingTime
	case Ejected, SetAside, ColdFull, Quiet, Drained, Reassigned:
	}
	return false
}

// addSource keeps the source of its failure domain that has the most tokens cached, among those
// with as many the one whose copies end first.
func (c *cachedPrompt) addSource(source copySource) {
	for i, other := range c.sources {
		if other.replica.FailureDomain != source.replica.FailureDomain {
			continue
		}
		if source.tokens > other.tokens || source.tokens == other.tokens && source.replica.copiesUntil < other.replica.copiesUntil {
			c.sources[i] = source
		}
		return
	}
	c.sources = append(c.sources, source)
}

// bestCopy returns the copy to an endpoint that saves the most time, if any does. The endpoint has
// a number of the prompt's tokens cached itself.
func (p *pool) bestCopy(now clock.Millis, r *replica, cached int, sources []copySource) (best promptCopy) {
	bestSaving := float64(minCopySaving)
	for _, source := range sources {
		tokens := source.tokens - cached
		if tokens <= 0 || source.replica.SoftwareVersion != r.SoftwareVersion {
			continue
		}
		time := copyTime(now, source.replica, r, tokens)
		if saving := p.prefillTime(now, r, tokens) - time; saving > bestSaving {
			best, bestSaving = promptCopy{from: source.replica, tokens: tokens, time: time}, saving
		}
	}
	return best
}

// copyTime returns how long a copy of a number of tokens takes, in ms. An endpoint sends and
// receives one copy after the other.
func copyTime(now clock.Millis, from, to *replica, tokens int) float64 {
	wait := max(from.copiesUntil, to.copiesUntil, now) - now
	time := float64(tokens) / from.CopyRate
	if from.FailureDomain != to.FailureDomain {
		time *= crossDomainCopyFactor
	}
	return copySetupTime + float64(wait) + time
}

// recordCopy records that a copy to an endpoint has begun.
func (b *Balancer) recordCopy(now clock.Millis, j *job) {
	if j.CopyTime == 0 {
		return
	}
	until := now + j.CopyTime
	j.replica.copiesUntil = max(j.replica.copiesUntil, until)
	if from := b.replicas[j.CopyFrom]; from != nil {
		from.copiesUntil = max(from.copiesUntil, until)
	}
}
