package place

import "github.com/banyanshift/banyanshift/internal/caller/request"

// index remembers which endpoints have which prefix blocks in their cache. It
// is a guess: fed by own placements and by cache events that come late and
// with gaps. Its memory is bounded by a number of blocks for each endpoint;
// the blocks that were added first are forgotten first.
type index struct {
	limit   int
	blocks  map[uint64][]holder
	byOwner map[int]*owner
	numbers int
}

// holder is an endpoint that has a block.
type holder struct {
	owner int32
	epoch uint32
}

// owner is the record of one incarnation of an endpoint.
type owner struct {
	ring []uint64
	next int
	// epoch grows when events were missed: blocks of earlier epochs are
	// believed by half.
	epoch uint32
}

// match is how many leading blocks an endpoint is believed to hold.
type match struct {
	owner  int32
	blocks int
	sure   bool
}

func newIndex(limit int) *index {
	return &index{limit: limit, blocks: make(map[uint64][]holder), byOwner: make(map[int]*owner)}
}

// number returns the number of a new owner.
func (x *index) number() int {
	x.numbers++
	x.byOwner[x.numbers] = &owner{}
	return x.numbers
}

// release forgets all blocks of an owner.
func (x *index) release(number int) {
	o, known := x.byOwner[number]
	if !known {
		return
	}
	for _, digest := range o.ring {
		x.drop(number, digest)
	}
	delete(x.byOwner, number)
}

func (x *index) add(number int, digests []uint64) {
	o, known := x.byOwner[number]
	if !known {
		return
	}
	for _, digest := range digests {
		x.addOne(number, o, digest)
	}
}

func (x *index) addOne(number int, o *owner, digest uint64) {
	holders := x.blocks[digest]
	for i := range holders {
		if holders[i].owner == int32(number) {
			holders[i].epoch = o.epoch
			return
		}
	}
	if len(holders) >= maxHolders {
		copy(holders, holders[1:])
		holders = holders[:maxHolders-1]
	}
	x.blocks[digest] = append(holders, holder{owner: int32(number), epoch: o.epoch})
	if len(o.ring) < x.limit {
		o.ring = append(o.ring, digest)
		return
	}
	x.drop(number, o.ring[o.next])
	o.ring[o.next] = digest
	o.next = (o.next + 1) % x.limit
}

func (x *index) drop(number int, digest uint64) {
	holders := x.blocks[digest]
	for i := range holders {
		if holders[i].owner != int32(number) {
			continue
		}
		holders[i] = holders[len(holders)-1]
		holders = holders[:len(holders)-1]
		break
	}
	if len(holders) == 0 {
		delete(x.blocks, digest)
		return
	}
	x.blocks[digest] = holders
}

// missed notes that events of an owner were lost.
func (x *index) missed(number int) {
	if o, known := x.byOwner[number]; known {
		o.epoch++
	}
}

// match returns the owners of the leading blocks, each with its longest run.
// The result is valid until the next call with the same buffer.
func (x *index) match(digests []uint64, buffer []match) []match {
	found := buffer[:0]
	for depth := len(digests) - 1; depth >= 0; depth-- {
		for _, h := range x.blocks[digests[depth]] {
			if !contains(found, h.owner) {
				o := x.byOwner[int(h.owner)]
				sure := o != nil && o.epoch == h.epoch
				found = append(found, match{owner: h.owner, blocks: depth + 1, sure: sure})
			}
		}
		if len(found) >= maxMatches {
			break
		}
	}
	return found
}

// maxHolders bounds how many endpoints are remembered for one block; the one
// that was added first is forgotten first.
const maxHolders = 8

// maxMatches bounds how many endpoints are looked up for one request.
const maxMatches = 8

func contains(found []match, owner int32) bool {
	for i := range found {
		if found[i].owner == owner {
			return true
		}
	}
	return false
}

// match returns the matches of a request.
func (p *Placer) match(r Request) []match {
	if p.config.IgnorePrefixCache || len(r.Digests) == 0 {
		return nil
	}
	p.matches = p.index.match(r.Digests, p.matches)
	return p.matches
}

// cachedTokens is how many prompt tokens the owner is expected to have.
func cachedTokens(matches []match, number int32, promptTokens int) int {
	for _, m := range matches {
		if m.owner != number {
			continue
		}
		tokens := m.blocks * request.PrefixBlockTokens
		if !m.sure {
			tokens /= 2
		}
		return min(tokens, promptTokens)
	}
	return 0
}

// CacheEvent says that an endpoint's cache gained or lost a block.
type CacheEvent struct {
	Sequence uint64
	Evicted  bool
	Digest   uint64
}

// RecordCacheEvents takes in events of an endpoint in the order of their sequence.
// first is the oldest sequence that the endpoint still had; a gap makes the
// older knowledge of that endpoint half as certain.
func (p *Placer) RecordCacheEvents(endpoint, incarnation string, first uint64, events []CacheEvent) {
	r, known := p.byID[endpoint]
	if !known || r.endpoint.Incarnation != incarnation || p.config.IgnorePrefixCache {
		return
	}
	if r.events > 0 && first > r.events+1 {
		p.index.missed(r.number)
	}
	for _, e := range events {
		if e.Sequence <= r.events {
			continue
		}
		if r.events > 0 && e.Sequence > r.events+1 {
			p.index.missed(r.number)
		}
		r.events = e.Sequence
		if e.Evicted {
			p.index.drop(r.number, e.Digest)
		} else {
			p.index.add(r.number, []uint64{e.Digest})
		}
	}
}
