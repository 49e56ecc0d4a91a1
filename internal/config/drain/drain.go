// Package drain keeps which failure domains the operator has drained. Endpoints of a drained
// domain get no new requests until the operator takes the drain back.
//
// The drains are rows of the table, so a State is valid as of a position in its history. A
// table that came back from a copy may have lost the newest drains. They hold for some time
// longer, in which the operator writes them again.
//
// # Usage
//
//	h := drain.NewHolder()
//	changed := h.Update(now, drain.State{Domains: []string{"north-a"}, Position: at, AsOf: asOf})
//	domains := h.Domains(now)
package drain

import (
	"maps"
	"slices"
	"sync"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/coord/table"
)

// rewriteTime is how long a drain holds that the table lost when it came back from a copy.
const rewriteTime = 10 * clock.Second

// State is the drained failure domains as this or another daemon read them.
type State struct {
	// Domains is sorted.
	Domains []string
	// Lost lists drains that the table lost, and that still hold.
	Lost []Lost
	// Position is a position of the table at which it held these drains, and AsOf a time at
	// which they were certainly current.
	Position table.Position
	AsOf     clock.Millis
}

// Lost is a drain that the table lost, and how much longer it holds.
type Lost struct {
	Domain string
	Left   clock.Millis
}

// Holder keeps the latest State. It is safe for concurrent use.
type Holder struct {
	mu    sync.RWMutex
	state State
	known bool
	// lostUntil is the time until which a lost drain holds, by failure domain.
	lostUntil map[string]clock.Millis
}

// NewHolder returns a Holder that does not know yet what is drained.
func NewHolder() *Holder {
	return &Holder{lostUntil: make(map[string]clock.Millis)}
}

// Update offers a State, and reports whether the drained domains have changed. A State of an
// earlier position changes nothing.
func (h *Holder) Update(now clock.Millis, offered State) (changed bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.known && offered.Position.Before(h.state.Position) {
		return false
	}
	before := h.domains(now)
	if h.known && offered.Position.Era > h.state.Position.Era {
		h.keepLost(now, offered.Domains)
	}
	h.forgetLost(now, offered.Domains)
	for _, lost := range offered.Lost {
		h.lostUntil[lost.Domain] = max(h.lostUntil[lost.Domain], now+min(lost.Left, rewriteTime))
	}
	asOf := max(offered.AsOf, h.state.AsOf)
	h.state = State{Domains: slices.Sorted(slices.Values(offered.Domains)), Position: offered.Position, AsOf: asOf}
	changed = !h.known || !slices.Equal(before, h.domains(now))
	h.known = true
	return changed
}

// keepLost keeps the held drains that a table which came back from a copy does not have.
func (h *Holder) keepLost(now clock.Millis, listed []string) {
	for _, domain := range h.state.Domains {
		if !slices.Contains(listed, domain) {
			h.lostUntil[domain] = now + rewriteTime
		}
	}
}

// forgetLost forgets drains that were lost and are written again, so that they can be taken back
// at once, and those that hold no longer.
func (h *Holder) forgetLost(now clock.Millis, listed []string) {
	maps.DeleteFunc(h.lostUntil, func(domain string, until clock.Millis) bool {
		return now >= until || slices.Contains(listed, domain)
	})
}

// Domains returns the drained failure domains, sorted.
func (h *Holder) Domains(now clock.Millis) []string {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.domains(now)
}

// domains returns the drained failure domains. The lock must be held.
func (h *Holder) domains(now clock.Millis) []string {
	if len(h.lostUntil) == 0 {
		return h.state.Domains
	}
	domains := slices.Clone(h.state.Domains)
	for domain, until := range h.lostUntil {
		if now < until {
			domains = append(domains, domain)
		}
	}
	slices.Sort(domains)
	return slices.Compact(domains)
}

// State returns the latest State, for other daemons. known is false if there is none.
func (h *Holder) State(now clock.Millis) (state State, known bool) {
	h.mu.RLock()
	defer h.mu.RUnlock()
	state = h.state
	for domain, until := range h.lostUntil {
		if now < until {
			state.Lost = append(state.Lost, Lost{Domain: domain, Left: until - now})
		}
	}
	return state, h.known
}
