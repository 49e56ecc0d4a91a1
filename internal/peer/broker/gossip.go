package broker

import (
	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/decide/cell"
	"github.com/banyanshift/banyanshift/internal/peer/link"
	"github.com/banyanshift/banyanshift/internal/peer/message"
)

// gossipInterval is how often the brokers of a pool exchange the charges of
// teams.
const gossipInterval = 500 * clock.Millisecond

// addCharges adds charges that teams incurred in another cell of the pool.
func (h *cellHost) addCharges(charges []teamCharge) {
	received := make(map[cell.TeamTier]float64, len(charges))
	for _, c := range charges {
		received[cell.TeamTier{Team: c.Team, Tier: c.Tier}] = c.Cost
	}
	h.apply(func(c *cell.Cell, _ clock.Millis) []cell.Action {
		c.AddCharges(received)
		return nil
	})
}

// drainCharges returns the charges that teams incurred in this cell since the
// last call.
func (h *cellHost) drainCharges() []teamCharge {
	h.mu.Lock()
	defer h.mu.Unlock()
	taken := h.cell.TakeCharges()
	charges := make([]teamCharge, 0, len(taken))
	for key, cost := range taken {
		charges = append(charges, teamCharge{Team: key.Team, Tier: key.Tier, Cost: cost})
	}
	return charges
}

// gossip sends the charges of the cells that this daemon is the broker of to
// the brokers of the other cells in the same pool.
func (b *Broker) gossip() {
	if b.config.Policy != Brokered || b.deps.Link == nil {
		return
	}
	b.mu.Lock()
	hosts := make([]*cellHost, 0, len(b.hosts))
	for _, h := range b.hosts {
		hosts = append(hosts, h)
	}
	b.mu.Unlock()
	for _, h := range hosts {
		b.sendChargesFrom(h)
	}
}

func (b *Broker) sendChargesFrom(h *cellHost) {
	charges := h.drainCharges()
	if len(charges) == 0 {
		return
	}
	b.mu.Lock()
	count := b.cellCounts[poolKey(h.key.Backend, h.key.Region)]
	b.mu.Unlock()
	for i := range count {
		key := CellKey{Backend: h.key.Backend, Region: h.key.Region, Index: i}
		if key != h.key {
			b.sendCharges(key, charges)
		}
	}
}

func (b *Broker) sendCharges(key CellKey, charges []teamCharge) {
	picked := b.pick(key)
	if picked.ID != b.config.Self {
		to := link.Peer{ID: picked.ID, Address: picked.Address}
		_ = link.Send(b.deps.Link, to, message.BrokerState, stateMessage{Cell: key, Charges: charges})
		return
	}
	b.mu.Lock()
	h := b.hosts[key]
	b.mu.Unlock()
	if h != nil {
		h.addCharges(charges)
	}
}
