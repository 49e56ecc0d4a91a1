package place

import (
	"sort"

	"github.com/banyanshift/banyanshift/coord/clock"
)

// tokenTimeWeight is the weight of a new sample in the moving average of the
// time between tokens.
const tokenTimeWeight = 0.3

// recoveredFactor is the multiple of the median time between tokens up to which
// a probed endpoint counts as recovered.
const recoveredFactor = 1.5

// RecordTokens records that a request on an endpoint took elapsed to produce
// its last tokens. With tokens 0, it has produced none for that time.
func (p *Placer) RecordTokens(endpoint string, tokens int, elapsed clock.Millis) {
	r, known := p.byID[endpoint]
	if !known || elapsed <= 0 {
		return
	}
	sample := float64(elapsed) / float64(max(tokens, 1))
	if tokens == 0 && sample < r.tokenTime {
		return
	}
	r.tokenSamples++
	if r.tokenSamples == 1 {
		r.tokenTime = sample
		return
	}
	r.tokenTime += tokenTimeWeight * (sample - r.tokenTime)
}

// EjectStragglers updates the median time between tokens, ejects stragglers and
// returns their endpoint IDs. It is meant to be called a few times a second.
func (p *Placer) EjectStragglers(now clock.Millis) (ejected []string) {
	p.medianTokenTime = p.computeMedianTokenTime()
	if p.config.IgnoreTokenRate || p.medianTokenTime <= 0 {
		return nil
	}
	for _, r := range p.replicas {
		slow := r.tokenSamples >= p.config.MinSamples && r.tokenTime > p.config.SlowFactor*p.medianTokenTime
		if slow && r.usable() && p.eject(now, r) {
			ejected = append(ejected, r.endpoint.ID)
		}
	}
	if len(ejected) > 0 {
		p.recalculateTotals()
	}
	return ejected
}

// computeMedianTokenTime returns the median time between tokens over the
// endpoints with enough samples, or the lower of the two middle values.
func (p *Placer) computeMedianTokenTime() float64 {
	times := make([]float64, 0, len(p.replicas))
	for _, r := range p.replicas {
		if r.tokenSamples >= p.config.MinSamples && !r.gone {
			times = append(times, r.tokenTime)
		}
	}
	if len(times) == 0 {
		return 0
	}
	sort.Float64s(times)
	return times[(len(times)-1)/2]
}

// eject ejects an endpoint, unless the ejected share would exceed its maximum.
func (p *Placer) eject(now clock.Millis, r *replica) bool {
	if r.ejected {
		return false
	}
	present, ejected := 0, 0
	for _, other := range p.replicas {
		if other.gone || other.leaving {
			continue
		}
		present++
		if other.ejected {
			ejected++
		}
	}
	if float64(ejected+1) > p.config.MaxEjectedShare*float64(present) {
		return false
	}
	r.ejected, r.probing = true, false
	r.backoff = p.config.ProbeAfter
	r.probeAt = now + r.backoff
	return true
}

// probeTarget returns an ejected endpoint that this request can probe.
func (p *Placer) probeTarget(now clock.Millis, request Request) (due *replica, found bool) {
	if p.ejected == 0 || !request.Retryable || len(request.Exclude) > 0 {
		return nil, false
	}
	for _, r := range p.replicas {
		ready := r.ejected && !r.probing && !r.gone && !r.leaving && now >= r.probeAt
		if ready && r.occupiedSlots() < r.slots {
			return r, true
		}
	}
	return nil, false
}

// finishProbe reinstates the endpoint if its tokens come at a normal rate
// again; otherwise the probe has failed.
func (p *Placer) finishProbe(now clock.Millis, r *replica) {
	if p.medianTokenTime > 0 && r.tokenTime > recoveredFactor*p.medianTokenTime {
		p.failProbe(now, r)
		return
	}
	r.ejected, r.probing, r.backoff = false, false, 0
}

func (p *Placer) failProbe(now clock.Millis, r *replica) {
	r.probing = false
	r.backoff = min(2*r.backoff, MaxProbeAfter)
	r.probeAt = now + r.backoff
}
