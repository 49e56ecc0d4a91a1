// Package state holds this process's current configuration in memory: the
// teams, keys, classes, routes and back ends as of one sequence number of the
// configuration change log, and the keys that are denied before the log
// withdraws them.
//
// Changes are applied in the order of their sequence numbers. Changes that are
// already applied are ignored, so the state never goes back. Teams and keys are
// stored in compact records, since there are tens of thousands of them.
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
// PutWrite and DeleteWrite encode writes of entities for the log:
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
	// ErrKeyUnknown is returned when no key has the hash.
	ErrKeyUnknown = errors.New("state: key is unknown")
	// ErrKeyWithdrawn is returned when the key is withdrawn or denied.
	ErrKeyWithdrawn = errors.New("state: key is withdrawn")
	// ErrTeamDisabled is returned when the key's team is disabled or deleted.
	ErrTeamDisabled = errors.New("state: team is disabled")
	// ErrSequenceGap is returned when a change does not follow the last applied
	// one.
	ErrSequenceGap = errors.New("state: earlier changes are missing")
)

// State is the current configuration. It is safe for concurrent use.
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
	// keyWatches maps key ids to the open channels that KeyInvalidated returned.
	keyWatches map[string]chan struct{}
}

type versioned[E any] struct {
	value    E
	revision uint64
}

// New returns an empty state with sequence number 0.
func New() *State {
	s := &State{
		changed:    make(chan struct{}),
		denied:     make(map[string]struct{}),
		keyWatches: make(map[string]chan struct{}),
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

// Apply applies the change. It ignores a change that is already applied and
// returns ErrSequenceGap if earlier changes are missing.
func (s *State) Apply(change changelog.Change) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if change.Sequence <= s.sequence {
		return nil
	}
	if change.Sequence != s.sequence+1 {
		return fmt.Errorf("%w: at %d, got %d", ErrSequenceGap, s.sequence, change.Sequence)
	}
	decoded, err := decodeWrites(change.Writes)
	if err != nil {
		return fmt.Errorf("change %d: %w", change.Sequence, err)
	}
	for i, write := range change.Writes {
		s.set(write.Entity, write.Revision, decoded[i])
	}
	s.sequence = change.Sequence
	s.notify()
	return nil
}

func decodeWrites(writes []changelog.EntityWrite) ([]any, error) {
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

// set stores one decoded entity. A nil value deletes the entity.
func (s *State) set(entityName string, revision uint64, value any) {
	kind, name := SplitName(entityName)
	switch typed := value.(type) {
	case entity.Team:
		s.teams.put(typed, revision)
	case entity.Key:
		s.keys.put(typed, revision, s.teams.ensureSlot(typed.Team))
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

// notify closes the channels of invalidated keys and of Changed. It also drops
// the denials that the log has confirmed by withdrawing the key.
func (s *State) notify() {
	for keyID, invalidated := range s.keyWatches {
		if s.checkKey(keyID) != nil {
			close(invalidated)
			delete(s.keyWatches, keyID)
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

// Sequence returns the sequence number of the last applied change, 0 for none.
func (s *State) Sequence() uint64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.sequence
}

// Changed returns a channel that is closed when the configuration or the set of
// denied keys changes next.
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
	if err := s.checkRecord(record); err != nil {
		return entity.Key{}, entity.Team{}, err
	}
	return s.keyEntity(record), s.teams.entity(record.team), nil
}

// checkKey returns the reason why Authenticate would refuse the key, or nil.
func (s *State) checkKey(keyID string) error {
	record, found := s.keys.get(keyID)
	if !found {
		return ErrKeyUnknown
	}
	return s.checkRecord(record)
}

func (s *State) checkRecord(record *keyRecord) error {
	if _, denied := s.denied[record.id]; denied || record.withdrawn {
		return ErrKeyWithdrawn
	}
	if !s.teams.enabled(record.team) {
		return ErrTeamDisabled
	}
	return nil
}

func (s *State) keyEntity(record *keyRecord) entity.Key {
	return entity.Key{
		ID:        record.id,
		Team:      s.teams.records[record.team].name,
		Hash:      record.hash,
		Withdrawn: record.withdrawn,
		Class:     s.keys.classes.name(record.class),
	}
}

// KeyInvalidated returns a channel that is closed when the key is no longer
// valid: when the key is withdrawn, denied or deleted, or its team is disabled
// or deleted.
func (s *State) KeyInvalidated(keyID string) <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if invalidated, watched := s.keyWatches[keyID]; watched {
		return invalidated
	}
	invalidated := make(chan struct{})
	if s.checkKey(keyID) != nil {
		close(invalidated)
		return invalidated
	}
	s.keyWatches[keyID] = invalidated
	return invalidated
}

// Deny makes Authenticate refuse the key at once, before the log withdraws it.
func (s *State) Deny(keyID string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.denied[keyID] = struct{}{}
	s.notify()
}

// Undeny reverses Deny. Call it once it is known that the log will not withdraw
// the key.
func (s *State) Undeny(keyID string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.denied, keyID)
	s.notify()
}

// DeniedKeys returns the sorted ids of the keys that are denied but not yet
// withdrawn by the log.
func (s *State) DeniedKeys() []string {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return sortedKeys(s.denied)
}

// Route returns the route with the given name.
func (s *State) Route(name string) (entity.Route, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	found, ok := s.routes[name]
	if !ok {
		return entity.Route{}, false
	}
	return found.value, true
}

// RouteForPath returns the route with the longest prefix that matches path. A
// prefix matches the path that equals it and all paths below it.
func (s *State) RouteForPath(path string) (entity.Route, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	var best *route
	for _, candidate := range s.routes {
		if candidate.matches(path) && (best == nil || len(candidate.value.Prefix) > len(best.value.Prefix)) {
			best = candidate
		}
	}
	if best == nil {
		return entity.Route{}, false
	}
	return best.value, true
}

// Allowed reports whether the team may use the route. The check takes constant
// time, regardless of how many teams the route lists.
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

// Class returns the class with the given name.
func (s *State) Class(name string) (entity.Class, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	found, ok := s.classes[name]
	return found.value, ok
}

// Backend returns the back end with the given name.
func (s *State) Backend(name string) (entity.Backend, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	found, ok := s.backends[name]
	return found.value, ok
}

// Team returns the team with the given name.
func (s *State) Team(name string) (entity.Team, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	slot, known := s.teams.find(name)
	if !known || !s.teams.records[slot].exists {
		return entity.Team{}, false
	}
	return s.teams.entity(slot), true
}

// Key returns the key with the given id, also if it is withdrawn or denied.
func (s *State) Key(id string) (entity.Key, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	record, found := s.keys.get(id)
	if !found {
		return entity.Key{}, false
	}
	return s.keyEntity(record), true
}

// Revision returns the revision of an entity, or 0 if it does not exist.
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

// Routes returns all routes, sorted by name.
func (s *State) Routes() []entity.Route {
	s.mu.RLock()
	defer s.mu.RUnlock()
	routes := make([]entity.Route, 0, len(s.routes))
	for _, name := range sortedKeys(s.routes) {
		routes = append(routes, s.routes[name].value)
	}
	return routes
}

// Classes returns all classes, sorted by name.
func (s *State) Classes() []entity.Class {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return sortedValues(s.classes)
}

// Backends returns all back ends, sorted by name.
func (s *State) Backends() []entity.Backend {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return sortedValues(s.backends)
}

// Teams returns all teams, sorted by name.
func (s *State) Teams() []entity.Team {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.teams.all()
}

// Keys returns the keys of a team, or of all teams if team is empty, sorted by
// id.
func (s *State) Keys(team string) []entity.Key {
	s.mu.RLock()
	defer s.mu.RUnlock()
	var keys []entity.Key
	for i := range s.keys.records {
		record := &s.keys.records[i]
		if record.id != "" && (team == "" || s.teams.records[record.team].name == team) {
			keys = append(keys, s.keyEntity(record))
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
