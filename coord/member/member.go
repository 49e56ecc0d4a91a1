package member

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// State is the state of a member as the view assumes it.
type State string

// The states of a member. A member is live while it is Alive or Suspect.
const (
	// Alive members responded recently, to this process or to another.
	Alive State = "Alive"
	// Suspect members did not answer a probe and can still refute that.
	Suspect State = "Suspect"
	// Leaving members announced their shutdown.
	Leaving State = "Leaving"
	// Dead members did not refute the suspicion in time.
	Dead State = "Dead"
)

// Member is one process of the fleet.
type Member struct {
	ID string
	// Address is the host:port of the member's peer interface.
	Address       string
	Region        string
	FailureDomain string
	State         State
	// Incarnation is set by the member itself, which raises it at every start
	// and whenever it refutes a suspicion.
	Incarnation uint64
}

// Live reports whether the member is alive or suspect.
func (m Member) Live() bool {
	return m.State == Alive || m.State == Suspect
}

// Pick returns up to n live members of the view for the key, ordered by
// rendezvous hashing. It spreads them over as many failure domains as possible
// before it takes a second member of any domain. Processes with the same view
// pick the same members, and a change of the view moves only the keys of the
// members that changed.
func Pick(view []Member, key string, n int) []Member {
	ranked := rank(view, key)
	if n >= len(ranked) {
		n = len(ranked)
	}
	picked := make([]Member, 0, n)
	for len(picked) < n {
		usedDomains := make(map[string]bool)
		rest := ranked[:0]
		for _, candidate := range ranked {
			if len(picked) < n && !usedDomains[candidate.FailureDomain] {
				usedDomains[candidate.FailureDomain] = true
				picked = append(picked, candidate)
				continue
			}
			rest = append(rest, candidate)
		}
		ranked = rest
	}
	return picked
}

// rank returns the live members by their hash for the key, highest first.
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
