package balance

import "github.com/banyanshift/banyanshift/coord/clock"

// Speeds that are expected until there are measurements.
const (
	// initialPrefillRate is in prompt tokens per millisecond.
	initialPrefillRate = 35.0
	// initialServiceTime is the time of a request to a plain service, in ms.
	initialServiceTime = 20.0
)

// speedOf returns the speed of an endpoint and the mean of its back end: prompt tokens, or
// requests of a plain service, in a ms of work.
func (p *pool) speedOf(now clock.Millis, r *replica) (own, mean float64) {
	if !p.rate.isValid(now) {
		initial := initialPrefillRate
		if r.CacheTokens == 0 {
			initial = 1 / initialServiceTime
		}
		p.rate = cachedRate{value: p.speed.Rate(now, initial), at: now, isSet: true}
	}
	if !r.rate.isValid(now) {
		r.rate = cachedRate{value: r.speed.Rate(now, p.rate.value), at: now, isSet: true}
	}
	return r.rate.value, p.rate.value
}

// rateLifetime is how long a rate is used before it is computed again. A choice asks for the
// rates of all endpoints several times.
const rateLifetime = 50 * clock.Millisecond

// cachedRate is a rate as it was computed at a time.
type cachedRate struct {
	value float64
	at    clock.Millis
	isSet bool
}

func (k cachedRate) isValid(now clock.Millis) bool {
	return k.isSet && now-k.at < rateLifetime
}

// prefillTime returns the time that the endpoint needs to compute the given
// number of prompt tokens, in ms.
func (p *pool) prefillTime(now clock.Millis, r *replica, tokens int) float64 {
	own, _ := p.speedOf(now, r)
	return float64(tokens) / own
}

// serviceTime returns the time of a request to a plain service without others, in ms.
func (p *pool) serviceTime(now clock.Millis, r *replica) float64 {
	own, _ := p.speedOf(now, r)
	return 1 / own
}

// measure adds a job whose first token, or complete answer of a plain service, came elapsed
// after it was sent, and after the copy that it waited for, to what the endpoint and the back end have completed.
func (p *pool) measure(j *job, elapsed clock.Millis) {
	r, startedAt := j.replica, j.sentAt+j.CopyTime
	completedAt := startedAt + elapsed
	work, time := 1.0, float64(elapsed)/j.queueFactor
	if r.CacheTokens > 0 {
		work = float64(j.Uncached)
		time = r.speed.Record(startedAt, completedAt, work, baseFirstTokenTime)
	} else {
		r.speed.Add(completedAt, work, time)
	}
	p.speed.Add(completedAt, work, time)
}

// Slow returns the endpoints on which work takes at least a ratio of the mean time of their back
// end, with their ratios.
func (b *Balancer) Slow(now clock.Millis, ratio float64) map[string]float64 {
	slow := make(map[string]float64)
	for id, r := range b.replicas {
		if own, mean := b.backend(r.Backend).speedOf(now, r); mean >= ratio*own {
			slow[id] = mean / own
		}
	}
	return slow
}
