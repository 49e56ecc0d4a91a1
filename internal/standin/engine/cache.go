package engine

import (
	"container/list"
	"math/rand/v2"
	"sync"

	"github.com/banyanshift/banyanshift/coord/clock"
)

// CacheEventKind says what became of a prefix block.
type CacheEventKind string

// The kinds of cache event.
const (
	BlockAdded   CacheEventKind = "Add"
	BlockEvicted CacheEventKind = "Evict"
)

// CacheEvent tells that a prefix block came into the cache or left it.
type CacheEvent struct {
	Sequence uint64
	Kind     CacheEventKind
	Digest   uint64
}

// CacheEvents is the answer of /cache-events. Events between First and Last that
// are not there were lost.
type CacheEvents struct {
	Events []CacheEvent
	First  uint64
	Last   uint64
}

// keptEvents bounds how many events the engine keeps.
const keptEvents = 4096

// prefixCache holds the least recently used prefix blocks and publishes late
// and gappy events about them.
type prefixCache struct {
	clock  clock.Clock
	lag    clock.Millis
	gap    float64
	blocks int

	mu       sync.Mutex
	random   *rand.Rand
	order    *list.List
	elements map[uint64]*list.Element
	sequence uint64
	events   []datedEvent
}

type datedEvent struct {
	CacheEvent
	at clock.Millis
}

func newPrefixCache(config Config, clk clock.Clock) *prefixCache {
	return &prefixCache{
		clock: clk, lag: config.CacheEventLag, gap: config.CacheEventLossShare,
		blocks:   max(1, config.KVTokens/blockTokens),
		random:   rand.New(rand.NewPCG(config.Seed, 2)),
		order:    list.New(),
		elements: make(map[uint64]*list.Element),
	}
}

// use returns how many leading blocks of digests were cached and caches all.
func (c *prefixCache) use(digests []uint64) (hits int) {
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
			c.order.MoveToFront(element)
			continue
		}
		c.elements[digest] = c.order.PushFront(digest)
		c.publish(BlockAdded, digest)
	}
	c.shrink()
	return hits
}

func (c *prefixCache) shrink() {
	for c.order.Len() > c.blocks {
		digest := c.order.Remove(c.order.Back()).(uint64)
		delete(c.elements, digest)
		c.publish(BlockEvicted, digest)
	}
}

func (c *prefixCache) publish(kind CacheEventKind, digest uint64) {
	c.sequence++
	if c.random.Float64() < c.gap {
		return
	}
	event := CacheEvent{Sequence: c.sequence, Kind: kind, Digest: digest}
	c.events = append(c.events, datedEvent{CacheEvent: event, at: c.clock.Now()})
	if len(c.events) > keptEvents {
		c.events = c.events[len(c.events)-keptEvents:]
	}
}

// after returns the events that are old enough to be known.
func (c *prefixCache) after(sequence uint64) CacheEvents {
	c.mu.Lock()
	defer c.mu.Unlock()
	result := CacheEvents{Events: []CacheEvent{}, First: sequence + 1, Last: sequence}
	for _, event := range c.events {
		if event.Sequence <= sequence || event.at > c.clock.Now()-c.lag {
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
