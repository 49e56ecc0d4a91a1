package broker

import (
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/banyanshift/banyanshift/coord/member"
	"github.com/banyanshift/banyanshift/internal/caller/request"
	"github.com/banyanshift/banyanshift/internal/config/entity"
)

// CellKey names a cell.
type CellKey struct {
	Backend string
	Region  string
	Index   int
}

// String returns the name under which the broker of the cell is picked.
func (k CellKey) String() string {
	return fmt.Sprintf("cell/%s/%s/%d", k.Backend, k.Region, k.Index)
}

// poolKey names the pool of a back end in a region.
func poolKey(backend, region string) string {
	return backend + "\x00" + region
}

// UpdateEndpoints replaces the list of all endpoints.
func (b *Broker) UpdateEndpoints(endpoints []entity.Endpoint) {
	cells, counts := divide(endpoints, b.config.CellSize)
	b.mu.Lock()
	b.noteLeaving(endpoints)
	b.cells, b.counts = cells, counts
	b.cellOf = make(map[string]CellKey, len(endpoints))
	b.endpoints = make(map[string]entity.Endpoint, len(endpoints))
	for key, members := range cells {
		for _, endpoint := range members {
			b.cellOf[endpoint.ID] = key
			b.endpoints[endpoint.ID] = endpoint
		}
	}
	b.mu.Unlock()
	b.refreshHosts()
}

// noteLeaving remembers which incarnations are leaving, as long as they are
// listed. b.mu must be held.
func (b *Broker) noteLeaving(endpoints []entity.Endpoint) {
	noted := make(map[string]string)
	for _, endpoint := range endpoints {
		if endpoint.Leaving || b.leaving[endpoint.ID] == endpoint.Incarnation {
			noted[endpoint.ID] = endpoint.Incarnation
		}
	}
	b.leaving = noted
}

// refreshHosts gives each host its endpoints and its limits again.
func (b *Broker) refreshHosts() {
	for _, h := range b.allHosts() {
		b.mu.Lock()
		members := b.cells[h.key]
		b.mu.Unlock()
		h.update(members)
	}
}

// divide assigns endpoints to cells of at most about size. An endpoint keeps
// its cell as long as the number of cells of its pool stays the same.
func divide(endpoints []entity.Endpoint, size int) (cells map[CellKey][]entity.Endpoint, counts map[string]int) {
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
			Index:   rendezvous(endpoint.ID, count),
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

// rendezvous returns the index below n whose hash with name is greatest.
func rendezvous(name string, n int) int {
	best, bestScore := 0, uint64(0)
	for i := range n {
		if score := xxhash.Sum64String(fmt.Sprintf("%s/%d", name, i)); score >= bestScore {
			best, bestScore = i, score
		}
	}
	return best
}

// cellFor returns the cell that a request is announced to: one of its pool in
// this region, or in another region when this one has no endpoints. Requests
// with the same beginning go to the same cell. b.mu must be held.
func (b *Broker) cellFor(req *request.Request) CellKey {
	region := b.config.Region
	if b.counts[poolKey(req.Backend, region)] == 0 {
		region = b.otherRegion(req.Backend, region)
	}
	count := b.counts[poolKey(req.Backend, region)]
	if count <= 1 {
		return CellKey{Backend: req.Backend, Region: region}
	}
	name := req.ID
	if len(req.PrefixDigests) > 0 {
		name = fmt.Sprint(req.PrefixDigests[0])
	}
	return CellKey{Backend: req.Backend, Region: region, Index: rendezvous(name, count)}
}

// otherRegion returns the region with most endpoints of the back end, or the
// own one when there are none at all.
func (b *Broker) otherRegion(backend, own string) string {
	best, most := own, 0
	sizes := make(map[string]int)
	for key, members := range b.cells {
		if key.Backend != backend {
			continue
		}
		sizes[key.Region] += len(members)
		if n := sizes[key.Region]; n > most || (n == most && key.Region < best) {
			best, most = key.Region, n
		}
	}
	return best
}

// slots returns how many requests each endpoint of a back end runs, or this
// daemon's part of them.
func (b *Broker) slots(backend string, members []entity.Endpoint, share bool) func(entity.Endpoint) int {
	total := 1
	if known, found := b.deps.Backend(backend); found {
		total = max(known.Slots, 1)
	}
	if !share {
		return func(entity.Endpoint) int { return total }
	}
	shares := sharesOf(b.liveView(), b.config.Self, members, total)
	return func(endpoint entity.Endpoint) int {
		return shares[endpoint.ID]
	}
}

// sharesOf returns this daemon's slots of each endpoint. A daemon whose share
// of the whole cell comes to nothing gets one slot, so that it can go on.
func sharesOf(view []member.Member, self string, members []entity.Endpoint, slots int) map[string]int {
	shares := make(map[string]int, len(members))
	sum := 0
	for _, endpoint := range members {
		share := shareOf(view, self, endpoint.ID, slots)
		shares[endpoint.ID] = share
		sum += share
	}
	if sum == 0 && len(members) > 0 {
		shares[members[rendezvous(self, len(members))].ID] = 1
	}
	return shares
}

// shareOf divides the slots of an endpoint among the members of a view. The
// shares of all members add up to the slots.
func shareOf(view []member.Member, self, endpoint string, slots int) int {
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
