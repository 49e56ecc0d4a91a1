package state

import (
	"encoding/binary"
	"sort"
	"strings"

	"github.com/banyanshift/banyanshift/internal/config/entity"
)

// teamTable stores teams in numbered slots. A slot belongs to one team name for
// the life of the table, even while the team does not exist, so that keys and
// routes can refer to teams by slot.
type teamTable struct {
	records []teamRecord
	slots   map[string]uint32
}

type teamRecord struct {
	name     string
	revision uint64
	weight   int32
	exists   bool
	disabled bool
}

func newTeamTable() teamTable {
	return teamTable{slots: make(map[string]uint32)}
}

// ensureSlot returns the slot of the name. It adds a slot if there is none.
func (t *teamTable) ensureSlot(name string) uint32 {
	if slot, known := t.slots[name]; known {
		return slot
	}
	slot := uint32(len(t.records))
	name = strings.Clone(name)
	t.records = append(t.records, teamRecord{name: name})
	t.slots[name] = slot
	return slot
}

func (t *teamTable) find(name string) (uint32, bool) {
	slot, known := t.slots[name]
	return slot, known
}

func (t *teamTable) put(team entity.Team, revision uint64) {
	record := &t.records[t.ensureSlot(team.Name)]
	record.exists = true
	record.weight = int32(team.Weight)
	record.disabled = team.Disabled
	record.revision = revision
}

func (t *teamTable) remove(name string) {
	slot, known := t.slots[name]
	if !known {
		return
	}
	t.records[slot] = teamRecord{name: t.records[slot].name}
}

func (t *teamTable) enabled(slot uint32) bool {
	record := &t.records[slot]
	return record.exists && !record.disabled
}

func (t *teamTable) revision(name string) uint64 {
	slot, known := t.slots[name]
	if !known {
		return 0
	}
	return t.records[slot].revision
}

func (t *teamTable) entity(slot uint32) entity.Team {
	record := &t.records[slot]
	return entity.Team{Name: record.name, Weight: int(record.weight), Disabled: record.disabled}
}

func (t *teamTable) all() []entity.Team {
	teams := make([]entity.Team, 0, len(t.records))
	for slot := range t.records {
		if t.records[slot].exists {
			teams = append(teams, t.entity(uint32(slot)))
		}
	}
	sort.Slice(teams, func(i, j int) bool { return teams[i].Name < teams[j].Name })
	return teams
}

// keyTable stores keys in records that are indexed by id and by hash.
type keyTable struct {
	records []keyRecord
	free    []uint32
	ids     map[string]uint32
	// hashes maps the first 8 bytes of a hash to its record. collisions maps
	// the full hashes of the other records with the same first 8 bytes.
	hashes     map[uint64]uint32
	collisions map[[32]byte]uint32
	classes    nameTable
}

type keyRecord struct {
	id        string
	hash      [32]byte
	revision  uint64
	team      uint32
	class     uint16
	withdrawn bool
}

func newKeyTable() keyTable {
	return keyTable{
		ids:        make(map[string]uint32),
		hashes:     make(map[uint64]uint32),
		collisions: make(map[[32]byte]uint32),
		classes:    newNameTable(),
	}
}

func (t *keyTable) get(id string) (*keyRecord, bool) {
	index, known := t.ids[id]
	if !known {
		return nil, false
	}
	return &t.records[index], true
}

func (t *keyTable) byHash(hash [32]byte) (*keyRecord, bool) {
	index, known := t.hashes[hashPrefix(hash)]
	if !known {
		return nil, false
	}
	if t.records[index].hash == hash {
		return &t.records[index], true
	}
	index, known = t.collisions[hash]
	if !known {
		return nil, false
	}
	return &t.records[index], true
}

// put stores the key. A withdrawn key stays withdrawn.
func (t *keyTable) put(key entity.Key, revision uint64, team uint32) {
	withdrawn := key.Withdrawn
	if old, found := t.get(key.ID); found {
		withdrawn = withdrawn || old.withdrawn
		t.remove(key.ID)
	}
	index := t.allocate()
	id := strings.Clone(key.ID)
	t.records[index] = keyRecord{
		id:        id,
		hash:      key.Hash,
		revision:  revision,
		team:      team,
		class:     t.classes.intern(key.Class),
		withdrawn: withdrawn,
	}
	t.ids[id] = index
	t.indexHash(key.Hash, index)
}

func (t *keyTable) allocate() uint32 {
	if last := len(t.free) - 1; last >= 0 {
		index := t.free[last]
		t.free = t.free[:last]
		return index
	}
	t.records = append(t.records, keyRecord{})
	return uint32(len(t.records) - 1)
}

func (t *keyTable) indexHash(hash [32]byte, index uint32) {
	prefix := hashPrefix(hash)
	if _, taken := t.hashes[prefix]; taken {
		t.collisions[hash] = index
		return
	}
	t.hashes[prefix] = index
}

func (t *keyTable) remove(id string) {
	index, known := t.ids[id]
	if !known {
		return
	}
	hash := t.records[index].hash
	delete(t.ids, id)
	t.records[index] = keyRecord{}
	t.free = append(t.free, index)
	if t.collisions[hash] == index {
		delete(t.collisions, hash)
	}
	prefix := hashPrefix(hash)
	if t.hashes[prefix] != index {
		return
	}
	delete(t.hashes, prefix)
	t.promote(prefix)
}

// promote moves one colliding record, if any, to the freed hash prefix.
func (t *keyTable) promote(prefix uint64) {
	for hash, index := range t.collisions {
		if hashPrefix(hash) == prefix {
			delete(t.collisions, hash)
			t.hashes[prefix] = index
			return
		}
	}
}

func hashPrefix(hash [32]byte) uint64 {
	return binary.LittleEndian.Uint64(hash[:8])
}

// nameTable maps often repeated strings to small numbers to save memory.
type nameTable struct {
	list    []string
	indices map[string]uint16
}

func newNameTable() nameTable {
	return nameTable{list: []string{""}, indices: map[string]uint16{"": 0}}
}

func (n *nameTable) intern(name string) uint16 {
	if index, known := n.indices[name]; known {
		return index
	}
	index := uint16(len(n.list))
	name = strings.Clone(name)
	n.list = append(n.list, name)
	n.indices[name] = index
	return index
}

func (n *nameTable) name(index uint16) string {
	return n.list[index]
}

// route is a route and the set of its teams' slots.
type route struct {
	value    entity.Route
	revision uint64
	teams    bitset
}

// newRoute replaces the strings in value.Teams by those of the team table, so
// that each name is in memory once.
func newRoute(value entity.Route, revision uint64, teams *teamTable) *route {
	r := &route{value: value, revision: revision}
	for i, team := range value.Teams {
		slot := teams.ensureSlot(team)
		value.Teams[i] = teams.records[slot].name
		r.teams.add(slot)
	}
	return r
}

// matches reports whether path equals the route's prefix or is below it.
func (r *route) matches(path string) bool {
	prefix := r.value.Prefix
	if prefix == "" || !strings.HasPrefix(path, prefix) {
		return false
	}
	return len(path) == len(prefix) || strings.HasSuffix(prefix, "/") || path[len(prefix)] == '/'
}

type bitset []uint64

func (b *bitset) add(index uint32) {
	word := int(index / 64)
	for len(*b) <= word {
		*b = append(*b, 0)
	}
	(*b)[word] |= 1 << (index % 64)
}

func (b bitset) has(index uint32) bool {
	word := int(index / 64)
	return word < len(b) && b[word]&(1<<(index%64)) != 0
}
