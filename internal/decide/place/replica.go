package place

import (
	"sort"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/config/entity"
)

// leavingRetention is how long a leaving incarnation is kept after its endpoint
// is no longer listed.
const leavingRetention = 10 * clock.Minute

// historyStep and historyLength determine the period for which the number of
// own requests on an endpoint is kept, to correct late load reports.
const (
	historyStep   = 100 * clock.Millisecond
	historyLength = 16
)

// replica is the state of one endpoint. Own requests are those that this Placer
// dispatched.
type replica struct {
	endpoint entity.Endpoint
	// number identifies the incarnation in the index.
	number  int
	slots   int
	leaving bool
	// gone is set when the endpoint is no longer listed.
	gone bool
	// requests holds the own requests that run on the endpoint.
	requests map[string]sentRequest
	// prefillTokens is the number of uncached prompt tokens still to compute
	// for the own requests.
	prefillTokens int
	// remoteRequests is the number of other daemons' requests by the last
	// report.
	remoteRequests int
	reportSequence uint64
	// history holds the maximum number of own requests in each past step, the
	// latest first; stepStart is the start of the latest step.
	history   [historyLength]int
	stepStart clock.Millis
	// tokenTime is the mean time between tokens in milliseconds.
	tokenTime    float64
	tokenSamples int
	// excessDelay is the mean excess of the measured over the expected time to
	// first token, in milliseconds.
	excessDelay         float64
	consecutiveFailures int
	ejected             bool
	probing             bool
	probeAt             clock.Millis
	backoff             clock.Millis
	// eventSequence is the sequence of the last cache event.
	eventSequence uint64
	// counted is the endpoint's current part of the totals of the cell.
	counted totals
}

// totals is the part of one endpoint in the totals of the cell.
type totals struct {
	free    int
	slots   int
	ejected int
}

// sentRequest is a request that runs on an endpoint.
type sentRequest struct {
	// uncached is the number of uncached prompt tokens, 0 after the first
	// token.
	uncached int
	// expected is the expected time to first token in milliseconds, without
	// replica.excessDelay.
	expected float64
}

func (r *replica) usable() bool {
	return !r.leaving && !r.gone && !r.ejected
}

func (r *replica) occupiedSlots() int {
	return len(r.requests) + r.remoteRequests
}

func (r *replica) hasFreeSlot() bool {
	return r.usable() && r.occupiedSlots() < r.slots
}

// updateHistory records the current number of own requests in the history.
func (r *replica) updateHistory(now clock.Millis) {
	if now-r.stepStart >= historyStep*historyLength {
		for i := range r.history {
			r.history[i] = len(r.requests)
		}
		r.stepStart = now
		return
	}
	for now-r.stepStart >= historyStep {
		copy(r.history[1:], r.history[:historyLength-1])
		r.stepStart += historyStep
		r.history[0] = len(r.requests)
	}
	r.history[0] = max(r.history[0], len(r.requests))
}

// maxRecentRequests returns the maximum number of own requests within the
// history.
func (r *replica) maxRecentRequests() int {
	highest := len(r.requests)
	for _, n := range r.history {
		highest = max(highest, n)
	}
	return highest
}

// SetEndpoints replaces the endpoints of the cell. slotsOf returns the number
// of requests that an endpoint runs concurrently. Endpoints that are no longer
// listed get no new requests and are removed when their requests have ended.
func (p *Placer) SetEndpoints(now clock.Millis, endpoints []entity.Endpoint, slotsOf func(entity.Endpoint) int) {
	listed := make(map[string]bool, len(endpoints))
	for _, endpoint := range endpoints {
		listed[endpoint.ID] = true
		p.update(now, endpoint, slotsOf(endpoint))
	}
	for id, r := range p.byID {
		r.gone = !listed[id]
	}
	for id, d := range p.leaving {
		if now-d.seenAt > leavingRetention && !listed[id] {
			delete(p.leaving, id)
		}
	}
	p.removeGone()
	p.recalculateTotals()
}

func (p *Placer) update(now clock.Millis, endpoint entity.Endpoint, slots int) {
	if endpoint.Leaving {
		p.leaving[endpoint.ID] = leavingIncarnation{incarnation: endpoint.Incarnation, seenAt: now}
	}
	r, known := p.byID[endpoint.ID]
	if !known {
		r = &replica{requests: make(map[string]sentRequest), stepStart: now}
		p.byID[endpoint.ID] = r
		p.replicas = append(p.replicas, r)
		r.number = p.index.addOwner()
	}
	if known && r.endpoint.Incarnation != endpoint.Incarnation {
		p.restart(r)
	}
	r.endpoint = endpoint
	r.slots = slots
	d, departed := p.leaving[endpoint.ID]
	r.leaving = departed && d.incarnation == endpoint.Incarnation
}

// restart resets the state of an earlier incarnation.
func (p *Placer) restart(r *replica) {
	p.index.removeOwner(r.number)
	r.number = p.index.addOwner()
	r.remoteRequests, r.reportSequence, r.eventSequence = 0, 0, 0
	r.tokenTime, r.tokenSamples, r.excessDelay, r.consecutiveFailures = 0, 0, 0, 0
	r.ejected, r.probing, r.backoff = false, false, 0
}

// removeGone removes endpoints that are gone and run no own requests.
func (p *Placer) removeGone() {
	kept := p.replicas[:0]
	for _, r := range p.replicas {
		if r.gone && len(r.requests) == 0 {
			p.index.removeOwner(r.number)
			delete(p.byID, r.endpoint.ID)
			continue
		}
		kept = append(kept, r)
	}
	clear(p.replicas[len(kept):])
	p.replicas = kept
	sort.Slice(kept, func(i, j int) bool { return kept[i].endpoint.ID < kept[j].endpoint.ID })
}

// MarkLeaving marks an incarnation of an endpoint as leaving. It is final for
// that incarnation.
func (p *Placer) MarkLeaving(now clock.Millis, id, incarnation string) {
	p.leaving[id] = leavingIncarnation{incarnation: incarnation, seenAt: now}
	if r, known := p.byID[id]; known && r.endpoint.Incarnation == incarnation {
		r.leaving = true
		p.recalculateTotals()
	}
}

// RecordLoad processes a load report. Reports arrive late and do not
// distinguish own requests from those of other daemons. The number of the
// latter is therefore estimated by subtracting the maximum number of own
// requests in the recent history.
func (p *Placer) RecordLoad(now clock.Millis, load LoadReport) {
	r, known := p.byID[load.Endpoint]
	if !known || load.Incarnation != r.endpoint.Incarnation || load.Sequence < r.reportSequence {
		return
	}
	r.reportSequence = load.Sequence
	r.updateHistory(now)
	r.remoteRequests = max(0, load.Running+load.Waiting-r.maxRecentRequests())
	p.updateTotals(r)
}

// RecordDispatch records that a request was sent to an endpoint. digests are
// the prefix blocks that the endpoint will have cached.
func (p *Placer) RecordDispatch(now clock.Millis, endpoint, requestID string, uncached int, digests []uint64) {
	r, known := p.byID[endpoint]
	if !known {
		return
	}
	r.updateHistory(now)
	uncached = max(uncached, 0)
	r.requests[requestID] = sentRequest{uncached: uncached, expected: p.expectedFirstToken(r, uncached) - r.excessDelay}
	r.prefillTokens += uncached
	r.probing = r.probing || r.ejected
	r.updateHistory(now)
	if !p.config.IgnorePrefixCache {
		p.index.add(r.number, digests)
	}
	p.updateTotals(r)
}

// RecordFirstToken records that a request has produced its first token, which
// ends its prefill.
func (p *Placer) RecordFirstToken(endpoint, requestID string) {
	r, known := p.byID[endpoint]
	if !known {
		return
	}
	request, runs := r.requests[requestID]
	if !runs {
		return
	}
	r.prefillTokens -= request.uncached
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
	r.updateHistory(now)
	r.prefillTokens -= request.uncached
	delete(r.requests, requestID)
	p.recordResult(now, r, request, result)
	p.updateTotals(r)
	if r.gone {
		p.removeGone()
	}
}

// excessDelayWeight is the weight of a new sample in the moving average of the
// delay.
const excessDelayWeight = 0.1

// recordResult updates the failure count, the delay and the ejection of the
// endpoint from the result of a request.
func (p *Placer) recordResult(now clock.Millis, r *replica, request sentRequest, result Result) {
	if result.Failed {
		r.consecutiveFailures++
		if r.ejected && r.probing {
			p.failProbe(now, r)
		} else if r.consecutiveFailures >= p.config.EjectAfterFailures {
			p.eject(now, r)
		}
		return
	}
	r.consecutiveFailures = 0
	if result.TimeToFirstToken > 0 {
		late := max(0, float64(result.TimeToFirstToken)-request.expected)
		r.excessDelay += excessDelayWeight * (late - r.excessDelay)
	}
	if r.ejected && r.probing {
		p.finishProbe(now, r)
	}
}

// recalculateTotals recalculates the totals of the cell.
func (p *Placer) recalculateTotals() {
	p.free, p.slots, p.ejected = 0, 0, 0
	for _, r := range p.replicas {
		r.counted = totals{}
		p.updateTotals(r)
	}
}

// updateTotals updates the totals of the cell after a change of one endpoint.
func (p *Placer) updateTotals(r *replica) {
	var now totals
	if r.ejected && !r.gone && !r.leaving {
		now.ejected = 1
	}
	if r.usable() {
		now.slots = r.slots
		now.free = max(0, r.slots-r.occupiedSlots())
	}
	p.free += now.free - r.counted.free
	p.slots += now.slots - r.counted.slots
	p.ejected += now.ejected - r.counted.ejected
	r.counted = now
}
