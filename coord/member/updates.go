package member

import (
	"cmp"
	"math/bits"
	"slices"
)

// memberOverheadBytes is the encoded size of a Member without its strings.
const memberOverheadBytes = 70

// updateQueue holds the latest updates about members that are still being gossiped.
type updateQueue struct {
	items map[string]*queuedUpdate
}

type queuedUpdate struct {
	member    Member
	sendCount int
}

func newUpdateQueue() updateQueue {
	return updateQueue{items: make(map[string]*queuedUpdate)}
}

// add queues the member's state as an update. Address, region and failure domain
// are sent only with live states: receivers don't need them otherwise.
func (q *updateQueue) add(m Member) {
	if !m.Live() {
		m.Address, m.Region, m.FailureDomain = "", "", ""
	}
	q.items[m.ID] = &queuedUpdate{member: m}
}

// take returns updates of at most budget bytes, the least often sent first, and
// counts them as sent. It drops updates that have been sent limit times.
func (q *updateQueue) take(budget, limit int) []Member {
	if len(q.items) == 0 {
		return nil
	}
	items := make([]*queuedUpdate, 0, len(q.items))
	for _, item := range q.items {
		items = append(items, item)
	}
	slices.SortFunc(items, func(a, b *queuedUpdate) int {
		return cmp.Or(cmp.Compare(a.sendCount, b.sendCount), cmp.Compare(a.member.ID, b.member.ID))
	})
	var taken []Member
	for _, item := range items {
		size := encodedSize(item.member)
		if size > budget {
			continue
		}
		budget -= size
		taken = append(taken, item.member)
		item.sendCount++
		if item.sendCount >= limit {
			delete(q.items, item.member.ID)
		}
	}
	return taken
}

func encodedSize(m Member) int {
	size := memberOverheadBytes + len(m.ID)
	if m.Address != "" {
		size += len(m.Address) + len(m.Region) + len(m.FailureDomain)
	}
	return size
}

// takeUpdates returns the updates to put in one message.
func (v *View) takeUpdates() []Member {
	limit := retransmitFactor * (bits.Len(uint(len(v.members))) + 1)
	return v.updates.take(v.config.Timing.MaxGossipBytes, limit)
}
