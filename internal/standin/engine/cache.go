package engine

import (
	"container/list"
	"math/rand/v2"
	"sync"

	"github.com/banyanshift/banyanshift/coord/clock"
)

// CacheEventKind is what happened to a prefix block.
type CacheEventKind string

// The kinds of cache events.
const (
	BlockAdded   CacheEventKind = "Add"
	BlockEvicted CacheEventKind = "Evict"
)

// CacheEvent reports that a prefix block was cached or evicted.
type CacheEvent struct {
	Sequence uint64
	Kind     CacheEventKind
	Digest   uint64
}

// CacheEvents is the response of /cache-events. Sequence numbers from First to
// Last that are missing from Events belong to lost events.
type CacheEvents struct {
	Events []CacheEvent
	First  uint64
	Last   uint64
}

// maxEvents is the number of events that the engine keeps; it drops the oldest.
const maxEvents = 4096

// prefixCache is an LRU cache of prefix blocks. Its events become visible after
// eventLag, and a share of eventLossShare of them is lost.
type prefixCache struct {
	clock          clock.Clock
	eventLag       clock.Millis
	eventLossShare float64
	maxBlocks      int

	mu       sync.Mutex
	random   *rand.Rand
	recency  *list.List
	elements map[uint64]*list.Element
	sequence uint64
	events   []timedEvent
}

type timedEvent struct {
	CacheEvent
	at clock.Millis
}

func newPrefixCache(config Config, clk clock.Clock) *prefixCache {
	return &prefixCache{
		clock: clk, eventLag: config.CacheEventLag, eventLossShare: config.CacheEventLossShare,
		maxBlocks: max(1, config.KVTokens/blockTokens),
		random:    rand.New(rand.NewPCG(config.Seed, 2)),
		recency:   list.New(),
		elements:  make(map[uint64]*list.Element),
	}
}

// lookUpAndAdd returns how many leading blocks of digests are cached, and then
// caches all of them.
func (c *prefixCache) lookUpAndAdd(digests []uint64) (hits int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	leading := true
	for _, digest := range digests {
		element, cached := c.elements[digest]
		leading = leading && cached
		if leading {
			hits++
		}
		if cached {
			c.recency.MoveToFront(element)
			continue
		}
		c.elements[digest] = c.recency.PushFront(digest)
		c.recordEvent(BlockAdded, digest)
	}
	c.evictExcess()
	return hits
}

func (c *prefixCache) evictExcess() {
	for c.recency.Len() > c.maxBlocks {
		digest := c.recency.Remove(c.recency.Back()).(uint64)
		delete(c.elements, digest)
		c.recordEvent(BlockEvicted, digest)
	}
}

func (c *prefixCache) recordEvent(kind CacheEventKind, digest uint64) {
	c.sequence++
	if c.random.Float64() < c.eventLossShare {
		return
	}
	event := CacheEvent{Sequence: c.sequence, Kind: kind, Digest: digest}
	c.events = append(c.events, timedEvent{CacheEvent: event, at: c.clock.Now()})
	if len(c.events) > maxEvents {
		c.events = c.events[len(c.events)-maxEvents:]
	}
}

// eventsAfter returns the events after sequence that are at least eventLag old.
func (c *prefixCache) eventsAfter(sequence uint64) CacheEvents {
	c.mu.Lock()
	defer c.mu.Unlock()
	result := CacheEvents{Events: []CacheEvent{}, First: sequence + 1, Last: sequence}
	for _, event := range c.events {
		if event.Sequence <= sequence || event.at > c.clock.Now()-c.eventLag {
			continue
		}
		result.Events = append(result.Events, event.CacheEvent)
		result.Last = event.Sequence
	}
	if len(c.events) > 0 {
		result.First = c.events[0].Sequence
	}
	return result
}
