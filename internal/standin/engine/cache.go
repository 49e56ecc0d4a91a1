package engine

import (
	"container/list"
	"math/rand/v2"
	"sync"

	"github.com/banyanshift/banyanshift/coord/clock"
)

// EventKind says what became of a prefix block.
type EventKind string

// The kinds of cache event.
const (
	Add   EventKind = "Add"
	Evict EventKind = "Evict"
)

// Event tells that a prefix block came into the cache or left it.
type Event struct {
	Sequence uint64
	Kind     EventKind
	Digest   uint64
}

// Events is the answer of /cache-events. Events between First and Last that
// are not there were lost.
type Events struct {
	Events []Event
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
	Event
	at clock.Millis
}

func newPrefixCache(config Config, clk clock.Clock) *prefixCache {
	return &prefixCache{
		clock: clk, lag: config.EventLag, gap: config.EventGap,
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
		c.publish(Add, digest)
	}
	c.shrink()
	return hits
}

func (c *prefixCache) shrink() {
	for c.order.Len() > c.blocks {
		digest := c.order.Remove(c.order.Back()).(uint64)
		delete(c.elements, digest)
		c.publish(Evict, digest)
	}
}

func (c *prefixCache) publish(kind EventKind, digest uint64) {
	c.sequence++
	if c.random.Float64() < c.gap {
		return
	}
	event := Event{Sequence: c.sequence, Kind: kind, Digest: digest}
	c.events = append(c.events, datedEvent{Event: event, at: c.clock.Now()})
	if len(c.events) > keptEvents {
		c.events = c.events[len(c.events)-keptEvents:]
	}
}

// after returns the events that are old enough to be known.
func (c *prefixCache) after(sequence uint64) Events {
	c.mu.Lock()
	defer c.mu.Unlock()
	result := Events{Events: []Event{}, First: sequence + 1, Last: sequence}
	for _, event := range c.events {
		if event.Sequence <= sequence || event.at > c.clock.Now()-c.lag {
			continue
		}
		result.Events = append(result.Events, event.Event)
		result.Last = event.Sequence
	}
	if len(c.events) > 0 {
		result.First = c.events[0].Sequence
	}
	return result
}
