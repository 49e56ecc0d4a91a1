package queue

import (
	"fmt"
	"reflect"

	"github.com/banyanshift/banyanshift/coord/clock"
)

var stepType = reflect.TypeOf(step{})

// checkSteps runs random operations and returns the first error, or an empty
// string.
func checkSteps(steps []step) string {
	q := New(Config{})
	q.SetSlots(0, 10)
	waiting := map[string]*Item{}
	for i, s := range steps {
		now := clock.Millis(i * 10)
		switch s.Op {
		case 0, 1, 2:
			added := item(fmt.Sprint(i), fmt.Sprint("team", s.Team), s.Tier)
			q.Push(now, added)
			waiting[added.ID] = added
		case 3:
			if got := q.Pop(now); got != nil {
				if waiting[got.ID] == nil {
					return "popped an item that does not wait"
				}
				if q.WaitingAbove(got.Tier) > 0 && q.Running(got.Class) > q.guaranteed(q.classes[got.Class]) {
					return fmt.Sprintf("popped an item of tier %d beyond its guarantee while a higher tier waits", got.Tier)
				}
				delete(waiting, got.ID)
				if s.Tokens%2 == 0 {
					q.RecordFinish(now, got.Class)
				}
			} else if len(waiting) > 0 {
				return "popped nothing while items wait"
			}
		case 4:
			q.ChargeOutput(s.Tier, fmt.Sprint("team", s.Team), s.Tokens)
		case 5:
			for id, removed := range waiting {
				q.Remove(removed)
				delete(waiting, id)
				break
			}
		}
		if q.Len() != len(waiting) {
			return fmt.Sprintf("%d items wait, want %d", q.Len(), len(waiting))
		}
	}
	for q.Len() > 0 {
		delete(waiting, q.Pop(clock.Hour).ID)
	}
	if len(waiting) != 0 {
		return "some items were never popped"
	}
	return checkEmpty(q)
}

// checkEmpty checks that the counts of an empty queue are back at zero.
func checkEmpty(q *Queue) string {
	for _, t := range q.tiers {
		if t.waiting != 0 || t.weight > 1e-6 || t.weight < -1e-6 {
			return fmt.Sprintf("tier %d has %d waiting items of weight %g, want none", t.number, t.waiting, t.weight)
		}
		for _, a := range t.accounts {
			for _, f := range a.flows {
				if f.count != 0 || f.cost > 1e-6 || f.head != nil {
					return "a flow has items or a cost left, want none"
				}
			}
		}
	}
	return ""
}
