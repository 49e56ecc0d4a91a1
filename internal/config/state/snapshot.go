package state

import (
	"fmt"

	"github.com/samber/oops"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/banyanshift/banyanshift/coord/changelog"
	"github.com/banyanshift/banyanshift/internal/config/entity"
)

// LoadSnapshot replaces the state by the snapshot. It does nothing if the state
// is already at least as new. Denied keys stay denied.
func (s *State) LoadSnapshot(snapshot changelog.Snapshot) (err error) {
	defer func() { err = oops.Wrapf(err, "load snapshot %d", snapshot.Sequence) }()
	loaded := New()
	for _, entry := range snapshot.Entries {
		value, err := Decode(entry.Entity, entry.Value)
		if err != nil {
			return fmt.Errorf("entity %s: %w", entry.Entity, err)
		}
		loaded.set(entry.Entity, entry.Revision, value)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if snapshot.Sequence <= s.sequence {
		return nil
	}
	s.teams = loaded.teams
	s.keys = loaded.keys
	s.classes = loaded.classes
	s.routes = loaded.routes
	s.backends = loaded.backends
	s.sequence = snapshot.Sequence
	s.notify()
	return nil
}

// Snapshot returns the state as a snapshot of the change log.
func (s *State) Snapshot() (snapshot changelog.Snapshot, err error) {
	defer func() { err = oops.Wrapf(err, "take snapshot") }()
	s.mu.RLock()
	defer s.mu.RUnlock()
	b := &snapshotBuilder{}
	for slot := range s.teams.records {
		if record := &s.teams.records[slot]; record.exists {
			b.add(entity.KindTeam, record.name, record.revision, s.teams.entity(uint32(slot)))
		}
	}
	for i := range s.keys.records {
		if record := &s.keys.records[i]; record.id != "" {
			b.add(entity.KindKey, record.id, record.revision, s.keyEntity(record))
		}
	}
	for name, class := range s.classes {
		b.add(entity.KindClass, name, class.revision, class.value)
	}
	for name, route := range s.routes {
		b.add(entity.KindRoute, name, route.revision, route.value)
	}
	for name, backend := range s.backends {
		b.add(entity.KindBackend, name, backend.revision, backend.value)
	}
	return changelog.Snapshot{Sequence: s.sequence, Entries: b.entries}, b.err
}

// snapshotBuilder encodes entities and keeps the last encoding error.
type snapshotBuilder struct {
	entries []changelog.Entry
	err     error
}

func (b *snapshotBuilder) add(kind entity.Kind, name string, revision uint64, value any) {
	encoded, err := msgpack.Marshal(value)
	if err != nil {
		b.err = err
		return
	}
	b.entries = append(b.entries, changelog.Entry{Entity: EntityName(kind, name), Revision: revision, Value: encoded})
}
