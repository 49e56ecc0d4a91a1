package broker

import (
	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/decide/cell"
	"github.com/banyanshift/banyanshift/internal/peer/link"
	"github.com/banyanshift/banyanshift/internal/peer/message"
)

// gossipEvery is how often the brokers of a pool tell each other what teams
// were charged.
const gossipEvery = 500 * clock.Millisecond

// addCharges charges teams for what they were given by another cell.
func (h *host) addCharges(charges []teamCharge) {
	received := make(map[cell.TeamTier]float64, len(charges))
	for _, c := range charges {
		received[cell.TeamTier{Team: c.Team, Tier: c.Tier}] = c.Cost
	}
	h.do(func(c *cell.Cell, _ clock.Millis) []cell.Action {
		c.AddCharges(received)
		return nil
	})
}

// takeCharges returns what teams were charged here since the last call.
func (h *host) takeCharges() []teamCharge {
	h.mu.Lock()
	defer h.mu.Unlock()
	taken := h.cell.TakeCharges()
	charges := make([]teamCharge, 0, len(taken))
	for key, cost := range taken {
		charges = append(charges, teamCharge{Team: key.Team, Tier: key.Tier, Cost: cost})
	}
	return charges
}

// gossip tells the brokers of the other cells of each pool what teams were
// charged by the cells that this daemon is the broker of.
func (b *Broker) gossip() {
	if b.config.Policy != Brokered || b.deps.Link == nil {
		return
	}
	b.mu.Lock()
	hosts := make([]*host, 0, len(b.hosts))
	for _, h := range b.hosts {
		hosts = append(hosts, h)
	}
	b.mu.Unlock()
	for _, h := range hosts {
		b.gossipOf(h)
	}
}

func (b *Broker) gossipOf(h *host) {
	charges := h.takeCharges()
	if len(charges) == 0 {
		return
	}
	b.mu.Lock()
	count := b.counts[poolKey(h.key.Backend, h.key.Region)]
	b.mu.Unlock()
	for i := range count {
		key := CellKey{Backend: h.key.Backend, Region: h.key.Region, Index: i}
		if key != h.key {
			b.tellCharges(key, charges)
		}
	}
}

func (b *Broker) tellCharges(key CellKey, charges []teamCharge) {
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
