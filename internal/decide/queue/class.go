package queue

import (
	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/decide/heap"
)

// class returns the class of that name. A class whose tier was changed keeps
// the old tier for what waits and uses the new one as soon as it is empty.
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
	created.order = heap.New(
		func(a, b *flow) bool { return a.account.counter < b.account.counter },
		func(f *flow, index int) { f.next = index },
	)
	created.excess = heap.New(
		func(a, b *flow) bool { return a.finish() > b.finish() },
		func(f *flow, index int) { f.last = index },
	)
	q.classes[name] = created
	created.tier.classes = append(created.tier.classes, created)
	q.ordered = append(q.ordered, created)
	q.RefreshShares()
	return created
}

func (q *Queue) dropClass(dropped *class) {
	t := dropped.tier
	t.classes = without(t.classes, dropped)
	q.ordered = without(q.ordered, dropped)
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

// SetSlots tells the queue how many requests the cell runs at the same time.
func (q *Queue) SetSlots(now clock.Millis, slots int) {
	q.Advance(now)
	q.slots = slots
}

// RefreshShares reads the guaranteed shares again, after a change of the
// configuration. Shares whose sum is above the limit are scaled down.
func (q *Queue) RefreshShares() {
	sum := 0.0
	for _, c := range q.ordered {
		c.share = q.config.Share(c.name)
		if c.share <= 0 && c.tier.number > 0 {
			c.share = q.config.FloorShare
		}
		sum += c.share
	}
	if sum <= q.config.ShareLimit {
		return
	}
	for _, c := range q.ordered {
		c.share *= q.config.ShareLimit / sum
	}
}

// Advance brings the credits of the classes up to now.
func (q *Queue) Advance(now clock.Millis) {
	elapsed := float64(now - q.updated)
	if elapsed <= 0 {
		return
	}
	q.updated = now
	for _, c := range q.ordered {
		rate := c.share * float64(q.slots)
		if rate <= 0 {
			continue
		}
		c.credit += elapsed * (rate - float64(c.running))
		bound := rate * float64(q.config.DueWithin)
		c.credit = min(max(c.credit, -bound), bound)
	}
}

// due reports whether the class is owed a slot. A class that runs as many
// requests as it is guaranteed is not, whatever its credit, so that a slot
// taken back from a class is never given to it again at once.
func (q *Queue) due(c *class) bool {
	return c.waiting > 0 && c.credit > 0 && c.running < q.guaranteed(c)
}

// next returns the class whose first item runs next: a class that is due, the
// one with most credit first, else the class of the highest tier that waits.
func (q *Queue) next() *class {
	var chosen *class
	for _, c := range q.ordered {
		if q.due(c) && (chosen == nil || c.credit > chosen.credit) {
			chosen = c
		}
	}
	if chosen != nil {
		return chosen
	}
	for _, t := range q.tiers {
		if t.waiting > 0 {
			return t.next()
		}
	}
	return nil
}

// next returns the class of the tier whose first team has the least counter.
func (t *tier) next() *class {
	var chosen *class
	for _, c := range t.classes {
		if c.waiting == 0 {
			continue
		}
		if chosen == nil || c.order.Peek().account.counter < chosen.order.Peek().account.counter {
			chosen = c
		}
	}
	return chosen
}

// guaranteed returns how many slots the class keeps even while higher tiers
// are overloaded, at least 1 for a class with a share.
func (q *Queue) guaranteed(c *class) int {
	if c.share <= 0 {
		return 0
	}
	return max(1, int(c.share*float64(q.slots)))
}

// ExceedsGuarantee reports whether the class runs more than its guaranteed slots.
func (q *Queue) ExceedsGuarantee(className string) bool {
	c, known := q.classes[className]
	return known && c.running > q.guaranteed(c)
}

// HighestWaiting returns the most important item that waits outside the
// guarantees, without removing it; nil when nothing waits.
func (q *Queue) HighestWaiting() *Item {
	for _, t := range q.tiers {
		if t.waiting > 0 {
			return t.next().order.Peek().head
		}
	}
	return nil
}

// EvictionCandidateBelow returns the item to withdraw first for the sake of a tier: of the
// lowest tier that has one, of the team that would finish last, the newest.
// It returns nil when no lower tier has work to give. A class that runs less
// than its guarantee keeps one waiting item, since its guarantee only delays
// higher tiers and takes nothing from them.
func (q *Queue) EvictionCandidateBelow(tierNumber int) *Item {
	for n := len(q.tiers) - 1; n > clampTier(tierNumber); n-- {
		if item := q.excess(q.tiers[n]); item != nil {
			return item
		}
	}
	return nil
}

// EvictionCandidate returns the newest waiting item of the team of a tier that would
// finish last, or nil.
func (q *Queue) EvictionCandidate(tierNumber int) *Item {
	return q.excess(q.tiers[clampTier(tierNumber)])
}

func (q *Queue) excess(t *tier) *Item {
	var chosen *flow
	for _, c := range t.classes {
		if c.waiting == 0 || q.keeps(c) {
			continue
		}
		if f := c.excess.Peek(); chosen == nil || f.finish() > chosen.finish() {
			chosen = f
		}
	}
	if chosen == nil {
		return nil
	}
	return chosen.tail
}

// keeps reports whether the class may hold on to its only waiting item.
func (q *Queue) keeps(c *class) bool {
	return c.waiting == 1 && c.tier.number > 0 && c.running < q.guaranteed(c)
}

// NextIsGuaranteed reports whether a new item of the class would be the one that the
// class may hold on to while higher tiers are refused.
func (q *Queue) NextIsGuaranteed(className string, tierNumber int) bool {
	c := q.class(className, clampTier(tierNumber))
	return c.waiting == 0 && c.share > 0 && c.running < q.guaranteed(c)
}
