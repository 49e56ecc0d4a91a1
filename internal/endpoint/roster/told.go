package roster

import (
	"maps"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/coord/table"
)

// toldMemory is how long news of other daemons is remembered. A read of the table is not
// under way for longer.
const toldMemory = 10 * clock.Second

// news is what another daemon told last of an endpoint.
type news struct {
	position table.Position
	at       clock.Millis
}

// told knows of which endpoints other daemons told news, so that a read of the table that was
// under way meanwhile does not undo it.
type told map[string]news

// record remembers that another daemon knew the endpoint's entry at a position.
func (t told) record(now clock.Millis, id string, position table.Position) {
	t[id] = news{position: position, at: now}
}

// isNewer reports whether another daemon told of the endpoint's entry at a later position.
func (t told) isNewer(id string, position table.Position) bool {
	known, found := t[id]
	return found && position.Before(known.position)
}

// split returns which entries of a read at a position are news, and of which another daemon
// told of a later position.
func (t told) split(entries []Endpoint, position table.Position) (fresh, older []Endpoint) {
	if len(t) == 0 {
		return entries, nil
	}
	for _, entry := range entries {
		if t.isNewer(entry.ID, position) {
			older = append(older, entry)
		} else {
			fresh = append(fresh, entry)
		}
	}
	return fresh, older
}

// expire forgets old news.
func (t told) expire(now clock.Millis) {
	maps.DeleteFunc(t, func(_ string, known news) bool { return now-known.at > toldMemory })
}
