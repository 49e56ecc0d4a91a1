package cell

import (
	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/caller/request"
	"github.com/banyanshift/banyanshift/internal/config/entity"
	"github.com/banyanshift/banyanshift/internal/decide/admit"
	"github.com/banyanshift/banyanshift/internal/decide/place"
	"github.com/banyanshift/banyanshift/internal/decide/queue"
)

// ask lets a request wait or refuses it.
func (c *Cell) ask(now clock.Millis, ask RunRequest) {
	ask.Tier = min(max(ask.Tier, 0), entity.LowestTier)
	if known, exists := c.jobs[ask.ID]; exists {
		if known.endpoint == "" {
			return
		}
		if !ask.Resumed {
			c.grantAgain(known)
			return
		}
		c.end(now, known, Outcome{Preempted: true})
	}
	j := &job{ask: ask, arrived: now - ask.Waited}
	decision := admit.Decide(c.config.Limits, c.situation(now, j), c.rng)
	switch decision.Verdict {
	case admit.Refuse:
		c.refused[ask.Tier] = now
		c.emitRefusal(j, decision.Code, decision.RetryAfter)
		return
	case admit.EvictLowerTier:
		c.withdraw(c.queue.EvictionCandidateBelow(ask.Tier))
	case admit.EvictOverShare:
		c.refused[ask.Tier] = now
		c.withdraw(c.queue.EvictionCandidate(ask.Tier))
	case admit.Wait:
	}
	c.enqueue(now, j)
}

func (c *Cell) enqueue(now clock.Millis, j *job) {
	j.item = queue.Item{
		ID:           j.ask.ID,
		Team:         j.ask.Team,
		Class:        j.ask.Class,
		Tier:         j.ask.Tier,
		Weight:       j.ask.Weight,
		PromptTokens: j.ask.PromptTokens,
		Resumed:      j.ask.Resumed,
	}
	if j.ask.MaxWait > 0 {
		j.item.Expires = max(now+1, j.arrived+j.ask.MaxWait)
		if j.ask.Resumed {
			j.item.Expires = now + j.ask.MaxWait
		}
	}
	c.jobs[j.ask.ID] = j
	c.sessions[j.ask.Entry].jobs[j.ask.ID] = j
	c.queue.Push(now, &j.item)
}

// situation gathers what the admission of a request depends on.
func (c *Cell) situation(now clock.Millis, j *job) admit.Input {
	ask := &j.ask
	situation := admit.Input{
		Slots:              c.slots,
		FreeSlots:          c.placer.FreeSlots(),
		Waiting:            c.queue.Len(),
		RequestsAhead:      c.queue.EstimateAhead(ask.Tier, ask.Team, ask.Weight),
		MeanSlotTime:       clock.Millis(c.turnover),
		ExpectedFirstToken: clock.Millis(c.firstToken),
		Waited:             ask.Waited,
		FirstTokenTarget:   ask.Target,
		MaxWait:            ask.MaxWait,
		RefuseEarly:        ask.RefuseEarly,
		Resumed:            ask.Resumed,
		LowerTierWaiting:   c.queue.EvictionCandidateBelow(ask.Tier) != nil,
	}
	if excess := c.queue.EvictionCandidate(ask.Tier); excess != nil {
		situation.OtherTeamOverShare = excess.Team != ask.Team
	}
	situation.HigherTierRefused = c.higherRefused(now, ask)
	return situation
}

// higherRefused reports whether a higher tier is being refused, so that only
// guaranteed work of this tier may wait.
func (c *Cell) higherRefused(now clock.Millis, ask *RunRequest) bool {
	for tier := range ask.Tier {
		if c.queue.Waiting(tier) > 0 && now-c.refused[tier] < refusedFor {
			return !c.queue.NextIsGuaranteed(ask.Class, ask.Tier)
		}
	}
	return false
}

// pump grants free slots to waiting requests in their order.
func (c *Cell) pump(now clock.Millis) {
	if c.holding(now) {
		return
	}
	for c.queue.Len() > 0 && c.placer.FreeSlots() > 0 {
		item := c.queue.Pop(now)
		j := c.jobs[item.ID]
		choice, found := c.placer.Choose(now, j.placement())
		if !found {
			c.putBack(now, j)
			return
		}
		c.grant(now, j, choice)
	}
}

func (c *Cell) putBack(now clock.Millis, j *job) {
	c.queue.RecordFinish(now, j.ask.Class)
	c.queue.ChargeInput(j.ask.Tier, j.ask.Team, -j.ask.PromptTokens)
	j.item.Resumed = true
	c.queue.Push(now, &j.item)
}

func (j *job) placement() place.Request {
	return place.Request{
		PromptTokens: j.ask.PromptTokens,
		Digests:      j.ask.Digests,
		Exclude:      j.ask.Exclude,
		Retryable:    j.ask.Repeatable,
	}
}

func (c *Cell) grant(now clock.Millis, j *job, choice place.Choice) {
	j.endpoint = choice.Endpoint
	j.granted, j.progressed = now, now
	j.tokens = 0
	c.placer.RecordDispatch(now, choice.Endpoint, j.ask.ID, choice.Uncached, j.ask.Digests)
	c.noteCharge(j, float64(j.ask.PromptTokens)*orDefault(c.config.Queue.InputCost, queue.DefaultInputCost))
	c.addRunning(j)
	c.grantAgain(j)
}

func (c *Cell) grantAgain(j *job) {
	priority := j.ask.Tier
	if c.config.PassThrough {
		priority = 0
	}
	c.actions = append(c.actions, Action{
		Kind: Grant, Entry: j.ask.Entry, ID: j.ask.ID, Endpoint: j.endpoint, Priority: priority,
	})
}

func (c *Cell) addRunning(j *job) {
	tier := j.ask.Tier
	j.at = len(c.running[tier])
	c.running[tier] = append(c.running[tier], j)
}

func (c *Cell) removeRunning(j *job) {
	list := c.running[j.ask.Tier]
	last := list[len(list)-1]
	list[j.at] = last
	last.at = j.at
	list[len(list)-1] = nil
	c.running[j.ask.Tier] = list[:len(list)-1]
}

// end forgets a request that waits or runs.
func (c *Cell) end(now clock.Millis, j *job, outcome Outcome) {
	delete(c.jobs, j.ask.ID)
	if s, known := c.sessions[j.ask.Entry]; known {
		delete(s.jobs, j.ask.ID)
	}
	if j.endpoint == "" {
		c.queue.Remove(&j.item)
		return
	}
	c.removeRunning(j)
	if j.preempting != "" {
		c.preempting--
	}
	c.queue.RecordFinish(now, j.ask.Class)
	c.placer.RecordEnd(now, j.endpoint, j.ask.ID, place.Result{
		Failed:           outcome.Failed,
		TimeToFirstToken: outcome.TimeToFirstToken,
	})
	c.learn(now, j, outcome)
	c.resize(now)
}

// learn corrects the charges and the estimates after a request has ended.
func (c *Cell) learn(now clock.Millis, j *job, outcome Outcome) {
	held := float64(now - j.granted)
	c.turnover += estimateWeight * (held - c.turnover)
	if outcome.TimeToFirstToken > 0 {
		c.firstToken += estimateWeight * (float64(outcome.TimeToFirstToken) - c.firstToken)
	}
	if outcome.Preempted || outcome.Failed || j.ask.Resumed {
		return
	}
	if missing := outcome.OutputTokens - j.tokens; outcome.OutputTokens > 0 && missing != 0 {
		if missing > 0 && j.tokens > 0 {
			c.placer.RecordTokens(j.endpoint, missing, now-j.progressed)
		}
		c.charge(j, c.config.Queue.OutputCost, queue.DefaultOutputCost, missing)
	}
	if outcome.PromptTokens > 0 && outcome.PromptTokens != j.ask.PromptTokens {
		c.charge(j, c.config.Queue.InputCost, queue.DefaultInputCost, outcome.PromptTokens-j.ask.PromptTokens)
	}
}

func (c *Cell) charge(j *job, cost, fallback float64, tokens int) {
	total := orDefault(cost, fallback) * float64(tokens)
	c.queue.ChargeCost(j.ask.Tier, j.ask.Team, total)
	c.noteCharge(j, total)
}

func orDefault(value, fallback float64) float64 {
	if value == 0 {
		return fallback
	}
	return value
}

// withdraw refuses a waiting request for the sake of a more deserving one.
func (c *Cell) withdraw(item *queue.Item) {
	if item != nil {
		c.refuse(c.jobs[item.ID], request.CodeOverloaded)
	}
}

// refuse turns away a request that waits or has just been taken out of the
// queue.
func (c *Cell) refuse(j *job, code request.Code) {
	if j == nil {
		return
	}
	c.queue.Remove(&j.item)
	delete(c.jobs, j.ask.ID)
	if s, known := c.sessions[j.ask.Entry]; known {
		delete(s.jobs, j.ask.ID)
	}
	drain := c.drain(j.ask.Tier)
	c.emitRefusal(j, code, admit.RetryAfter(c.config.Limits, drain, c.rng))
}

// drain predicts how long the waiting work of a tier and those above takes.
func (c *Cell) drain(tier int) clock.Millis {
	if c.slots == 0 {
		return 0
	}
	ahead := c.queue.WaitingAbove(tier) + c.queue.Waiting(tier)
	return clock.Millis(float64(ahead) * c.turnover / float64(c.slots))
}

func (c *Cell) emitRefusal(j *job, code request.Code, after clock.Millis) {
	c.actions = append(c.actions, Action{
		Kind: Refuse, Entry: j.ask.Entry, ID: j.ask.ID, Code: code, RetryAfter: after,
	})
}
