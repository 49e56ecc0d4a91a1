// Package state holds the configuration that is in force in this process: the
// teams, keys, classes, routes and back ends after a certain change of the
// configuration log, and the keys that are denied ahead of the log.
//
// Changes are applied in the order of their sequence numbers; what is already
// applied is ignored, so the state never reverts. Teams and keys, of which
// there are tens of thousands, are kept in compact records.
//
// # Usage
//
//	s := state.New()
//	err := s.Apply(change)
//
//	key, team, err := s.Authenticate(sha256.Sum256(secret))
//	switch {
//	case errors.Is(err, state.ErrKeyWithdrawn): ...
//	}
//	select {
//	case <-s.KeyInvalidated(key.ID): // withdrawn while the request runs
//	case <-done:
//	}
//
// Entities are encoded for the log with PutWrite and DeleteWrite:
//
//	write, err := state.PutWrite(entity.Team{Name: "everest", Weight: 1})
package state

import (
	"errors"
	"fmt"
	"sort"
	"sync"

	"github.com/banyanshift/banyanshift/coord/changelog"
	"github.com/banyanshift/banyanshift/internal/config/entity"
)

// Errors of Authenticate and Apply.
var (
	// ErrKeyUnknown says that no key has this hash.
	ErrKeyUnknown = errors.New("state: key is unknown")
	// ErrKeyWithdrawn says that the key is withdrawn or denied.
	ErrKeyWithdrawn = errors.New("state: key is withdrawn")
	// ErrTeamDisabled says that the key's team is disabled or deleted.
	ErrTeamDisabled = errors.New("state: team is disabled")
	// ErrSequenceGap says that the change is not the next one.
	ErrSequenceGap = errors.New("state: earlier changes are missing")
)

// State is the configuration in force. It is safe for concurrent use.
type State struct {
	mu       sync.RWMutex
	sequence uint64
	changed  chan struct{}
	teams    teamTable
	keys     keyTable
	classes  map[string]versioned[entity.Class]
	routes   map[string]*route
	backends map[string]versioned[entity.Backend]
	denied   map[string]struct{}
	// ended holds the channels handed out by KeyInvalidated that are still open.
	ended map[string]chan struct{}
}

type versioned[E any] struct {
	value    E
	revision uint64
}

// New returns the empty state, before the first change.
func New() *State {
	s := &State{
		changed: make(chan struct{}),
		denied:  make(map[string]struct{}),
		ended:   make(map[string]chan struct{}),
	}
	s.clear()
	return s
}

func (s *State) clear() {
	s.teams = newTeamTable()
	s.keys = newKeyTable()
	s.classes = make(map[string]versioned[entity.Class])
	s.routes = make(map[string]*route)
	s.backends = make(map[string]versioned[entity.Backend])
}

// Apply puts the change in force. A change that is already applied is ignored.
// A change that is not the next one is refused with ErrSequenceGap.
func (s *State) Apply(change changelog.Change) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if change.Sequence <= s.sequence {
		return nil
	}
	if change.Sequence != s.sequence+1 {
		return fmt.Errorf("%w: at %d, got %d", ErrSequenceGap, s.sequence, change.Sequence)
	}
	decoded, err := decodeAll(change.Writes)
	if err != nil {
		return fmt.Errorf("change %d: %w", change.Sequence, err)
	}
	for i, write := range change.Writes {
		s.set(write.Entity, write.Revision, decoded[i])
	}
	s.sequence = change.Sequence
	s.announce()
	return nil
}

func decodeAll(writes []changelog.EntityWrite) ([]any, error) {
	decoded := make([]any, len(writes))
	for i, write := range writes {
		if write.Deleted {
			continue
		}
		value, err := Decode(write.Entity, write.Value)
		if err != nil {
			return nil, fmt.Errorf("entity %s: %w", write.Entity, err)
		}
		decoded[i] = value
	}
	return decoded, nil
}

// set stores one decoded entity; nil deletes it.
func (s *State) set(entityName string, revision uint64, value any) {
	kind, name := SplitName(entityName)
	switch typed := value.(type) {
	case entity.Team:
		s.teams.put(typed, revision)
	case entity.Key:
		s.keys.put(typed, revision, s.teams.slot(typed.Team))
	case entity.Class:
		s.classes[name] = versioned[entity.Class]{value: typed, revision: revision}
	case entity.Route:
		s.routes[name] = newRoute(typed, revision, &s.teams)
	case entity.Backend:
		s.backends[name] = versioned[entity.Backend]{value: typed, revision: revision}
	case nil:
		s.remove(kind, name)
	}
}

func (s *State) remove(kind entity.Kind, name string) {
	switch kind {
	case entity.KindTeam:
		s.teams.remove(name)
	case entity.KindKey:
		s.keys.remove(name)
	case entity.KindClass:
		delete(s.classes, name)
	case entity.KindRoute:
		delete(s.routes, name)
	case entity.KindBackend:
		delete(s.backends, name)
	}
}

// announce closes the channels of everything that ended and of Changed.
func (s *State) announce() {
	for keyID, ended := range s.ended {
		if s.admits(keyID) != nil {
			close(ended)
			delete(s.ended, keyID)
		}
	}
	for keyID := range s.denied {
		if key, found := s.keys.get(keyID); found && key.withdrawn {
			delete(s.denied, keyID)
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// Sequence returns the number of the last change in force, 0 for none.
func (s *State) Sequence() uint64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.sequence
}

// Changed returns a channel that is closed at the next change or denial.
func (s *State) Changed() <-chan struct{} {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.changed
}

// Authenticate returns the key with this hash and its team, or ErrKeyUnknown,
// ErrKeyWithdrawn or ErrTeamDisabled.
func (s *State) Authenticate(hash [32]byte) (entity.Key, entity.Team, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	record, found := s.keys.byHash(hash)
	if !found {
		return entity.Key{}, entity.Team{}, ErrKeyUnknown
	}
	if err := s.admitsRecord(record); err != nil {
		return entity.Key{}, entity.Team{}, err
	}
	return s.key(record), s.teams.entity(record.team), nil
}

func (s *State) admits(keyID string) error {
	record, found := s.keys.get(keyID)
	if !found {
		return ErrKeyUnknown
	}
	return s.admitsRecord(record)
}

func (s *State) admitsRecord(record *keyRecord) error {
	if _, denied := s.denied[record.id]; denied || record.withdrawn {
		return ErrKeyWithdrawn
	}
	if !s.teams.serves(record.team) {
		return ErrTeamDisabled
	}
	return nil
}

func (s *State) key(record *keyRecord) entity.Key {
	return entity.Key{
		ID:        record.id,
		Team:      s.teams.records[record.team].name,
		Hash:      record.hash,
		Withdrawn: record.withdrawn,
		Class:     s.keys.classes.name(record.class),
	}
}

// KeyInvalidated returns a channel that is closed when the key is no longer
// admitted: it is withdrawn, denied or deleted, or its team is disabled.
func (s *State) KeyInvalidated(keyID string) <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if ended, watched := s.ended[keyID]; watched {
		return ended
	}
	ended := make(chan struct{})
	if s.admits(keyID) != nil {
		close(ended)
		return ended
	}
	s.ended[keyID] = ended
	return ended
}

// Deny refuses the key from now on, ahead of the log.
func (s *State) Deny(keyID string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.denied[keyID] = struct{}{}
	s.announce()
}

// Undeny takes a Deny back, once it is known that the log does not withdraw
// the key.
func (s *State) Undeny(keyID string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.denied, keyID)
	s.announce()
}

// DeniedKeys returns the keys that are denied ahead of the log, sorted.
func (s *State) DeniedKeys() []string {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return sortedKeys(s.denied)
}

// Route returns the route of this name.
func (s *State) Route(name string) (entity.Route, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	found, ok := s.routes[name]
	if !ok {
		return entity.Route{}, false
	}
	return found.value, true
}

// RouteForPath returns the route whose prefix is the longest that holds path.
// A prefix holds itself and what follows it after a slash.
func (s *State) RouteForPath(path string) (entity.Route, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	var best *route
	for _, candidate := range s.routes {
		if candidate.holds(path) && (best == nil || len(candidate.value.Prefix) > len(best.value.Prefix)) {
			best = candidate
		}
	}
	if best == nil {
		return entity.Route{}, false
	}
	return best.value, true
}

// Allowed reports whether the route admits the team. It takes the same time
// however many teams the route lists.
func (s *State) Allowed(routeName, team string) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	found, ok := s.routes[routeName]
	if !ok {
		return false
	}
	if found.value.OpenToAll {
		return true
	}
	slot, known := s.teams.find(team)
	return known && found.teams.has(slot)
}

// Class returns the class of this name.
func (s *State) Class(name string) (entity.Class, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	found, ok := s.classes[name]
	return found.value, ok
}

// Backend returns the back end of this name.
func (s *State) Backend(name string) (entity.Backend, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	found, ok := s.backends[name]
	return found.value, ok
}

// Team returns the team of this name.
func (s *State) Team(name string) (entity.Team, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	slot, known := s.teams.find(name)
	if !known || !s.teams.records[slot].exists {
		return entity.Team{}, false
	}
	return s.teams.entity(slot), true
}

// Key returns the key of this id, whether admitted or not.
func (s *State) Key(id string) (entity.Key, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	record, found := s.keys.get(id)
	if !found {
		return entity.Key{}, false
	}
	return s.key(record), true
}

// Revision returns the revision of an entity, 0 when it does not exist.
func (s *State) Revision(kind entity.Kind, name string) uint64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	switch kind {
	case entity.KindTeam:
		return s.teams.revision(name)
	case entity.KindKey:
		if record, found := s.keys.get(name); found {
			return record.revision
		}
	case entity.KindClass:
		return s.classes[name].revision
	case entity.KindRoute:
		if found, ok := s.routes[name]; ok {
			return found.revision
		}
	case entity.KindBackend:
		return s.backends[name].revision
	}
	return 0
}

// Routes returns all routes in the order of their names.
func (s *State) Routes() []entity.Route {
	s.mu.RLock()
	defer s.mu.RUnlock()
	routes := make([]entity.Route, 0, len(s.routes))
	for _, name := range sortedKeys(s.routes) {
		routes = append(routes, s.routes[name].value)
	}
	return routes
}

// Classes returns all classes in the order of their names.
func (s *State) Classes() []entity.Class {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return sortedValues(s.classes)
}

// Backends returns all back ends in the order of their names.
func (s *State) Backends() []entity.Backend {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return sortedValues(s.backends)
}

// Teams returns all teams in the order of their names.
func (s *State) Teams() []entity.Team {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.teams.all()
}

// Keys returns the keys of a team in the order of their ids, or of all teams
// when team is empty.
func (s *State) Keys(team string) []entity.Key {
	s.mu.RLock()
	defer s.mu.RUnlock()
	var keys []entity.Key
	for i := range s.keys.records {
		record := &s.keys.records[i]
		if record.id != "" && (team == "" || s.teams.records[record.team].name == team) {
			keys = append(keys, s.key(record))
		}
	}
	sort.Slice(keys, func(i, j int) bool { return keys[i].ID < keys[j].ID })
	return keys
}

func sortedKeys[V any](values map[string]V) []string {
	names := make([]string, 0, len(values))
	for name := range values {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

func sortedValues[E any](values map[string]versioned[E]) []E {
	all := make([]E, 0, len(values))
	for _, name := range sortedKeys(values) {
		all = append(all, values[name].value)
	}
	return all
}
