// Package roster keeps a daemon's list of the endpoints that are registered in
// the table, and merges into it what other daemons report.
//
// An endpoint that was running but could not renew its entry during an outage
// of the table looks removed afterwards. Its entry therefore stays in use,
// marked as missing, until the endpoint has had time to register again. An
// endpoint that was reported to be leaving stays so until its next
// incarnation, even if an older list says otherwise.
//
// A table that comes back from a copy counts its revisions anew in a later era, and has
// lost the newest entries and removals. Lists are ordered by their position in its
// history. Entries that it lost are missing, and those of endpoints that had been
// removed stay hidden until the endpoints are known to be alive.
//
// # Usage
//
//	r := roster.New(clk, drainTime, onChange)
//	r.Replace(entries, at, asOf)
//	r.Update(entries, removed, at, asOf)
//	r.MarkLeaving("i-7f3a91c2", incarnation)
package roster

import (
	"context"
	"fmt"
	"sort"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/coord/table"
	"github.com/banyanshift/banyanshift/internal/decide/balance"
)

const (
	// missingGracePeriod is the time after an outage of the table within which
	// running endpoints register again.
	missingGracePeriod = 2 * clock.Second
	// missingCheckInterval is the time between checks for entries whose grace
	// period has expired.
	missingCheckInterval = 200 * clock.Millisecond
)

// Endpoint is an endpoint with its address.
type Endpoint struct {
	balance.Endpoint
	Address string
	// LeavesIn is the time until a leaving endpoint is reclaimed, or 0 if it
	// is not known.
	LeavesIn clock.Millis
	// ColdFor is how much longer the endpoint is cold, as the entry or the message states
	// that the endpoint comes from. ColdUntil is kept from it.
	ColdFor clock.Millis
	// Missing is set if the entry was removed right after an outage of the
	// table. The endpoint may still be running.
	Missing bool
}

// Roster holds the endpoints. It is safe for concurrent use.
type Roster struct {
	clock     clock.Clock
	drainTime clock.Millis
	onChange  func([]Endpoint)

	mu        sync.Mutex
	endpoints map[string]Endpoint
	// position is the latest position of the table that was applied.
	position table.Position
	digest   uint64
	hasList  bool
	// restored holds what to know of removed endpoints if the table comes back from
	// a copy that still has their entries.
	restored restored
	// told holds the news of other daemons that a read of the table may be behind.
	told told
	// confirmedAt is the latest time at which the list was known to match the
	// table.
	confirmedAt clock.Millis
	// tableUnavailable is set while the table cannot be read. recovering is
	// set after that, from recoveredAt until the grace period of missing
	// entries expires.
	tableUnavailable bool
	recovering       bool
	recoveredAt      clock.Millis
}

// New returns an empty Roster that calls onChange, one call at a time, with
// every new list. drainTime is how long endpoints serve after they announce
// that they are leaving, or 0 if that is not known.
func New(clk clock.Clock, drainTime clock.Millis, onChange func([]Endpoint)) *Roster {
	return &Roster{clock: clk, drainTime: drainTime, onChange: onChange, endpoints: make(map[string]Endpoint), restored: newRestored(), told: make(told)}
}

// MarkTableUnavailable records that the table cannot be read. The next call of
// Replace or Update ends the outage.
func (r *Roster) MarkTableUnavailable() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tableUnavailable = true
}

// Replace replaces the list by that of the table, which was read at asOf.
func (r *Roster) Replace(entries []Endpoint, at table.Position, asOf clock.Millis) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.markTableAvailable(asOf)
	r.replace(entries, at, asOf)
}

func (r *Roster) replace(entries []Endpoint, at table.Position, asOf clock.Millis) {
	if r.hasList && at.Before(r.position) {
		return
	}
	if r.hasList && at.Era > r.position.Era {
		r.enterEra()
	}
	changed := !r.hasList
	listed := make(map[string]bool, len(entries))
	clear(r.restored.hidden)
	for _, entry := range entries {
		listed[entry.ID] = true
		if r.restored.hide(r.clock.Now(), entry) {
			continue
		}
		r.restored.forget(entry.ID)
		changed = r.put(entry) || changed
	}
	for id := range r.endpoints {
		if !listed[id] {
			changed = r.remove(id) || changed
		}
	}
	r.hasList, r.position = true, at
	r.confirmedAt = max(r.confirmedAt, asOf)
	r.publishIf(changed)
}

// enterEra prepares for a list of a table that came back from a copy: endpoints whose
// entries it lost register again.
func (r *Roster) enterEra() {
	now := r.clock.Now()
	r.recovering, r.recoveredAt = true, now
	r.restored.enterEra(now)
}

// Update applies changed and removed entries, which were read from the table
// at asOf. Of entries of which another daemon has told something later, it only takes over
// that they are leaving. It does nothing if the list is of a later era.
func (r *Roster) Update(entries []Endpoint, removed []string, at table.Position, asOf clock.Millis) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if at.Era < r.position.Era {
		return
	}
	r.markTableAvailable(asOf)
	fresh, older := r.told.split(entries, at)
	changed := r.markLeavingEntries(older)
	for _, entry := range fresh {
		r.restored.forget(entry.ID)
		changed = r.put(entry) || changed
	}
	for _, id := range removed {
		if r.told.isNewer(id, at) {
			continue
		}
		r.restored.forget(id)
		changed = r.remove(id) || changed
	}
	if r.position.Before(at) {
		r.position = at
	}
	r.confirmedAt = max(r.confirmedAt, asOf)
	changed = r.removeExpiredMissing() || changed
	r.publishIf(changed)
}

// markTableAvailable ends an outage of the table. asOf is when the read that
// succeeded was sent.
func (r *Roster) markTableAvailable(asOf clock.Millis) {
	if r.tableUnavailable {
		r.tableUnavailable = false
		r.recovering = true
		r.recoveredAt = asOf
	}
}

// put adds or replaces an entry, and reports whether that changed the list.
func (r *Roster) put(entry Endpoint) (changed bool) {
	old, found := r.endpoints[entry.ID]
	if found && old.Incarnation > entry.Incarnation {
		return false
	}
	entry.LeavesAt = 0
	if found && old.Incarnation == entry.Incarnation {
		entry.LeavesAt = r.earliestLeave(old, entry)
		entry.Leaving = entry.Leaving || old.Leaving
	}
	if !found {
		entry.Leaving = entry.Leaving || r.restored.wasLeaving(entry)
	}
	entry.ColdUntil, entry.ColdFor = r.coldUntil(old, entry), 0
	entry.Missing = false
	r.endpoints[entry.ID] = entry
	return !found || entry != old
}

// coldTolerance is the difference between two statements up to which they are of the same
// cold time.
const coldTolerance = 400 * clock.Millisecond

// coldUntil returns the time at which an endpoint has warmed up, 0 if it is not cold. It
// stays the same as long as the entry states about the same, so that the list does not
// change with each heartbeat.
func (r *Roster) coldUntil(old, entry Endpoint) clock.Millis {
	now := r.clock.Now()
	held := clock.Millis(0)
	if old.Incarnation == entry.Incarnation {
		held = old.ColdUntil
	}
	if entry.ColdFor <= 0 {
		if held > now+coldTolerance {
			return 0
		}
		return held
	}
	until := now + entry.ColdFor
	if until-held <= coldTolerance && held-until <= coldTolerance {
		return held
	}
	return until
}

// earliestLeave returns the earliest time at which a leaving endpoint may be
// gone, or 0 if it is not known. The endpoint may have started to leave at any
// time since the list was last confirmed.
func (r *Roster) earliestLeave(old, entry Endpoint) clock.Millis {
	switch {
	case old.Leaving:
		return old.LeavesAt
	case !entry.Leaving || r.drainTime == 0:
		return 0
	case entry.LeavesIn > 0:
		return r.confirmedAt + min(r.drainTime, entry.LeavesIn)
	}
	return r.confirmedAt + r.drainTime
}

// remove deletes an entry, or marks it as missing right after an outage. It reports
// whether that changed the list.
func (r *Roster) remove(id string) (changed bool) {
	entry, found := r.endpoints[id]
	if !found {
		return false
	}
	if r.recovering && !entry.Leaving && r.clock.Now()-r.recoveredAt < missingGracePeriod {
		changed = !entry.Missing
		entry.Missing = true
		r.endpoints[id] = entry
		return changed
	}
	return r.drop(id)
}

// Drop removes endpoints whose entries cannot be used, as read at a position of the table.
// Unlike those that Update removes, they are not missing after an outage, since something else
// stands in their place.
func (r *Roster) Drop(ids []string, at table.Position) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if at.Era < r.position.Era {
		return
	}
	changed := false
	for _, id := range ids {
		if !r.told.isNewer(id, at) {
			changed = r.drop(id) || changed
		}
	}
	r.publishIf(changed)
}

// drop deletes an entry and remembers that it was removed.
func (r *Roster) drop(id string) (changed bool) {
	entry, found := r.endpoints[id]
	if found {
		r.restored.recordRemoval(r.clock.Now(), entry)
		delete(r.endpoints, id)
	}
	return found
}

// removeExpiredMissing removes missing entries once the grace period has
// expired.
func (r *Roster) removeExpiredMissing() (dropped bool) {
	if !r.recovering || r.clock.Now()-r.recoveredAt < missingGracePeriod {
		return false
	}
	r.recovering = false
	for id, entry := range r.endpoints {
		if entry.Missing {
			r.drop(id)
			dropped = true
		}
	}
	return dropped
}

// MarkLeaving records that an incarnation of an endpoint is leaving, whatever the source
// of the report. It reports whether that was news.
func (r *Roster) MarkLeaving(id string, incarnation int64) (marked bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	entry, found := r.endpoints[id]
	if !found || entry.Incarnation != incarnation || !r.markLeaving(entry) {
		return false
	}
	r.publish()
	return true
}

// markLeaving marks an entry of the list as leaving, and reports whether it was not
// so before.
func (r *Roster) markLeaving(entry Endpoint) bool {
	if entry.Leaving {
		return false
	}
	leaving := entry
	leaving.Leaving = true
	leaving.LeavesAt = r.earliestLeave(entry, leaving)
	r.endpoints[entry.ID] = leaving
	return true
}

// Run removes missing entries whose grace period has expired, and adds entries that
// were hidden after the table came back from a copy, until ctx is canceled.
func (r *Roster) Run(ctx context.Context) error {
	for {
		if err := r.clock.Sleep(ctx, missingCheckInterval); err != nil {
			return err
		}
		r.mu.Lock()
		r.told.expire(r.clock.Now())
		removed := r.removeExpiredMissing()
		r.publishIf(r.showHidden() || removed)
		r.mu.Unlock()
	}
}

// showHidden adds the entries whose endpoints are alive after all.
func (r *Roster) showHidden() (shown bool) {
	for _, entry := range r.restored.takeLiving(r.clock.Now()) {
		r.put(entry)
		shown = true
	}
	return shown
}

// publishIf publishes the list if it has changed. Most entries are written again only to
// show that their endpoints are alive. The caller holds mu.
func (r *Roster) publishIf(changed bool) {
	if changed {
		r.publish()
	}
}

// publish updates the digest and calls onChange. The caller holds mu.
func (r *Roster) publish() {
	list := r.list()
	r.digest = listDigest(list)
	r.onChange(list)
}

// listDigest returns a hash of the IDs, incarnations and leaving states of the
// endpoints that are not missing.
func listDigest(list []Endpoint) uint64 {
	hash := xxhash.New()
	for _, entry := range list {
		if !entry.Missing {
			_, _ = fmt.Fprintf(hash, "%s %d %t\n", entry.ID, entry.Incarnation, entry.Leaving)
		}
	}
	return hash.Sum64()
}

// State summarizes the list.
type State struct {
	// Known is false until the first list is received.
	Known bool
	// TableUnavailable reports whether the table cannot be read.
	TableUnavailable bool
	// Digest is equal for daemons that have the same list.
	Digest uint64
	// Position is the latest position of the table that was applied.
	Position table.Position
	// AsOf is the latest time at which the list was known to match the table.
	AsOf clock.Millis
}

// State returns the state of the list.
func (r *Roster) State() State {
	r.mu.Lock()
	defer r.mu.Unlock()
	return State{Known: r.hasList, TableUnavailable: r.tableUnavailable, Digest: r.digest, Position: r.position, AsOf: r.confirmedAt}
}

// Confirm records that a daemon knew its list to match the table, in an era, at asOf. It
// has no effect if that daemon's list differs from this one or is of an earlier era.
func (r *Roster) Confirm(digest, era uint64, asOf clock.Millis) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.hasList && r.digest == digest && era >= r.position.Era {
		r.confirmedAt = max(r.confirmedAt, asOf)
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

// List returns all endpoints, the position of the list and the latest time at
// which it was known to match the table. known is false until the first list is
// received.
func (r *Roster) List() (list []Endpoint, at table.Position, asOf clock.Millis, known bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.list(), r.position, r.confirmedAt, r.hasList
}
