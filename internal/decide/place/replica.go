package place

import (
	"sort"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/config/entity"
)

// forgetDeparture is how long a departed incarnation is remembered.
const forgetDeparture = 10 * clock.Minute

// historyStep and historyLength give the span over which the own requests of
// an endpoint are remembered, to correct lagging load reports.
const (
	historyStep   = 100 * clock.Millisecond
	historyLength = 16
)

// replica is what the placer knows of one endpoint.
type replica struct {
	endpoint entity.Endpoint
	number   int
	slots    int
	leaving  bool
	gone     bool
	// requests holds the own requests that run.
	requests map[string]sent
	// prefilling is the sum of the uncached tokens of requests.
	prefilling int
	// foreign is how many requests of others the last report showed.
	foreign  int
	sequence uint64
	history  [historyLength]int
	stepped  clock.Millis
	// perToken is the mean time between tokens in milliseconds.
	perToken float64
	samples  int
	// delay is the measured time to the first token beyond the expected one.
	delay    float64
	failures int
	ejected  bool
	probing  bool
	probeAt  clock.Millis
	backoff  clock.Millis
	events   uint64
	counted  totals
}

// totals is what an endpoint adds to the totals of the cell.
type totals struct {
	free    int
	slots   int
	ejected int
}

// sent is a request that was sent to an endpoint.
type sent struct {
	// uncached prompt tokens; 0 once the first token came.
	uncached int
	// expected time to the first token in milliseconds, without delay.
	expected float64
}

func (r *replica) usable() bool {
	return !r.leaving && !r.gone && !r.ejected
}

func (r *replica) occupied() int {
	return len(r.requests) + r.foreign
}

func (r *replica) available() bool {
	return r.usable() && r.occupied() < r.slots
}

// remember notes the number of own requests for the correction of reports.
func (r *replica) remember(now clock.Millis) {
	if now-r.stepped >= historyStep*historyLength {
		for i := range r.history {
			r.history[i] = len(r.requests)
		}
		r.stepped = now
		return
	}
	for now-r.stepped >= historyStep {
		copy(r.history[1:], r.history[:historyLength-1])
		r.stepped += historyStep
		r.history[0] = len(r.requests)
	}
	r.history[0] = max(r.history[0], len(r.requests))
}

// recent is the greatest number of own requests within the history.
func (r *replica) recent() int {
	most := len(r.requests)
	for _, n := range r.history {
		most = max(most, n)
	}
	return most
}

// SetEndpoints replaces the endpoints of the cell. slots returns how many requests an
// endpoint runs at the same time. Endpoints that are no longer listed get no
// new work and are forgotten when their requests have ended.
func (p *Placer) SetEndpoints(now clock.Millis, endpoints []entity.Endpoint, slots func(entity.Endpoint) int) {
	listed := make(map[string]bool, len(endpoints))
	for _, endpoint := range endpoints {
		listed[endpoint.ID] = true
		p.update(now, endpoint, slots(endpoint))
	}
	for id, r := range p.byID {
		r.gone = !listed[id]
	}
	for id, d := range p.leaving {
		if now-d.seen > forgetDeparture && !listed[id] {
			delete(p.leaving, id)
		}
	}
	p.sweep()
	p.recount()
}

func (p *Placer) update(now clock.Millis, endpoint entity.Endpoint, slots int) {
	if endpoint.Leaving {
		p.leaving[endpoint.ID] = departure{incarnation: endpoint.Incarnation, seen: now}
	}
	r, known := p.byID[endpoint.ID]
	if !known {
		r = &replica{requests: make(map[string]sent), stepped: now}
		p.byID[endpoint.ID] = r
		p.replicas = append(p.replicas, r)
		r.number = p.index.number()
	}
	if known && r.endpoint.Incarnation != endpoint.Incarnation {
		p.restart(r)
	}
	r.endpoint = endpoint
	r.slots = slots
	d, departed := p.leaving[endpoint.ID]
	r.leaving = departed && d.incarnation == endpoint.Incarnation
}

// restart forgets what was known of an earlier incarnation.
func (p *Placer) restart(r *replica) {
	p.index.release(r.number)
	r.number = p.index.number()
	r.foreign, r.sequence, r.events = 0, 0, 0
	r.perToken, r.samples, r.delay, r.failures = 0, 0, 0, 0
	r.ejected, r.probing, r.backoff = false, false, 0
}

// sweep removes endpoints that are gone and run nothing of ours.
func (p *Placer) sweep() {
	kept := p.replicas[:0]
	for _, r := range p.replicas {
		if r.gone && len(r.requests) == 0 {
			p.index.release(r.number)
			delete(p.byID, r.endpoint.ID)
			continue
		}
		kept = append(kept, r)
	}
	clear(p.replicas[len(kept):])
	p.replicas = kept
	sort.Slice(kept, func(i, j int) bool { return kept[i].endpoint.ID < kept[j].endpoint.ID })
}

// MarkLeaving marks an incarnation of an endpoint as leaving, whoever said so.
func (p *Placer) MarkLeaving(now clock.Millis, id, incarnation string) {
	p.leaving[id] = departure{incarnation: incarnation, seen: now}
	if r, known := p.byID[id]; known && r.endpoint.Incarnation == incarnation {
		r.leaving = true
		p.recount()
	}
}

// RecordLoad takes in a load report. Reports come late, so that requests of ours
// are only told from those of others by how many ours were in the meantime.
func (p *Placer) RecordLoad(now clock.Millis, load LoadReport) {
	r, known := p.byID[load.Endpoint]
	if !known || load.Incarnation != r.endpoint.Incarnation || load.Sequence < r.sequence {
		return
	}
	r.sequence = load.Sequence
	r.remember(now)
	r.foreign = max(0, load.Running+load.Waiting-r.recent())
	p.count(r)
}

// RecordDispatch records that a request was sent to an endpoint.
func (p *Placer) RecordDispatch(now clock.Millis, endpoint, requestID string, uncached int, digests []uint64) {
	r, known := p.byID[endpoint]
	if !known {
		return
	}
	r.remember(now)
	uncached = max(uncached, 0)
	r.requests[requestID] = sent{uncached: uncached, expected: p.expected(r, uncached) - r.delay}
	r.prefilling += uncached
	r.probing = r.probing || r.ejected
	r.remember(now)
	if !p.config.IgnorePrefixCache {
		p.index.add(r.number, digests)
	}
	p.count(r)
}

// RecordFirstToken records that a request has been prefilled.
func (p *Placer) RecordFirstToken(endpoint, requestID string) {
	r, known := p.byID[endpoint]
	if !known {
		return
	}
	request, runs := r.requests[requestID]
	if !runs {
		return
	}
	r.prefilling -= request.uncached
	request.uncached = 0
	r.requests[requestID] = request
}

// RecordEnd records that a request no longer runs on an endpoint.
func (p *Placer) RecordEnd(now clock.Millis, endpoint, requestID string, result Result) {
	r, known := p.byID[endpoint]
	if !known {
		return
	}
	request, runs := r.requests[requestID]
	if !runs {
		return
	}
	r.remember(now)
	r.prefilling -= request.uncached
	delete(r.requests, requestID)
	p.settle(now, r, request, result)
	p.count(r)
	if r.gone {
		p.sweep()
	}
}

// delayWeight is the weight of a new sample of the delay.
const delayWeight = 0.1

// settle learns from the end of a request.
func (p *Placer) settle(now clock.Millis, r *replica, request sent, result Result) {
	if result.Failed {
		r.failures++
		if r.ejected && r.probing {
			p.probeFailed(now, r)
		} else if r.failures >= p.config.EjectAfterFailures {
			p.eject(now, r)
		}
		return
	}
	r.failures = 0
	if result.TimeToFirstToken > 0 {
		late := max(0, float64(result.TimeToFirstToken)-request.expected)
		r.delay += delayWeight * (late - r.delay)
	}
	if r.ejected && r.probing {
		p.probeEnded(now, r)
	}
}

// recount adds up the totals anew.
func (p *Placer) recount() {
	p.free, p.slots, p.ejected = 0, 0, 0
	for _, r := range p.replicas {
		r.counted = totals{}
		p.count(r)
	}
}

// count brings the totals up to date after a change of one endpoint.
func (p *Placer) count(r *replica) {
	var now totals
	if r.ejected && !r.gone && !r.leaving {
		now.ejected = 1
	}
	if r.usable() {
		now.slots = r.slots
		now.free = max(0, r.slots-r.occupied())
	}
	p.free += now.free - r.counted.free
	p.slots += now.slots - r.counted.slots
	p.ejected += now.ejected - r.counted.ejected
	r.counted = now
}
