package queue

import (
	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/decide/heap"
)

// class returns the class with the given name and creates it if needed. When a
// class has changed its tier, its waiting items stay in the old tier. The class
// moves to the new tier as soon as none wait.
func (q *Queue) class(name string, tierNumber int) *class {
	c, known := q.classes[name]
	if known && (c.tier.number == tierNumber || c.waiting > 0) {
		return c
	}
	if known {
		q.dropClass(c)
	}
	created := &class{name: name, tier: q.tiers[tierNumber]}
	if known {
		created.running, created.credit = c.running, c.credit
	}
	created.byCounter = heap.New(
		func(a, b *flow) bool { return a.account.counter < b.account.counter },
		func(f *flow, index int) { f.counterIndex = index },
	)
	created.byFinish = heap.New(
		func(a, b *flow) bool { return a.finishCounter() > b.finishCounter() },
		func(f *flow, index int) { f.finishIndex = index },
	)
	q.classes[name] = created
	created.tier.classes = append(created.tier.classes, created)
	q.classList = append(q.classList, created)
	q.RefreshShares()
	return created
}

func (q *Queue) dropClass(dropped *class) {
	t := dropped.tier
	t.classes = without(t.classes, dropped)
	q.classList = without(q.classList, dropped)
	for _, a := range t.accounts {
		kept := a.flows[:0]
		for _, f := range a.flows {
			if f.class != dropped {
				kept = append(kept, f)
			}
		}
		a.flows = kept
	}
}

func without(classes []*class, dropped *class) []*class {
	kept := classes[:0]
	for _, c := range classes {
		if c != dropped {
			kept = append(kept, c)
		}
	}
	return kept
}

// SetSlots sets how many requests the cell runs at the same time.
func (q *Queue) SetSlots(now clock.Millis, slots int) {
	q.Advance(now)
	q.slots = slots
}

// RefreshShares reads the guaranteed shares again, for use after a change of the
// configuration. If their sum exceeds ShareLimit, all are scaled down.
func (q *Queue) RefreshShares() {
	sum := 0.0
	for _, c := range q.classList {
		c.share = q.config.Share(c.name)
		if c.share <= 0 && c.tier.number > 0 {
			c.share = q.config.FloorShare
		}
		sum += c.share
	}
	if sum <= q.config.ShareLimit {
		return
	}
	for _, c := range q.classList {
		c.share *= q.config.ShareLimit / sum
	}
}

// Advance updates the credits of the classes to the time now.
func (q *Queue) Advance(now clock.Millis) {
	elapsed := float64(now - q.creditsUpdated)
	if elapsed <= 0 {
		return
	}
	q.creditsUpdated = now
	for _, c := range q.classList {
		rate := c.share * float64(q.slots)
		if rate <= 0 {
			continue
		}
		c.credit += elapsed * (rate - float64(c.running))
		bound := rate * float64(q.config.DueWithin)
		c.credit = min(max(c.credit, -bound), bound)
	}
}

// isDue reports whether the class is owed a slot. A class that already runs as
// many requests as it is guaranteed isn't, whatever its credit, so that a slot
// preempted from a class is never granted to it again immediately.
func (q *Queue) isDue(c *class) bool {
	return c.waiting > 0 && c.credit > 0 && c.running < q.guaranteed(c)
}

// nextClass returns the class whose first item runs next: the due class with the
// most credit, or else a class of the highest tier with waiting items.
func (q *Queue) nextClass() *class {
	var chosen *class
	for _, c := range q.classList {
		if q.isDue(c) && (chosen == nil || c.credit > chosen.credit) {
			chosen = c
		}
	}
	if chosen != nil {
		return chosen
	}
	for _, t := range q.tiers {
		if t.waiting > 0 {
			return t.nextClass()
		}
	}
	return nil
}

// nextClass returns the class of the tier that has the flow with the smallest
// counter.
func (t *tier) nextClass() *class {
	var chosen *class
	for _, c := range t.classes {
		if c.waiting == 0 {
			continue
		}
		if chosen == nil || c.byCounter.Peek().account.counter < chosen.byCounter.Peek().account.counter {
			chosen = c
		}
	}
	return chosen
}

// guaranteed returns how many slots the class keeps even while higher tiers are
// overloaded. It is at least 1 for a class with a share.
func (q *Queue) guaranteed(c *class) int {
	if c.share <= 0 {
		return 0
	}
	return max(1, int(c.share*float64(q.slots)))
}

// ExceedsGuarantee reports whether the class runs more requests than it is
// guaranteed, so that some of them may be preempted.
func (q *Queue) ExceedsGuarantee(className string) bool {
	c, known := q.classes[className]
	return known && c.running > q.guaranteed(c)
}

// HighestWaiting returns the first item in tier order, regardless of guarantees,
// without removing it. It returns nil when nothing waits.
func (q *Queue) HighestWaiting() *Item {
	for _, t := range q.tiers {
		if t.waiting > 0 {
			return t.nextClass().byCounter.Peek().head
		}
	}
	return nil
}

// EvictionCandidateBelow returns the item to evict first to make room for the
// tier. It is the newest item of the team that would finish last, in the lowest
// tier that has a candidate, or nil when no lower tier has one. A class that runs
// fewer requests than it is guaranteed keeps one waiting item, since its guarantee
// only delays higher tiers and takes nothing from them.
func (q *Queue) EvictionCandidateBelow(tierNumber int) *Item {
	for n := len(q.tiers) - 1; n > clampTier(tierNumber); n-- {
		if item := q.evictionCandidate(q.tiers[n]); item != nil {
			return item
		}
	}
	return nil
}

// EvictionCandidate returns the newest waiting item of the team in the tier that
// would finish last, or nil.
func (q *Queue) EvictionCandidate(tierNumber int) *Item {
	return q.evictionCandidate(q.tiers[clampTier(tierNumber)])
}

func (q *Queue) evictionCandidate(t *tier) *Item {
	var chosen *flow
	for _, c := range t.classes {
		if c.waiting == 0 || q.onlyItemGuaranteed(c) {
			continue
		}
		if f := c.byFinish.Peek(); chosen == nil || f.finishCounter() > chosen.finishCounter() {
			chosen = f
		}
	}
	if chosen == nil {
		return nil
	}
	return chosen.tail
}

// onlyItemGuaranteed reports whether the only waiting item of the class is covered
// by its guarantee and must not be evicted.
func (q *Queue) onlyItemGuaranteed(c *class) bool {
	return c.waiting == 1 && c.tier.number > 0 && c.running < q.guaranteed(c)
}

// NextIsGuaranteed reports whether a new item of the class would be its only
// waiting one and covered by its guarantee, so that it may wait while requests of
// higher tiers are refused.
func (q *Queue) NextIsGuaranteed(className string, tierNumber int) bool {
	c := q.class(className, clampTier(tierNumber))
	return c.waiting == 0 && c.share > 0 && c.running < q.guaranteed(c)
}
