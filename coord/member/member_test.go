package member

import (
	"fmt"
	"testing"
)

func fleet(domains, perDomain int) []Member {
	var view []Member
	for d := range domains {
		for i := range perDomain {
			view = append(view, Member{
				ID:            fmt.Sprintf("vm-%02d-%02d", d, i),
				Address:       fmt.Sprintf("10.0.%d.%d:7000", d, i),
				Region:        fmt.Sprintf("region-%d", d%4),
				FailureDomain: fmt.Sprintf("domain-%02d", d),
				State:         Alive,
				Incarnation:   1,
			})
		}
	}
	return view
}

func TestPickPrefersDistinctDomains(t *testing.T) {
	view := fleet(3, 4)
	for n := range 13 {
		picked := Pick(view, fmt.Sprint("key", n), n)
		if len(picked) != n {
			t.Fatalf("picked %d members, want %d", len(picked), n)
		}
		count := make(map[string]int)
		seen := make(map[string]bool)
		for _, m := range picked {
			count[m.FailureDomain]++
			seen[m.ID] = true
		}
		if len(seen) != n {
			t.Errorf("picked a member twice: %v", picked)
		}
		for domain, c := range count {
			if c > (n+2)/3 {
				t.Errorf("n=%d: picked %d members of domain %s", n, c, domain)
			}
		}
	}
}

func TestPickMovesOnlyKeysOfTheDeadMember(t *testing.T) {
	view := fleet(4, 5)
	for i := range 200 {
		key := fmt.Sprint("key", i)
		before := Pick(view, key, 1)[0]
		changed := append([]Member(nil), view...)
		changed[i%len(changed)].State = Dead
		after := Pick(changed, key, 1)[0]
		if before.ID != changed[i%len(changed)].ID && before.ID != after.ID {
			t.Errorf("%s moved from %s to %s, but only %s is dead", key, before.ID, after.ID, changed[i%len(changed)].ID)
		}
		if after.State == Dead {
			t.Errorf("%s was assigned to the dead member %s", key, after.ID)
		}
	}
	if picked := Pick(nil, "key", 3); len(picked) != 0 {
		t.Errorf("picked %v from an empty view", picked)
	}
}

func TestDomains(t *testing.T) {
	view := fleet(3, 2)
	view[0].State, view[1].State = Leaving, Dead
	if got := fmt.Sprint(Domains(view)); got != "[domain-01 domain-02]" {
		t.Errorf("got domains %s, want [domain-01 domain-02]", got)
	}
	if got := InDomain(view, "domain-01"); len(got) != 2 {
		t.Errorf("got members %v in domain-01, want 2", got)
	}
}
