// Package roster keeps the list of endpoints that register themselves in the
// table.
//
// An entry that is removed right after an outage of the table may belong to an
// endpoint that lives and could not renew it; it stays in use until the
// endpoint has had time to come back. An endpoint that was once said to be
// leaving is so for good, whatever older news say.
//
// # Usage
//
//	r := roster.New(clk, drainTime, changed)
//	r.Replace(entries, revision, asOf)
//	r.Update(entries, removed, revision, asOf)
//	r.Leaving("i-7f3a91c2")
package roster

import (
	"context"
	"fmt"
	"sort"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/decide/balance"
)

const (
	// returnTime is how long after an outage of the table live endpoints are
	// back.
	returnTime = 2 * clock.Second
	// dropInterval is the time between two looks for entries that are not.
	dropInterval = 200 * clock.Millisecond
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
	clock     clock.Clock
	drainTime clock.Millis
	changed   func([]Endpoint)

	mu        sync.Mutex
	endpoints map[string]Endpoint
	revision  uint64
	digest    uint64
	known     bool
	// confirmed is as of when the list is known to be right.
	confirmed clock.Millis
	// lost says that the table cannot be read, returning that it came back
	// at the instant returned and endpoints may still be missing.
	lost      bool
	returning bool
	returned  clock.Millis
}

// New returns an empty Roster that calls changed, one call at a time, with
// every new list. Endpoints serve for drainTime after they said that they are
// leaving; 0 if that is not known.
func New(clk clock.Clock, drainTime clock.Millis, changed func([]Endpoint)) *Roster {
	return &Roster{clock: clk, drainTime: drainTime, changed: changed, endpoints: make(map[string]Endpoint)}
}

// MarkTableUnavailable notes that the table cannot be read.
func (r *Roster) MarkTableUnavailable() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lost = true
}

// Replace takes the whole list from the table, as of an instant.
func (r *Roster) Replace(entries []Endpoint, revision uint64, asOf clock.Millis) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.regained(asOf)
	r.replace(entries, revision, asOf)
}

// ReplaceFromPeer takes the whole list of another daemon. What is missing there
// is not taken for present.
func (r *Roster) ReplaceFromPeer(entries []Endpoint, revision uint64, asOf clock.Millis) {
	r.mu.Lock()
	defer r.mu.Unlock()
	present := make([]Endpoint, 0, len(entries))
	for _, entry := range entries {
		if !entry.Missing {
			present = append(present, entry)
		}
	}
	r.replace(present, revision, asOf)
}

func (r *Roster) replace(entries []Endpoint, revision uint64, asOf clock.Millis) {
	if r.known && revision < r.revision {
		return
	}
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
	r.confirmed = max(r.confirmed, asOf)
	r.publish()
}

// Update takes changed and removed entries from the table, as of an instant.
func (r *Roster) Update(entries []Endpoint, removed []string, revision uint64, asOf clock.Millis) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.regained(asOf)
	for _, entry := range entries {
		r.put(entry)
	}
	for _, id := range removed {
		r.remove(id)
	}
	r.revision = max(r.revision, revision)
	r.confirmed = max(r.confirmed, asOf)
	dropped := r.dropMissing()
	if len(entries) > 0 || len(removed) > 0 || dropped {
		r.publish()
	}
}

// regained notes that the table has answered what was asked at asOf.
func (r *Roster) regained(asOf clock.Millis) {
	if r.lost {
		r.lost = false
		r.returning = true
		r.returned = asOf
	}
}

func (r *Roster) put(entry Endpoint) {
	old, found := r.endpoints[entry.ID]
	if found && old.Incarnation > entry.Incarnation {
		return
	}
	entry.LeavesAt = 0
	if found && old.Incarnation == entry.Incarnation {
		entry.LeavesAt = r.leavesAt(old, entry)
		entry.Leaving = entry.Leaving || old.Leaving
	}
	entry.Missing = false
	r.endpoints[entry.ID] = entry
}

// leavesAt returns until when an endpoint serves at least, if it is leaving. It
// may have said so at any time since the list was last known to be right.
func (r *Roster) leavesAt(old, entry Endpoint) clock.Millis {
	switch {
	case old.Leaving:
		return old.LeavesAt
	case !entry.Leaving || r.drainTime == 0:
		return 0
	case entry.LeavesIn > 0:
		return r.confirmed + min(r.drainTime, entry.LeavesIn)
	}
	return r.confirmed + r.drainTime
}

func (r *Roster) remove(id string) {
	entry, found := r.endpoints[id]
	if !found {
		return
	}
	if r.returning && !entry.Leaving && r.clock.Now()-r.returned < returnTime {
		entry.Missing = true
		r.endpoints[id] = entry
		return
	}
	delete(r.endpoints, id)
}

// dropMissing removes entries that did not come back in time.
func (r *Roster) dropMissing() (dropped bool) {
	if !r.returning || r.clock.Now()-r.returned < returnTime {
		return false
	}
	r.returning = false
	for id, entry := range r.endpoints {
		if entry.Missing {
			delete(r.endpoints, id)
			dropped = true
		}
	}
	return dropped
}

// MarkLeaving notes that an endpoint is leaving, whoever said so.
func (r *Roster) MarkLeaving(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	entry, found := r.endpoints[id]
	if !found || entry.Leaving {
		return
	}
	said := entry
	said.Leaving = true
	said.LeavesAt = r.leavesAt(entry, said)
	r.endpoints[id] = said
	r.publish()
}

// RemoveIfMissing notes that an endpoint is gone, as another daemon saw it in the table. It
// decides about an entry that is missing here; others are the table's.
func (r *Roster) RemoveIfMissing(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if entry, found := r.endpoints[id]; found && entry.Missing {
		delete(r.endpoints, id)
		r.publish()
	}
}

// Run drops entries that do not come back in time, until ctx ends.
func (r *Roster) Run(ctx context.Context) error {
	for {
		if err := r.clock.Sleep(ctx, dropInterval); err != nil {
			return err
		}
		r.mu.Lock()
		if r.dropMissing() {
			r.publish()
		}
		r.mu.Unlock()
	}
}

// publish hands the list to the owner.
func (r *Roster) publish() {
	list := r.list()
	r.digest = digestOf(list)
	r.changed(list)
}

// digestOf is the same for lists of the same endpoints in the same state.
func digestOf(list []Endpoint) uint64 {
	hash := xxhash.New()
	for _, entry := range list {
		if !entry.Missing {
			_, _ = fmt.Fprintf(hash, "%s %d %t\n", entry.ID, entry.Incarnation, entry.Leaving)
		}
	}
	return hash.Sum64()
}

// State describes the list in short.
type State struct {
	// Known is false while no list was seen.
	Known bool
	// TableUnavailable says that the table cannot be read.
	TableUnavailable bool
	// Digest is the same at daemons that have the same list.
	Digest uint64
	// Revision is that of the newest answer of the table.
	Revision uint64
	// AsOf is the instant as of which the list is known to be right.
	AsOf clock.Millis
}

// State returns the state of the list.
func (r *Roster) State() State {
	r.mu.Lock()
	defer r.mu.Unlock()
	return State{Known: r.known, TableUnavailable: r.lost, Digest: r.digest, Revision: r.revision, AsOf: r.confirmed}
}

// Confirm notes that a daemon with the same list knew it to be right at asOf.
func (r *Roster) Confirm(digest uint64, asOf clock.Millis) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.known && r.digest == digest {
		r.confirmed = max(r.confirmed, asOf)
	}
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
