package cell

import (
	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/caller/request"
	"github.com/banyanshift/banyanshift/internal/config/entity"
	"github.com/banyanshift/banyanshift/internal/decide/admit"
	"github.com/banyanshift/banyanshift/internal/decide/place"
	"github.com/banyanshift/banyanshift/internal/decide/queue"
)

// admitRequest queues or refuses a request. For a request that already runs and
// isn't resumed, it sends the grant again.
func (c *Cell) admitRequest(now clock.Millis, req RunRequest) {
	req.Tier = min(max(req.Tier, 0), entity.LowestTier)
	if known, exists := c.jobs[req.ID]; exists {
		if known.endpoint == "" {
			return
		}
		if !req.Resumed {
			c.emitGrant(known)
			return
		}
		c.end(now, known, Outcome{Preempted: true})
	}
	j := &job{request: req, arrived: now - req.Waited}
	decision := admit.Decide(c.config.Limits, c.situation(now, j), c.rng)
	switch decision.Verdict {
	case admit.Refuse:
		c.lastRefusal[req.Tier] = now
		c.emitRefusal(j, decision.Code, decision.RetryAfter)
		return
	case admit.EvictLowerTier:
		c.evict(c.queue.EvictionCandidateBelow(req.Tier))
	case admit.EvictOverShare:
		c.lastRefusal[req.Tier] = now
		c.evict(c.queue.EvictionCandidate(req.Tier))
	case admit.Wait:
	}
	c.enqueue(now, j)
}

func (c *Cell) enqueue(now clock.Millis, j *job) {
	j.item = queue.Item{
		ID:           j.request.ID,
		Team:         j.request.Team,
		Class:        j.request.Class,
		Tier:         j.request.Tier,
		Weight:       j.request.Weight,
		PromptTokens: j.request.PromptTokens,
		Resumed:      j.request.Resumed,
	}
	if j.request.MaxWait > 0 {
		j.item.Expires = max(now+1, j.arrived+j.request.MaxWait)
		if j.request.Resumed {
			j.item.Expires = now + j.request.MaxWait
		}
	}
	c.jobs[j.request.ID] = j
	c.sessions[j.request.Entry].jobs[j.request.ID] = j
	c.queue.Push(now, &j.item)
}

// situation returns the input of the admission decision for a request.
func (c *Cell) situation(now clock.Millis, j *job) admit.Input {
	req := &j.request
	situation := admit.Input{
		Slots:              c.slots,
		FreeSlots:          c.placer.FreeSlots(),
		Waiting:            c.queue.Len(),
		RequestsAhead:      c.queue.EstimateAhead(req.Tier, req.Team, req.Weight),
		MeanSlotTime:       clock.Millis(c.meanServiceTime),
		ExpectedFirstToken: clock.Millis(c.meanFirstToken),
		Waited:             req.Waited,
		FirstTokenTarget:   req.Target,
		MaxWait:            req.MaxWait,
		RefuseEarly:        req.RefuseEarly,
		Resumed:            req.Resumed,
		LowerTierWaiting:   c.queue.EvictionCandidateBelow(req.Tier) != nil,
	}
	if candidate := c.queue.EvictionCandidate(req.Tier); candidate != nil {
		situation.OtherTeamOverShare = candidate.Team != req.Team
	}
	situation.HigherTierRefused = c.higherRefused(now, req)
	return situation
}

// higherRefused reports whether requests of a higher tier are being refused and
// this one isn't covered by the guarantee of its class, so that it must not wait.
func (c *Cell) higherRefused(now clock.Millis, req *RunRequest) bool {
	for tier := range req.Tier {
		if c.queue.Waiting(tier) > 0 && now-c.lastRefusal[tier] < refusalCooldown {
			return !c.queue.NextIsGuaranteed(req.Class, req.Tier)
		}
	}
	return false
}

// grantWaiting grants free slots to waiting requests in queue order.
func (c *Cell) grantWaiting(now clock.Millis) {
	if c.holding(now) {
		return
	}
	for c.queue.Len() > 0 && c.placer.FreeSlots() > 0 {
		item := c.queue.Pop(now)
		j := c.jobs[item.ID]
		choice, found := c.placer.Choose(now, j.placement())
		if !found {
			c.requeue(now, j)
			return
		}
		c.grant(now, j, choice)
	}
}

func (c *Cell) requeue(now clock.Millis, j *job) {
	c.queue.RecordFinish(now, j.request.Class)
	c.queue.ChargeInput(j.request.Tier, j.request.Team, -j.request.PromptTokens)
	j.item.Resumed = true
	c.queue.Push(now, &j.item)
}

func (j *job) placement() place.Request {
	return place.Request{
		PromptTokens: j.request.PromptTokens,
		Digests:      j.request.Digests,
		Exclude:      j.request.Exclude,
		Retryable:    j.request.Repeatable,
	}
}

func (c *Cell) grant(now clock.Millis, j *job, choice place.Choice) {
	j.endpoint = choice.Endpoint
	j.granted, j.progressed = now, now
	j.tokens = 0
	c.placer.RecordDispatch(now, choice.Endpoint, j.request.ID, choice.Uncached, j.request.Digests)
	c.recordCharge(j, float64(j.request.PromptTokens)*orDefault(c.config.Queue.InputCost, queue.DefaultInputCost))
	c.addRunning(j)
	c.emitGrant(j)
}

func (c *Cell) emitGrant(j *job) {
	priority := j.request.Tier
	if c.config.PassThrough {
		priority = 0
	}
	c.actions = append(c.actions, Action{
		Kind: Grant, Entry: j.request.Entry, ID: j.request.ID, Endpoint: j.endpoint, Priority: priority,
	})
}

func (c *Cell) addRunning(j *job) {
	tier := j.request.Tier
	j.runningIndex = len(c.running[tier])
	c.running[tier] = append(c.running[tier], j)
}

func (c *Cell) removeRunning(j *job) {
	list := c.running[j.request.Tier]
	last := list[len(list)-1]
	list[j.runningIndex] = last
	last.runningIndex = j.runningIndex
	list[len(list)-1] = nil
	c.running[j.request.Tier] = list[:len(list)-1]
}

// end removes a request that waits or runs.
func (c *Cell) end(now clock.Millis, j *job, outcome Outcome) {
	delete(c.jobs, j.request.ID)
	if s, known := c.sessions[j.request.Entry]; known {
		delete(s.jobs, j.request.ID)
	}
	if j.endpoint == "" {
		c.queue.Remove(&j.item)
		return
	}
	c.removeRunning(j)
	if j.preemptReason != "" {
		c.preempting--
	}
	c.queue.RecordFinish(now, j.request.Class)
	c.placer.RecordEnd(now, j.endpoint, j.request.ID, place.Result{
		Failed:           outcome.Failed,
		TimeToFirstToken: outcome.TimeToFirstToken,
	})
	c.updateEstimates(now, j, outcome)
	c.updateSlots(now)
}

// updateEstimates updates the mean times after a request has ended, and corrects
// its charges to the actual numbers of tokens.
func (c *Cell) updateEstimates(now clock.Millis, j *job, outcome Outcome) {
	serviceTime := float64(now - j.granted)
	c.meanServiceTime += estimateWeight * (serviceTime - c.meanServiceTime)
	if outcome.TimeToFirstToken > 0 {
		c.meanFirstToken += estimateWeight * (float64(outcome.TimeToFirstToken) - c.meanFirstToken)
	}
	if outcome.Preempted || outcome.Failed || j.request.Resumed {
		return
	}
	if missing := outcome.OutputTokens - j.tokens; outcome.OutputTokens > 0 && missing != 0 {
		if missing > 0 && j.tokens > 0 {
			c.placer.RecordTokens(j.endpoint, missing, now-j.progressed)
		}
		c.charge(j, c.config.Queue.OutputCost, queue.DefaultOutputCost, missing)
	}
	if outcome.PromptTokens > 0 && outcome.PromptTokens != j.request.PromptTokens {
		c.charge(j, c.config.Queue.InputCost, queue.DefaultInputCost, outcome.PromptTokens-j.request.PromptTokens)
	}
}

func (c *Cell) charge(j *job, cost, fallback float64, tokens int) {
	total := orDefault(cost, fallback) * float64(tokens)
	c.queue.ChargeCost(j.request.Tier, j.request.Team, total)
	c.recordCharge(j, total)
}

func orDefault(value, fallback float64) float64 {
	if value == 0 {
		return fallback
	}
	return value
}

// evict refuses a waiting request to make room for one that goes first.
func (c *Cell) evict(item *queue.Item) {
	if item != nil {
		c.refuse(c.jobs[item.ID], request.CodeOverloaded)
	}
}

// refuse rejects a request that waits or has just been removed from the queue.
func (c *Cell) refuse(j *job, code request.Code) {
	if j == nil {
		return
	}
	c.queue.Remove(&j.item)
	delete(c.jobs, j.request.ID)
	if s, known := c.sessions[j.request.Entry]; known {
		delete(s.jobs, j.request.ID)
	}
	drain := c.drainTime(j.request.Tier)
	c.emitRefusal(j, code, admit.RetryAfter(c.config.Limits, drain, c.rng))
}

// drainTime estimates how long it takes to serve the waiting requests of a tier
// and all higher tiers.
func (c *Cell) drainTime(tier int) clock.Millis {
	if c.slots == 0 {
		return 0
	}
	ahead := c.queue.WaitingAbove(tier) + c.queue.Waiting(tier)
	return clock.Millis(float64(ahead) * c.meanServiceTime / float64(c.slots))
}

func (c *Cell) emitRefusal(j *job, code request.Code, after clock.Millis) {
	c.actions = append(c.actions, Action{
		Kind: Refuse, Entry: j.request.Entry, ID: j.request.ID, Code: code, RetryAfter: after,
	})
}
