package broker

import (
	"math/rand/v2"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/config/entity"
	"github.com/banyanshift/banyanshift/internal/decide/cell"
	"github.com/banyanshift/banyanshift/internal/decide/place"
	"github.com/banyanshift/banyanshift/internal/decide/queue"
)

// cellHost runs one cell in this daemon, either as the cell's broker or as the
// local fallback while the broker does not answer.
type cellHost struct {
	broker *Broker
	key    CellKey
	// epoch distinguishes this host from earlier hosts of the same cell.
	epoch uint64
	// localShare limits the slots to this daemon's share of them.
	localShare bool

	mu           sync.Mutex
	cell         *cell.Cell
	lastMessages map[string]messagePosition
	lastUsedAt   clock.Millis
}

// messagePosition identifies the last message that was processed from an entry.
type messagePosition struct {
	session uint64
	number  uint64
}

// newHost returns a host with the endpoints of its cell. A broker's host holds
// back grants until the other daemons have announced their requests or
// AnnounceWait has passed. b.mu must be held.
func (b *Broker) newHost(key CellKey, localShare bool) *cellHost {
	now := b.deps.Clock.Now()
	rng := rand.New(rand.NewPCG(b.config.Seed, xxhash.Sum64String(key.String())))
	h := &cellHost{
		broker:       b,
		key:          key,
		epoch:        rand.Uint64(),
		localShare:   localShare,
		cell:         cell.New(b.cellConfig(localShare), rng),
		lastMessages: make(map[string]messagePosition),
		lastUsedAt:   now,
	}
	h.cell.SetEndpoints(now, b.cellEndpoints[key], b.slotsFunc(key.Backend, b.cellEndpoints[key], localShare))
	if b.config.Policy == Brokered && !localShare {
		h.cell.HoldGrants(now+b.config.AnnounceWait, b.otherDaemons())
	}
	return h
}

// otherDaemons returns the IDs of the other live daemons of the region.
func (b *Broker) otherDaemons() []string {
	var ids []string
	for _, m := range b.liveView() {
		if m.ID != b.config.Self {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

// cellConfig returns the cell configuration for the policy.
func (b *Broker) cellConfig(localShare bool) cell.Config {
	config := cell.Config{Queue: queue.Config{Share: b.classShare}, ShareCharges: b.config.Policy == Brokered && !localShare}
	switch b.config.Policy {
	case RoundRobin:
		config.PassThrough = true
		config.Place = place.Config{Policy: place.RoundRobin, IgnoreTokenRate: true, IgnorePrefixCache: true}
	case LeastOutstanding:
		config.PassThrough = true
		config.Place = place.Config{Policy: place.LeastOutstanding, IgnoreTokenRate: true, IgnorePrefixCache: true}
	case LocalFair, Brokered:
	}
	if localShare || b.config.Policy != Brokered {
		config.EntryTimeout = -1
	}
	return config
}

func (b *Broker) classShare(name string) float64 {
	if b.deps.Class == nil {
		return 0
	}
	class, known := b.deps.Class(name)
	if !known {
		return 0
	}
	return class.GuaranteedShare
}

// apply applies an event to the cell and delivers the resulting actions in
// order.
func (h *cellHost) apply(event func(c *cell.Cell, now clock.Millis) []cell.Action) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.deliver(event(h.cell, h.broker.deps.Clock.Now()))
}

// deliver applies actions for this daemon and queues those for other entries.
func (h *cellHost) deliver(actions []cell.Action) {
	for _, action := range actions {
		if action.Entry == h.broker.config.Self {
			h.broker.applyLocalAction(h, action)
			continue
		}
		h.broker.queueAction(h, action)
	}
}

// busy reports whether the cell has waiting or running requests.
func (h *cellHost) busy() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.cell.Waiting() > 0 || h.cell.Running() > 0
}

// tick advances the cell's time and records a heartbeat of this daemon.
func (h *cellHost) tick() {
	h.apply(func(c *cell.Cell, now clock.Millis) []cell.Action {
		if c.HasEntry(h.broker.config.Self) {
			c.MarkAlive(now, h.broker.config.Self)
		}
		return c.Tick(now)
	})
}

func (h *cellHost) recordLoad(load place.LoadReport) {
	h.apply(func(c *cell.Cell, now clock.Millis) []cell.Action { return c.RecordLoad(now, load) })
}

func (h *cellHost) recordCacheEvents(endpoint, incarnation string, first uint64, events []place.CacheEvent) {
	h.apply(func(c *cell.Cell, _ clock.Millis) []cell.Action {
		c.RecordCacheEvents(endpoint, incarnation, first, events)
		return nil
	})
}

func (h *cellHost) markLeaving(endpoint, incarnation string) {
	h.apply(func(c *cell.Cell, now clock.Millis) []cell.Action { return c.MarkLeaving(now, endpoint, incarnation) })
}

func (h *cellHost) submit(runReq cell.RunRequest) {
	h.apply(func(c *cell.Cell, now clock.Millis) []cell.Action { return c.Submit(now, runReq) })
}

func (h *cellHost) cancel(id string) {
	h.apply(func(c *cell.Cell, now clock.Millis) []cell.Action { return c.Cancel(now, id) })
}

func (h *cellHost) recordProgress(tokens []tokenProgress) {
	h.apply(func(c *cell.Cell, now clock.Millis) []cell.Action {
		for _, p := range tokens {
			c.RecordTokens(now, p.ID, p.Tokens)
		}
		return nil
	})
}

func (h *cellHost) release(id string, tokens int, outcome cell.Outcome) {
	h.apply(func(c *cell.Cell, now clock.Millis) []cell.Action {
		c.RecordTokens(now, id, tokens)
		return c.Release(now, id, outcome)
	})
}

// removeEntry removes an entry and its requests from the cell.
func (h *cellHost) removeEntry(entry string) {
	h.apply(func(c *cell.Cell, now clock.Millis) []cell.Action {
		delete(h.lastMessages, entry)
		return c.RemoveEntry(now, entry)
	})
}

// updateEndpoints replaces the endpoints of the cell and their slots.
func (h *cellHost) updateEndpoints(endpoints []entity.Endpoint) {
	slots := h.broker.slotsFunc(h.key.Backend, endpoints, h.localShare)
	h.apply(func(c *cell.Cell, now clock.Millis) []cell.Action {
		c.Queue().RefreshShares()
		return c.SetEndpoints(now, endpoints, slots)
	})
}
