package place

import (
	"sort"

	"github.com/banyanshift/banyanshift/coord/clock"
)

// rateWeight is the weight of a new sample of the time between tokens.
const rateWeight = 0.3

// recoveredFactor is the slowness, relative to the median, below which a
// probed endpoint is taken back.
const recoveredFactor = 1.5

// RecordTokens records that a request on an endpoint took elapsed for its last
// tokens. With tokens 0 it says that nothing came for that time.
func (p *Placer) RecordTokens(endpoint string, tokens int, elapsed clock.Millis) {
	r, known := p.byID[endpoint]
	if !known || elapsed <= 0 {
		return
	}
	sample := float64(elapsed) / float64(max(tokens, 1))
	if tokens == 0 && sample < r.perToken {
		return
	}
	r.samples++
	if r.samples == 1 {
		r.perToken = sample
		return
	}
	r.perToken += rateWeight * (sample - r.perToken)
}

// EjectStragglers looks for stragglers and returns the endpoints that it ejected. It is
// called a few times a second.
func (p *Placer) EjectStragglers(now clock.Millis) (ejected []string) {
	p.median = p.medianPerToken()
	if p.config.IgnoreTokenRate || p.median <= 0 {
		return nil
	}
	for _, r := range p.replicas {
		slow := r.samples >= p.config.MinSamples && r.perToken > p.config.SlowFactor*p.median
		if slow && r.usable() && p.eject(now, r) {
			ejected = append(ejected, r.endpoint.ID)
		}
	}
	if len(ejected) > 0 {
		p.recount()
	}
	return ejected
}

// medianPerToken is the median of the endpoints that have been measured; the
// lower one of two in the middle.
func (p *Placer) medianPerToken() float64 {
	rates := make([]float64, 0, len(p.replicas))
	for _, r := range p.replicas {
		if r.samples >= p.config.MinSamples && !r.gone {
			rates = append(rates, r.perToken)
		}
	}
	if len(rates) == 0 {
		return 0
	}
	sort.Float64s(rates)
	return rates[(len(rates)-1)/2]
}

// eject takes an endpoint out, unless that would exceed the bounded share.
func (p *Placer) eject(now clock.Millis, r *replica) bool {
	if r.ejected {
		return false
	}
	present, out := 0, 0
	for _, other := range p.replicas {
		if other.gone || other.leaving {
			continue
		}
		present++
		if other.ejected {
			out++
		}
	}
	if float64(out+1) > p.config.MaxEjectedShare*float64(present) {
		return false
	}
	r.ejected, r.probing = true, false
	r.backoff = p.config.ProbeAfter
	r.probeAt = now + r.backoff
	return true
}

// probe returns an ejected endpoint that is due to be tried by this request.
func (p *Placer) probe(now clock.Millis, request Request) (due *replica, found bool) {
	if p.ejected == 0 || !request.Retryable || len(request.Exclude) > 0 {
		return nil, false
	}
	for _, r := range p.replicas {
		ready := r.ejected && !r.probing && !r.gone && !r.leaving && now >= r.probeAt
		if ready && r.occupied() < r.slots {
			return r, true
		}
	}
	return nil, false
}

// probeEnded takes the endpoint back when the probe ran at a normal speed.
func (p *Placer) probeEnded(now clock.Millis, r *replica) {
	if p.median > 0 && r.perToken > recoveredFactor*p.median {
		p.probeFailed(now, r)
		return
	}
	r.ejected, r.probing, r.backoff = false, false, 0
}

func (p *Placer) probeFailed(now clock.Millis, r *replica) {
	r.probing = false
	r.backoff = min(2*r.backoff, MaxProbeAfter)
	r.probeAt = now + r.backoff
}
