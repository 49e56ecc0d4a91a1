package member

import (
	"cmp"
	"math/bits"
	"slices"
)

// newsBytes is what the encoding of a Member takes beside its strings.
const newsBytes = 70

// newsQueue holds the news that is still being spread.
type newsQueue struct {
	items map[string]*newsItem
}

type newsItem struct {
	member Member
	sent   int
}

func newNewsQueue() newsQueue {
	return newsQueue{items: make(map[string]*newsItem)}
}

// add makes the state of the member news. Only what a receiver may lack is
// kept: the address and place are sent with live states.
func (q *newsQueue) add(m Member) {
	if !m.Live() {
		m.Address, m.Region, m.FailureDomain = "", "", ""
	}
	q.items[m.ID] = &newsItem{member: m}
}

// take returns news of at most budget bytes, what was sent least first, and
// counts it as sent. News that was sent limit times is dropped.
func (q *newsQueue) take(budget, limit int) []Member {
	if len(q.items) == 0 {
		return nil
	}
	items := make([]*newsItem, 0, len(q.items))
	for _, item := range q.items {
		items = append(items, item)
	}
	slices.SortFunc(items, func(a, b *newsItem) int {
		return cmp.Or(cmp.Compare(a.sent, b.sent), cmp.Compare(a.member.ID, b.member.ID))
	})
	var taken []Member
	for _, item := range items {
		size := newsSize(item.member)
		if size > budget {
			continue
		}
		budget -= size
		taken = append(taken, item.member)
		item.sent++
		if item.sent >= limit {
			delete(q.items, item.member.ID)
		}
	}
	return taken
}

func newsSize(m Member) int {
	size := newsBytes + len(m.ID)
	if m.Address != "" {
		size += len(m.Address) + len(m.Region) + len(m.FailureDomain)
	}
	return size
}

// takeNews returns the news for one message.
func (v *View) takeNews() []Member {
	limit := retransmitFactor * (bits.Len(uint(len(v.members))) + 1)
	return v.news.take(v.config.Timing.MaxGossipBytes, limit)
}
