// Package roster keeps the list of endpoints that register themselves in the
// table.
//
// An entry that is removed right after an outage of the table may belong to an
// endpoint that lives and could not renew it; it stays in use until the
// endpoint has had time to come back. An endpoint that was once said to be
// leaving gets no new work again, whatever older news say.
//
// # Usage
//
//	r := roster.New(clk, changed)
//	r.Replace(entries, revision, asOf)
//	r.Update(entries, removed, revision, asOf)
//	r.Leaving("i-7f3a91c2")
package roster

import (
	"sort"
	"sync"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/decide/balance"
)

const (
	// outageGap is the time without contact after which the table counts as
	// having been away.
	outageGap = 2500 * clock.Millisecond
	// returnTime is how long after an outage live endpoints are back.
	returnTime = 2 * clock.Second
)

// Endpoint is an endpoint with its address.
type Endpoint struct {
	balance.Endpoint
	Address string
	// LeavesIn is the time until a leaving endpoint is taken away, as far as
	// it is known.
	LeavesIn clock.Millis
	// Missing is set for an entry that was removed right after an outage.
	Missing bool
}

// Roster holds the endpoints. It is safe for concurrent use.
type Roster struct {
	clock   clock.Clock
	changed func([]Endpoint)

	mu        sync.Mutex
	endpoints map[string]Endpoint
	revision  uint64
	known     bool
	// confirmed is as of when the list is known to be right.
	confirmed clock.Millis
	// returned is when the table came back after its last outage.
	returned clock.Millis
	away     bool
}

// New returns an empty Roster that calls changed, one call at a time, with
// every new list.
func New(clk clock.Clock, changed func([]Endpoint)) *Roster {
	return &Roster{clock: clk, changed: changed, endpoints: make(map[string]Endpoint)}
}

// Replace takes the whole list as of an instant.
func (r *Roster) Replace(entries []Endpoint, revision uint64, asOf clock.Millis) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.known && revision < r.revision {
		return
	}
	r.contact(asOf)
	listed := make(map[string]bool, len(entries))
	for _, entry := range entries {
		listed[entry.ID] = true
		r.put(entry)
	}
	for id := range r.endpoints {
		if !listed[id] {
			r.remove(id)
		}
	}
	r.known, r.revision = true, revision
	r.publish()
}

// Update takes changed and removed entries as of an instant.
func (r *Roster) Update(entries []Endpoint, removed []string, revision uint64, asOf clock.Millis) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.contact(asOf)
	for _, entry := range entries {
		r.put(entry)
	}
	for _, id := range removed {
		r.remove(id)
	}
	r.revision = max(r.revision, revision)
	dropped := r.dropMissing()
	if len(entries) > 0 || len(removed) > 0 || dropped {
		r.publish()
	}
}

// contact notes that the table answered what was asked at asOf.
func (r *Roster) contact(asOf clock.Millis) {
	if r.known && asOf-r.confirmed > outageGap {
		r.away = true
		r.returned = r.clock.Now()
	}
	r.confirmed = max(r.confirmed, asOf)
}

func (r *Roster) put(entry Endpoint) {
	old, found := r.endpoints[entry.ID]
	if found && old.Incarnation > entry.Incarnation {
		return
	}
	if found && old.Incarnation == entry.Incarnation {
		entry.Leaving = entry.Leaving || old.Leaving
	}
	entry.Missing = false
	r.endpoints[entry.ID] = entry
}

func (r *Roster) remove(id string) {
	entry, found := r.endpoints[id]
	if !found {
		return
	}
	if r.away && !entry.Leaving && r.clock.Now()-r.returned < returnTime {
		entry.Missing = true
		r.endpoints[id] = entry
		return
	}
	delete(r.endpoints, id)
}

// dropMissing removes entries that did not come back in time.
func (r *Roster) dropMissing() (dropped bool) {
	if !r.away || r.clock.Now()-r.returned < returnTime {
		return false
	}
	r.away = false
	for id, entry := range r.endpoints {
		if entry.Missing {
			delete(r.endpoints, id)
			dropped = true
		}
	}
	return dropped
}

// Leaving notes that an endpoint is leaving, whoever said so.
func (r *Roster) Leaving(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	entry, found := r.endpoints[id]
	if !found || entry.Leaving {
		return
	}
	entry.Leaving = true
	r.endpoints[id] = entry
	r.publish()
}

// publish hands the list to the owner.
func (r *Roster) publish() {
	r.changed(r.list())
}

func (r *Roster) list() []Endpoint {
	list := make([]Endpoint, 0, len(r.endpoints))
	for _, entry := range r.endpoints {
		list = append(list, entry)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list
}

// List returns all endpoints, the revision of the list and as of when it is
// known to be right. known is false while no list was seen.
func (r *Roster) List() (list []Endpoint, revision uint64, asOf clock.Millis, known bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.list(), r.revision, r.confirmed, r.known
}
