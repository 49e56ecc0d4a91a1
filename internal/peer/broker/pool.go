package broker

import (
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/banyanshift/banyanshift/coord/member"
	"github.com/banyanshift/banyanshift/internal/caller/request"
	"github.com/banyanshift/banyanshift/internal/config/entity"
)

// CellKey identifies a cell.
type CellKey struct {
	Backend string
	Region  string
	Index   int
}

// String returns the key for rendezvous hashing of the cell's broker.
func (k CellKey) String() string {
	return fmt.Sprintf("cell/%s/%s/%d", k.Backend, k.Region, k.Index)
}

// poolKey returns the map key of the pool of a back end in a region.
func poolKey(backend, region string) string {
	return backend + "\x00" + region
}

// UpdateEndpoints replaces the list of all endpoints and divides it into cells.
func (b *Broker) UpdateEndpoints(endpoints []entity.Endpoint) {
	cells, counts := divideIntoCells(endpoints, b.config.CellSize)
	b.mu.Lock()
	b.recordLeaving(endpoints)
	b.cellEndpoints, b.cellCounts = cells, counts
	b.cellByEndpoint = make(map[string]CellKey, len(endpoints))
	b.endpointsByID = make(map[string]entity.Endpoint, len(endpoints))
	for key, members := range cells {
		for _, endpoint := range members {
			b.cellByEndpoint[endpoint.ID] = key
			b.endpointsByID[endpoint.ID] = endpoint
		}
	}
	b.mu.Unlock()
	b.refreshHosts()
}

// recordLeaving records which listed incarnations are leaving and forgets those
// no longer listed. b.mu must be held.
func (b *Broker) recordLeaving(endpoints []entity.Endpoint) {
	leaving := make(map[string]string)
	for _, endpoint := range endpoints {
		if endpoint.Leaving || b.leavingIncarnations[endpoint.ID] == endpoint.Incarnation {
			leaving[endpoint.ID] = endpoint.Incarnation
		}
	}
	b.leavingIncarnations = leaving
}

// refreshHosts updates the endpoints and slots of all hosts.
func (b *Broker) refreshHosts() {
	for _, h := range b.allHosts() {
		b.mu.Lock()
		members := b.cellEndpoints[h.key]
		b.mu.Unlock()
		h.updateEndpoints(members)
	}
}

// divideIntoCells assigns endpoints to cells of about size endpoints. An
// endpoint keeps its cell as long as the number of cells of its pool stays the
// same.
func divideIntoCells(endpoints []entity.Endpoint, size int) (cells map[CellKey][]entity.Endpoint, counts map[string]int) {
	sizes := make(map[string]int)
	for i := range endpoints {
		sizes[poolKey(endpoints[i].Backend, endpoints[i].Region)]++
	}
	counts = make(map[string]int, len(sizes))
	for pool, n := range sizes {
		counts[pool] = (n + size - 1) / size
	}
	cells = make(map[CellKey][]entity.Endpoint)
	for _, endpoint := range endpoints {
		count := counts[poolKey(endpoint.Backend, endpoint.Region)]
		key := CellKey{
			Backend: endpoint.Backend,
			Region:  endpoint.Region,
			Index:   rendezvousIndex(endpoint.ID, count),
		}
		cells[key] = append(cells[key], endpoint)
	}
	for _, members := range cells {
		slices.SortFunc(members, func(a, b entity.Endpoint) int {
			if a.ID < b.ID {
				return -1
			}
			return 1
		})
	}
	return cells, counts
}

// rendezvousIndex returns the index below n with the highest hash together with
// name.
func rendezvousIndex(name string, n int) int {
	best, bestScore := 0, uint64(0)
	for i := range n {
		if score := xxhash.Sum64String(fmt.Sprintf("%s/%d", name, i)); score >= bestScore {
			best, bestScore = i, score
		}
	}
	return best
}

// cellFor returns the cell that schedules a request. It is in this region, or
// in the region with the most endpoints if this one has none. Requests with the
// same first prefix digest go to the same cell. b.mu must be held.
func (b *Broker) cellFor(req *request.Request) CellKey {
	region := b.config.Region
	if b.cellCounts[poolKey(req.Backend, region)] == 0 {
		region = b.largestRegion(req.Backend, region)
	}
	count := b.cellCounts[poolKey(req.Backend, region)]
	if count <= 1 {
		return CellKey{Backend: req.Backend, Region: region}
	}
	name := req.ID
	if len(req.PrefixDigests) > 0 {
		name = fmt.Sprint(req.PrefixDigests[0])
	}
	return CellKey{Backend: req.Backend, Region: region, Index: rendezvousIndex(name, count)}
}

// largestRegion returns the region with the most endpoints of the back end, or
// localRegion if there are no endpoints.
func (b *Broker) largestRegion(backend, localRegion string) string {
	best, bestCount := localRegion, 0
	sizes := make(map[string]int)
	for key, members := range b.cellEndpoints {
		if key.Backend != backend {
			continue
		}
		sizes[key.Region] += len(members)
		if n := sizes[key.Region]; n > bestCount || (n == bestCount && key.Region < best) {
			best, bestCount = key.Region, n
		}
	}
	return best
}

// slotsFunc returns a function that gives the slots of an endpoint of the back
// end, or this daemon's share of them if localShare is set.
func (b *Broker) slotsFunc(backend string, members []entity.Endpoint, localShare bool) func(entity.Endpoint) int {
	total := 1
	if known, found := b.deps.Backend(backend); found {
		total = max(known.Slots, 1)
	}
	if !localShare {
		return func(entity.Endpoint) int { return total }
	}
	shares := localShares(b.liveView(), b.config.Self, members, total)
	return func(endpoint entity.Endpoint) int {
		return shares[endpoint.ID]
	}
}

// localShares returns this daemon's share of the slots of each endpoint. A
// daemon whose shares in the cell total 0 gets one slot, so that its requests
// make progress.
func localShares(view []member.Member, self string, members []entity.Endpoint, slots int) map[string]int {
	shares := make(map[string]int, len(members))
	sum := 0
	for _, endpoint := range members {
		share := slotShare(view, self, endpoint.ID, slots)
		shares[endpoint.ID] = share
		sum += share
	}
	if sum == 0 && len(members) > 0 {
		shares[members[rendezvousIndex(self, len(members))].ID] = 1
	}
	return shares
}

// slotShare returns the share of self when an endpoint's slots are divided
// among the members of a view. The shares of all members add up to slots.
func slotShare(view []member.Member, self, endpoint string, slots int) int {
	if len(view) <= 1 {
		return slots
	}
	share := slots / len(view)
	for _, m := range member.Pick(view, "slots/"+endpoint, slots%len(view)) {
		if m.ID == self {
			share++
		}
	}
	return share
}

// liveView returns the live members of this daemon's region.
func (b *Broker) liveView() []member.Member {
	var live []member.Member
	for _, m := range b.deps.View() {
		if m.Live() && m.Region == b.config.Region {
			live = append(live, m)
		}
	}
	return live
}
