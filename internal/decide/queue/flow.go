package queue

import "github.com/banyanshift/banyanshift/internal/decide/heap"

// maxAccountsPerTier is the number of teams in a tier at which idle teams are
// removed, except those whose counter is ahead of the others.
const maxAccountsPerTier = 50_000

func (f *flow) insert(item *Item) {
	item.flow = f
	f.count++
	switch {
	case f.head == nil:
		f.head, f.tail = item, item
	case item.Resumed:
		item.next = f.head
		f.head.prev = item
		f.head = item
	default:
		item.prev = f.tail
		f.tail.next = item
		f.tail = item
	}
}

func (f *flow) unlink(item *Item) {
	if item.prev != nil {
		item.prev.next = item.next
	} else {
		f.head = item.next
	}
	if item.next != nil {
		item.next.prev = item.prev
	} else {
		f.tail = item.prev
	}
	item.flow, item.next, item.prev = nil, nil, nil
	f.count--
}

// flow returns the flow of the item's team in a class and creates it if needed.
func (q *Queue) flow(c *class, item *Item) *flow {
	a, known := c.tier.accounts[item.Team]
	if !known {
		q.forgetIdle(c.tier)
		a = &account{team: item.Team, weight: float64(item.Weight)}
		c.tier.accounts[item.Team] = a
	}
	for _, f := range a.flows {
		if f.class == c {
			return f
		}
	}
	f := &flow{account: a, class: c, counterIndex: heap.None, finishIndex: heap.None}
	a.flows = append(a.flows, f)
	return f
}

// activate updates the weight of a team. If the team had nothing waiting, it also
// raises its counter to the start counter of the tier.
func (q *Queue) activate(t *tier, a *account, weight int) {
	if a.waiting > 0 {
		t.weight += float64(weight) - a.weight
		a.weight = float64(weight)
		return
	}
	a.weight = float64(weight)
	a.counter = max(a.counter, t.startCounter())
}

// startCounter returns the minimum counter of a team that returns from idle.
func (t *tier) startCounter() float64 {
	if t.waiting == 0 {
		return t.maxServedCounter
	}
	found := false
	least := 0.0
	for _, c := range t.classes {
		if c.byCounter.Len() == 0 {
			continue
		}
		if counter := c.byCounter.Peek().account.counter; !found || counter < least {
			found, least = true, counter
		}
	}
	return least
}

// addWaiting adds n to the numbers of waiting items.
func (q *Queue) addWaiting(f *flow, n int) {
	t := f.class.tier
	if n > 0 && f.account.waiting == 0 {
		t.weight += f.account.weight
	}
	f.account.waiting += n
	f.class.waiting += n
	t.waiting += n
	q.waiting += n
	if f.account.waiting == 0 {
		t.weight -= f.account.weight
	}
}

// updateHeaps moves the flow to its position in the heaps of its class, or removes
// it when it is empty.
func (q *Queue) updateHeaps(f *flow) {
	switch {
	case f.count == 0 && f.counterIndex != heap.None:
		f.class.byCounter.Remove(f.counterIndex)
		f.class.byFinish.Remove(f.finishIndex)
	case f.count > 0 && f.counterIndex == heap.None:
		f.class.byCounter.Push(f)
		f.class.byFinish.Push(f)
	case f.count > 0:
		f.class.byCounter.Fix(f.counterIndex)
		f.class.byFinish.Fix(f.finishIndex)
	}
}

func (q *Queue) charge(a *account, cost float64) {
	if cost == 0 {
		return
	}
	a.counter += cost / a.weight
	if a.waiting == 0 {
		return
	}
	for _, f := range a.flows {
		q.updateHeaps(f)
	}
}

// forgetIdle removes idle teams whose counter activate would raise anyway.
func (q *Queue) forgetIdle(t *tier) {
	if len(t.accounts) < maxAccountsPerTier {
		return
	}
	level := t.startCounter()
	for team, a := range t.accounts {
		if a.waiting == 0 && a.counter <= level {
			delete(t.accounts, team)
		}
	}
}
