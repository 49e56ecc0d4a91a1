package state

import (
	"crypto/sha256"
	"errors"
	"fmt"
	"reflect"
	"runtime"
	"testing"

	"github.com/banyanshift/banyanshift/coord/changelog"
	"github.com/banyanshift/banyanshift/internal/config/entity"
)

func change(t testing.TB, sequence uint64, entities ...any) changelog.Change {
	t.Helper()
	result := changelog.Change{Sequence: sequence}
	for _, e := range entities {
		write, err := PutWrite(e)
		if err != nil {
			t.Fatal(err)
		}
		result.Writes = append(result.Writes, changelog.EntityWrite{Entity: write.Entity, Revision: sequence, Value: write.Value})
	}
	return result
}

func key(id, team string) entity.Key {
	return entity.Key{ID: id, Team: team, Hash: sha256.Sum256([]byte(id))}
}

func closed(channel <-chan struct{}) bool {
	select {
	case <-channel:
		return true
	default:
		return false
	}
}

func mustApply(t *testing.T, s *State, next changelog.Change) {
	t.Helper()
	if err := s.Apply(next); err != nil {
		t.Fatal(err)
	}
}

func TestApplyNeverReverts(t *testing.T) {
	s := New()
	first := change(t, 1, entity.Team{Name: "everest", Weight: 1})
	second := change(t, 2, entity.Team{Name: "everest", Weight: 2})
	mustApply(t, s, first)
	mustApply(t, s, second)
	mustApply(t, s, first)
	if team, _ := s.Team("everest"); team.Weight != 2 || s.Sequence() != 2 {
		t.Errorf("after a repeated change: weight %d at %d, want 2 at 2", team.Weight, s.Sequence())
	}
	if err := s.Apply(change(t, 4, entity.Team{Name: "everest", Weight: 4})); !errors.Is(err, ErrSequenceGap) {
		t.Errorf("change after a gap: %v, want ErrSequenceGap", err)
	}
	if err := s.LoadSnapshot(changelog.Snapshot{Sequence: 1}); err != nil || s.Sequence() != 2 {
		t.Errorf("old snapshot: %v, sequence %d, want it ignored", err, s.Sequence())
	}
}

func TestAuthenticate(t *testing.T) {
	tests := []struct {
		name string
		do   func(s *State)
		want error
	}{
		{"admitted", func(*State) {}, nil},
		{"withdrawn", func(s *State) {
			withdrawn := key("k1", "everest")
			withdrawn.Withdrawn = true
			mustApply(t, s, change(t, 2, withdrawn))
		}, ErrKeyWithdrawn},
		{"withdrawn key stays withdrawn", func(s *State) {
			withdrawn := key("k1", "everest")
			withdrawn.Withdrawn = true
			mustApply(t, s, change(t, 2, withdrawn))
			mustApply(t, s, change(t, 3, key("k1", "everest")))
		}, ErrKeyWithdrawn},
		{"denied", func(s *State) { s.Deny("k1") }, ErrKeyWithdrawn},
		{"denied and undenied", func(s *State) { s.Deny("k1"); s.Undeny("k1") }, nil},
		{"denied across a snapshot", func(s *State) {
			s.Deny("k1")
			snapshot, _ := s.Snapshot()
			snapshot.Sequence = 9
			if err := s.LoadSnapshot(snapshot); err != nil {
				t.Fatal(err)
			}
		}, ErrKeyWithdrawn},
		{"team disabled", func(s *State) {
			mustApply(t, s, change(t, 2, entity.Team{Name: "everest", Weight: 1, Disabled: true}))
		}, ErrTeamDisabled},
		{"team deleted", func(s *State) {
			mustApply(t, s, changelog.Change{Sequence: 2, Writes: []changelog.EntityWrite{{Entity: "Team/everest", Deleted: true}}})
		}, ErrTeamDisabled},
		{"key deleted", func(s *State) {
			mustApply(t, s, changelog.Change{Sequence: 2, Writes: []changelog.EntityWrite{{Entity: "Key/k1", Deleted: true}}})
		}, ErrKeyUnknown},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := New()
			mustApply(t, s, change(t, 1, key("k1", "everest"), entity.Team{Name: "everest", Weight: 3}))
			channel := s.KeyInvalidated("k1")
			test.do(s)
			got, team, err := s.Authenticate(sha256.Sum256([]byte("k1")))
			if !errors.Is(err, test.want) {
				t.Fatalf("got %v, want %v", err, test.want)
			}
			if err == nil && (got.ID != "k1" || team.Weight != 3) {
				t.Errorf("got key %v of team %v", got, team)
			}
			if err != nil && !closed(channel) {
				t.Error("KeyInvalidated channel is open, want it closed")
			}
			if err == nil && closed(s.KeyInvalidated("k1")) {
				t.Error("KeyInvalidated channel is closed, want it open for a valid key")
			}
		})
	}
}

func TestHashCollision(t *testing.T) {
	s := New()
	a, b, c := key("a", "everest"), key("b", "everest"), key("c", "everest")
	b.Hash, c.Hash = a.Hash, a.Hash
	b.Hash[31]++
	c.Hash[30]++
	mustApply(t, s, change(t, 1, entity.Team{Name: "everest", Weight: 1}, a, b, c))
	for _, want := range []entity.Key{a, b, c} {
		if got, _, err := s.Authenticate(want.Hash); err != nil || got.ID != want.ID {
			t.Errorf("key %s: got %q, %v", want.ID, got.ID, err)
		}
	}
	mustApply(t, s, changelog.Change{Sequence: 2, Writes: []changelog.EntityWrite{{Entity: "Key/a", Deleted: true}}})
	if _, _, err := s.Authenticate(a.Hash); !errors.Is(err, ErrKeyUnknown) {
		t.Errorf("deleted key: got %v, want ErrKeyUnknown", err)
	}
	for _, want := range []entity.Key{b, c} {
		if got, _, err := s.Authenticate(want.Hash); err != nil || got.ID != want.ID {
			t.Errorf("key %s after a deletion: got %q, %v", want.ID, got.ID, err)
		}
	}
}

func TestRoutes(t *testing.T) {
	s := New()
	mustApply(t, s, change(t, 1,
		entity.Route{Name: "wide", Backend: "b", Prefix: "/certificates", Classes: []string{"c"}, Teams: []string{"everest"}},
		entity.Route{Name: "narrow", Backend: "b", Prefix: "/certificates/claims", Classes: []string{"c"}, OpenToAll: true},
	))
	tests := []struct {
		path, want string
	}{
		{"/certificates", "wide"},
		{"/certificates/7", "wide"},
		{"/certificates/claims/7", "narrow"},
		{"/certificatesX", ""},
		{"/", ""},
	}
	for _, test := range tests {
		if got, _ := s.RouteForPath(test.path); got.Name != test.want {
			t.Errorf("%s: got %q, want %q", test.path, got.Name, test.want)
		}
	}
	if !s.Allowed("wide", "everest") || s.Allowed("wide", "lhotse") || !s.Allowed("narrow", "lhotse") || s.Allowed("none", "everest") {
		t.Error("Allowed is wrong: want true for wide/everest and narrow/lhotse, false for wide/lhotse and none/everest")
	}
	if s.Revision(entity.KindRoute, "wide") != 1 || s.Revision(entity.KindTeam, "everest") != 0 {
		t.Error("Revision is wrong: want 1 for route wide, 0 for the missing team everest")
	}
}

func populatedState(t testing.TB, teams, keysOfTeam int) *State {
	s := New()
	sequence := uint64(0)
	for i := range teams {
		team := fmt.Sprintf("team-%05d", i)
		entities := []any{entity.Team{Name: team, Weight: 1}}
		for j := range keysOfTeam {
			k := key(fmt.Sprintf("k%06d%02d", i, j), team)
			k.Class = "summary"
			entities = append(entities, k)
		}
		sequence++
		if err := s.Apply(change(t, sequence, entities...)); err != nil {
			t.Fatal(err)
		}
	}
	return s
}

func TestSnapshotRoundTrip(t *testing.T) {
	s := populatedState(t, 20, 2)
	mustApply(t, s, change(t, 21,
		entity.Class{Name: "quick", FirstTokenTarget: 780, MaxWait: 1000},
		entity.Backend{Name: "b", Type: entity.Service, Slots: 1},
		entity.Route{Name: "r", Backend: "b", Classes: []string{"quick"}, Teams: []string{"team-00003"}},
	))
	snapshot, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored := New()
	if err := restored.LoadSnapshot(snapshot); err != nil {
		t.Fatal(err)
	}
	if restored.Sequence() != 21 || !restored.Allowed("r", "team-00003") {
		t.Error("restored state differs: want sequence 21 with team-00003 allowed on route r")
	}
	if !reflect.DeepEqual(s.Keys(""), restored.Keys("")) || !reflect.DeepEqual(s.Teams(), restored.Teams()) ||
		!reflect.DeepEqual(s.Routes(), restored.Routes()) || !reflect.DeepEqual(s.Classes(), restored.Classes()) ||
		!reflect.DeepEqual(s.Backends(), restored.Backends()) {
		t.Error("restored entities differ from those in the snapshot")
	}
	if restored.Revision(entity.KindKey, "k00000300") != s.Revision(entity.KindKey, "k00000300") {
		t.Error("restored revision of key k00000300 differs from that in the snapshot")
	}
}

func heap() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// BenchmarkMemory reports the heap bytes per team and per key for 40,000 teams
// with two keys each.
func BenchmarkMemory(b *testing.B) {
	for b.Loop() {
		const teams = 40000
		before := heap()
		bare := populatedState(b, teams, 0)
		withoutKeys := heap()
		full := populatedState(b, teams, 2)
		withKeys := heap()
		perTeam := float64(withoutKeys-before) / teams
		b.ReportMetric(perTeam, "B/team")
		b.ReportMetric((float64(withKeys-withoutKeys)/teams-perTeam)/2, "B/key")
		b.ReportMetric(float64(withKeys-withoutKeys)/(1<<20), "MiB/state")
		runtime.KeepAlive(bare)
		runtime.KeepAlive(full)
	}
}

func BenchmarkAuthenticate(b *testing.B) {
	s := populatedState(b, 40000, 1)
	hash := sha256.Sum256([]byte("k02000000"))
	b.ReportAllocs()
	for b.Loop() {
		if _, _, err := s.Authenticate(hash); err != nil {
			b.Fatal(err)
		}
	}
}
