package member

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// State is what the view believes about a member.
type State string

// The states of a member. A member is live while it is Alive or Suspect.
const (
	// Alive members answered lately, or somebody says so.
	Alive State = "Alive"
	// Suspect members did not answer a probe and can still refute that.
	Suspect State = "Suspect"
	// Leaving members said that they shut down.
	Leaving State = "Leaving"
	// Dead members did not refute the suspicion in time.
	Dead State = "Dead"
)

// Member is one process of the fleet.
type Member struct {
	ID string
	// Address is host:port of its interface for peers.
	Address       string
	Region        string
	FailureDomain string
	State         State
	// Incarnation is chosen by the member: it grows with every start and
	// with every suspicion that the member refutes.
	Incarnation uint64
}

// Live reports whether the member takes part.
func (m Member) Live() bool {
	return m.State == Alive || m.State == Suspect
}

// Pick returns up to n live members of the view for the key, the best first.
// It takes members of as many failure domains as it can before it takes a
// second one of any. Processes with the same view pick the same members, and
// a change of the view moves only the keys that it must (rendezvous hashing).
func Pick(view []Member, key string, n int) []Member {
	ranked := rank(view, key)
	if n >= len(ranked) {
		n = len(ranked)
	}
	picked := make([]Member, 0, n)
	for len(picked) < n {
		taken := make(map[string]bool)
		rest := ranked[:0]
		for _, candidate := range ranked {
			if len(picked) < n && !taken[candidate.FailureDomain] {
				taken[candidate.FailureDomain] = true
				picked = append(picked, candidate)
				continue
			}
			rest = append(rest, candidate)
		}
		ranked = rest
	}
	return picked
}

// rank returns the live members in the order of their hash for the key.
func rank(view []Member, key string) []Member {
	type scored struct {
		member Member
		score  uint64
	}
	all := make([]scored, 0, len(view))
	for _, m := range view {
		if m.Live() {
			all = append(all, scored{member: m, score: score(key, m.ID)})
		}
	}
	slices.SortFunc(all, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.member.ID, b.member.ID))
	})
	ranked := make([]Member, len(all))
	for i := range all {
		ranked[i] = all[i].member
	}
	return ranked
}

func score(key, id string) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(key)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(id)
	return digest.Sum64()
}

// InDomain returns the members of the view that are in the failure domain.
func InDomain(view []Member, failureDomain string) []Member {
	var found []Member
	for _, m := range view {
		if m.FailureDomain == failureDomain {
			found = append(found, m)
		}
	}
	return found
}

// Domains returns the failure domains of the live members, sorted.
func Domains(view []Member) []string {
	var domains []string
	for _, m := range view {
		if m.Live() {
			domains = append(domains, m.FailureDomain)
		}
	}
	slices.Sort(domains)
	return slices.Compact(domains)
}
