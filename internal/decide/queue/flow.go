package queue

import "github.com/banyanshift/banyanshift/internal/decide/heap"

// maxAccounts bounds how many teams a tier remembers before those that are
// idle and not ahead of others are forgotten.
const maxAccounts = 50_000

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

// flow returns the flow of the item's team in a class.
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
	f := &flow{account: a, class: c, next: heap.None, last: heap.None}
	a.flows = append(a.flows, f)
	return f
}

// activate lifts the counter of a team that had nothing waiting and takes over
// its weight.
func (q *Queue) activate(t *tier, a *account, weight int) {
	if a.waiting > 0 {
		t.weight += float64(weight) - a.weight
		a.weight = float64(weight)
		return
	}
	a.weight = float64(weight)
	a.counter = max(a.counter, t.level())
}

// level is the counter at which a team that comes back from idle starts.
func (t *tier) level() float64 {
	if t.waiting == 0 {
		return t.virtual
	}
	found := false
	least := 0.0
	for _, c := range t.classes {
		if c.order.Len() == 0 {
			continue
		}
		if counter := c.order.Peek().account.counter; !found || counter < least {
			found, least = true, counter
		}
	}
	return least
}

// count adds n to the numbers of waiting items.
func (q *Queue) count(f *flow, n int) {
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

// place puts the flow at its position in the heaps of its class.
func (q *Queue) place(f *flow) {
	switch {
	case f.count == 0 && f.next != heap.None:
		f.class.order.Remove(f.next)
		f.class.excess.Remove(f.last)
	case f.count > 0 && f.next == heap.None:
		f.class.order.Push(f)
		f.class.excess.Push(f)
	case f.count > 0:
		f.class.order.Fix(f.next)
		f.class.excess.Fix(f.last)
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
		q.place(f)
	}
}

// forgetIdle drops idle teams whose counter would be lifted anyway.
func (q *Queue) forgetIdle(t *tier) {
	if len(t.accounts) < maxAccounts {
		return
	}
	level := t.level()
	for team, a := range t.accounts {
		if a.waiting == 0 && a.counter <= level {
			delete(t.accounts, team)
		}
	}
}
