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

// host runs one cell in this daemon, as its broker or as the fallback of this
// daemon alone.
type host struct {
	broker *Broker
	key    CellKey
	// epoch tells this host from earlier ones of the same cell.
	epoch uint64
	// share limits the slots to this daemon's part.
	share bool

	mu      sync.Mutex
	cell    *cell.Cell
	numbers map[string]entryNumber
	used    clock.Millis
}

// entryNumber is the last message of an entry that was taken in.
type entryNumber struct {
	session uint64
	number  uint64
}

// newHost returns a host with the endpoints of its cell. As the broker of the
// cell it holds its grants back until the other daemons have announced what
// they have. b.mu must be held.
func (b *Broker) newHost(key CellKey, share bool) *host {
	now := b.deps.Clock.Now()
	rng := rand.New(rand.NewPCG(b.config.Seed, xxhash.Sum64String(key.String())))
	h := &host{
		broker:  b,
		key:     key,
		epoch:   rand.Uint64(),
		share:   share,
		cell:    cell.New(b.cellConfig(share), rng),
		numbers: make(map[string]entryNumber),
		used:    now,
	}
	h.cell.SetEndpoints(now, b.cells[key], b.slots(key.Backend, b.cells[key], share))
	if b.config.Policy == Brokered && !share {
		h.cell.HoldGrants(now+b.config.AnnounceWait, b.others())
	}
	return h
}

// others returns the names of the other live daemons of the region.
func (b *Broker) others() []string {
	var names []string
	for _, m := range b.liveView() {
		if m.ID != b.config.Self {
			names = append(names, m.ID)
		}
	}
	return names
}

// cellConfig returns the rules of the policy.
func (b *Broker) cellConfig(share bool) cell.Config {
	config := cell.Config{Queue: queue.Config{Share: b.classShare}, ShareCharges: b.config.Policy == Brokered && !share}
	switch b.config.Policy {
	case RoundRobin:
		config.PassThrough = true
		config.Place = place.Config{Policy: place.RoundRobin, IgnoreTokenRate: true, IgnorePrefixCache: true}
	case LeastOutstanding:
		config.PassThrough = true
		config.Place = place.Config{Policy: place.LeastOutstanding, IgnoreTokenRate: true, IgnorePrefixCache: true}
	case LocalFair, Brokered:
	}
	if share || b.config.Policy != Brokered {
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

// do runs one event on the cell and delivers the actions in their order.
func (h *host) do(event func(c *cell.Cell, now clock.Millis) []cell.Action) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.deliver(event(h.cell, h.broker.deps.Clock.Now()))
}

// deliver hands actions to this daemon or to those that must get them.
func (h *host) deliver(actions []cell.Action) {
	for _, action := range actions {
		if action.Entry == h.broker.config.Self {
			h.broker.take(h, action)
			continue
		}
		h.broker.push(h, action)
	}
}

// busy reports whether requests wait or run in the cell.
func (h *host) busy() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.cell.Waiting() > 0 || h.cell.Running() > 0
}

// tick tells the cell that time has passed, and that this daemon is alive.
func (h *host) tick() {
	h.do(func(c *cell.Cell, now clock.Millis) []cell.Action {
		if c.HasEntry(h.broker.config.Self) {
			c.MarkAlive(now, h.broker.config.Self)
		}
		return c.Tick(now)
	})
}

func (h *host) report(load place.LoadReport) {
	h.do(func(c *cell.Cell, now clock.Millis) []cell.Action { return c.ReportLoad(now, load) })
}

func (h *host) cacheEvents(endpoint, incarnation string, first uint64, events []place.CacheEvent) {
	h.do(func(c *cell.Cell, _ clock.Millis) []cell.Action {
		c.CacheEvents(endpoint, incarnation, first, events)
		return nil
	})
}

func (h *host) leave(endpoint, incarnation string) {
	h.do(func(c *cell.Cell, now clock.Millis) []cell.Action { return c.MarkLeaving(now, endpoint, incarnation) })
}

func (h *host) ask(ask cell.RunRequest) {
	h.do(func(c *cell.Cell, now clock.Millis) []cell.Action { return c.Submit(now, ask) })
}

func (h *host) cancel(id string) {
	h.do(func(c *cell.Cell, now clock.Millis) []cell.Action { return c.Cancel(now, id) })
}

func (h *host) progress(tokens []progress) {
	h.do(func(c *cell.Cell, now clock.Millis) []cell.Action {
		for _, p := range tokens {
			c.RecordTokens(now, p.ID, p.Tokens)
		}
		return nil
	})
}

func (h *host) release(id string, tokens int, outcome cell.Outcome) {
	h.do(func(c *cell.Cell, now clock.Millis) []cell.Action {
		c.RecordTokens(now, id, tokens)
		return c.Release(now, id, outcome)
	})
}

// entryGone drops what the cell holds of an entry.
func (h *host) entryGone(entry string) {
	h.do(func(c *cell.Cell, now clock.Millis) []cell.Action {
		delete(h.numbers, entry)
		return c.RemoveEntry(now, entry)
	})
}

// update replaces the endpoints of the cell.
func (h *host) update(endpoints []entity.Endpoint) {
	slots := h.broker.slots(h.key.Backend, endpoints, h.share)
	h.do(func(c *cell.Cell, now clock.Millis) []cell.Action {
		c.Queue().RefreshShares()
		return c.SetEndpoints(now, endpoints, slots)
	})
}
