package roster

import "github.com/banyanshift/banyanshift/coord/clock"

const (
	// hidingTime is how long entries of removed endpoints are hidden in a table that
	// came back from a copy. Until then the platform removes those whose endpoints
	// do not renew them.
	hidingTime = 5 * clock.Second
	// removalMemory is how long removed endpoints are remembered. A copy is not older
	// than that.
	removalMemory = clock.Minute
)

// removal is the removal of an entry.
type removal struct {
	incarnation int64
	leaving     bool
	at          clock.Millis
	// returned is set once the table has said something new of the endpoint.
	returned bool
}

// restored knows the endpoints that were removed, and hides their entries if the table
// comes back from a copy.
type restored struct {
	removals map[string]removal
	// hidden holds the hidden entries, until hidingTime after enteredAt.
	hidden    map[string]Endpoint
	enteredAt clock.Millis
	hiding    bool
}

func newRestored() restored {
	return restored{removals: make(map[string]removal), hidden: make(map[string]Endpoint)}
}

// recordRemoval remembers that the entry of an endpoint was removed.
func (s *restored) recordRemoval(now clock.Millis, entry Endpoint) {
	for id, old := range s.removals {
		if now-old.at > removalMemory {
			delete(s.removals, id)
		}
	}
	s.removals[entry.ID] = removal{incarnation: entry.Incarnation, leaving: entry.Leaving, at: now}
}

// enterEra starts to hide entries of removed endpoints.
func (s *restored) enterEra(now clock.Millis) {
	s.hiding, s.enteredAt = true, now
	clear(s.hidden)
}

// hide reports whether an entry of the table is to be hidden, and keeps it.
func (s *restored) hide(now clock.Millis, entry Endpoint) bool {
	removed, found := s.removals[entry.ID]
	if !s.hiding || !found || removed.returned || entry.Incarnation > removed.incarnation || now-removed.at > removalMemory {
		return false
	}
	s.hidden[entry.ID] = entry
	return true
}

// forget is called when the table says something new of an endpoint.
func (s *restored) forget(id string) {
	delete(s.hidden, id)
	if removed, found := s.removals[id]; found {
		removed.returned = true
		s.removals[id] = removed
	}
}

// wasLeaving reports whether the incarnation was leaving when its entry was removed.
func (s *restored) wasLeaving(entry Endpoint) bool {
	removed, found := s.removals[entry.ID]
	return found && removed.leaving && removed.incarnation == entry.Incarnation
}

// takeLiving returns the hidden entries that the table still has after hidingTime.
func (s *restored) takeLiving(now clock.Millis) (living []Endpoint) {
	if !s.hiding || now-s.enteredAt < hidingTime {
		return nil
	}
	s.hiding = false
	for id, entry := range s.hidden {
		living = append(living, entry)
		s.forget(id)
	}
	return living
}
