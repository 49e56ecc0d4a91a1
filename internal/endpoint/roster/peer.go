package roster

import (
	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/coord/table"
)

// ReplaceFromPeer replaces the list by that of another daemon, without the
// entries that are missing there. It does not end an outage of the table.
func (r *Roster) ReplaceFromPeer(entries []Endpoint, at table.Position, asOf clock.Millis) {
	r.mu.Lock()
	defer r.mu.Unlock()
	present := make([]Endpoint, 0, len(entries))
	for _, entry := range entries {
		if !entry.Missing {
			present = append(present, entry)
		}
	}
	r.replace(present, at, asOf)
}

// UpdateFromPeer applies the entries that changed or were removed in the list of
// another daemon. If this list is of a later position or of another era, it only takes
// over that endpoints are leaving, which a read that was behind may have missed.
// UpdateFromPeer neither ends an outage of the table nor confirms the list. An entry that
// is missing there is missing here, too, until its grace period expires.
func (r *Roster) UpdateFromPeer(entries []Endpoint, removed []string, at table.Position) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.hasList {
		return
	}
	if at.Before(r.position) || at.Era != r.position.Era {
		r.publishIf(r.markLeavingEntries(entries))
		return
	}
	changed := false
	now := r.clock.Now()
	for _, entry := range entries {
		r.told.record(now, entry.ID, at)
		changed = r.putFromPeer(entry) || changed
	}
	for _, id := range removed {
		r.told.record(now, id, at)
		changed = r.drop(id) || changed
	}
	r.position = at
	r.publishIf(changed)
}

// markLeavingEntries marks the endpoints as leaving that are so in entries, and reports
// whether that changed the list.
func (r *Roster) markLeavingEntries(entries []Endpoint) (marked bool) {
	for _, entry := range entries {
		held, found := r.endpoints[entry.ID]
		if found && entry.Leaving && held.Incarnation == entry.Incarnation {
			marked = r.markLeaving(held) || marked
		}
	}
	return marked
}

// putFromPeer applies an entry of another daemon, and reports whether that changed the
// list. An entry that is missing there is not added, since its removal has been applied
// here.
func (r *Roster) putFromPeer(entry Endpoint) (changed bool) {
	if !entry.Missing {
		r.restored.forget(entry.ID)
		return r.put(entry)
	}
	held, found := r.endpoints[entry.ID]
	if !found || held.Incarnation != entry.Incarnation {
		return false
	}
	changed = !held.Missing
	held.Missing = true
	r.endpoints[entry.ID] = held
	if !r.recovering {
		r.recovering, r.recoveredAt = true, r.clock.Now()
	}
	return changed
}
