package place

import "github.com/banyanshift/banyanshift/internal/caller/request"

// index maps prefix blocks to the endpoints that probably have them cached. It
// is an approximation, built from the requests sent by this daemon and from
// cache events, which arrive late and with gaps. Memory is bounded by a maximum
// number of blocks per endpoint; the oldest blocks are removed first.
type index struct {
	maxBlocks  int
	blocks     map[uint64][]holder
	owners     map[int]*owner
	lastNumber int
}

// holder is an endpoint that has a block.
type holder struct {
	owner int32
	epoch uint32
}

// owner holds the blocks of one incarnation of an endpoint.
type owner struct {
	// ring holds the digests of the blocks in the order in which they were
	// added; next is the oldest one once the ring is full.
	ring []uint64
	next int
	// epoch is incremented when events were missed. Blocks of earlier epochs
	// count half.
	epoch uint32
}

// match is the number of leading blocks that an endpoint probably has cached.
type match struct {
	owner    int32
	blocks   int
	upToDate bool
}

func newIndex(maxBlocks int) *index {
	return &index{maxBlocks: maxBlocks, blocks: make(map[uint64][]holder), owners: make(map[int]*owner)}
}

// addOwner registers a new owner and returns its number.
func (x *index) addOwner() int {
	x.lastNumber++
	x.owners[x.lastNumber] = &owner{}
	return x.lastNumber
}

// removeOwner removes an owner with all its blocks.
func (x *index) removeOwner(number int) {
	o, known := x.owners[number]
	if !known {
		return
	}
	for _, digest := range o.ring {
		x.remove(number, digest)
	}
	delete(x.owners, number)
}

func (x *index) add(number int, digests []uint64) {
	o, known := x.owners[number]
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
	if len(o.ring) < x.maxBlocks {
		o.ring = append(o.ring, digest)
		return
	}
	x.remove(number, o.ring[o.next])
	o.ring[o.next] = digest
	o.next = (o.next + 1) % x.maxBlocks
}

func (x *index) remove(number int, digest uint64) {
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

// recordGap records that events of an owner were lost.
func (x *index) recordGap(number int) {
	if o, known := x.owners[number]; known {
		o.epoch++
	}
}

// match returns the owners of the leading blocks, each with the length of its
// longest prefix. The result is valid until the next call with the same buffer.
func (x *index) match(digests []uint64, buffer []match) []match {
	found := buffer[:0]
	for depth := len(digests) - 1; depth >= 0; depth-- {
		for _, h := range x.blocks[digests[depth]] {
			if !contains(found, h.owner) {
				o := x.owners[int(h.owner)]
				upToDate := o != nil && o.epoch == h.epoch
				found = append(found, match{owner: h.owner, blocks: depth + 1, upToDate: upToDate})
			}
		}
		if len(found) >= maxMatches {
			break
		}
	}
	return found
}

// maxHolders limits the endpoints that are kept for one block; the oldest one
// is removed first.
const maxHolders = 8

// maxMatches limits the endpoints that are looked up for one request. The
// matches of the last block looked up may exceed it.
const maxMatches = 8

func contains(found []match, owner int32) bool {
	for i := range found {
		if found[i].owner == owner {
			return true
		}
	}
	return false
}

// matchPrefix returns the endpoints that probably have a prefix of the request
// cached.
func (p *Placer) matchPrefix(r Request) []match {
	if p.config.IgnorePrefixCache || len(r.Digests) == 0 {
		return nil
	}
	p.matches = p.index.match(r.Digests, p.matches)
	return p.matches
}

// cachedTokens returns how many prompt tokens the owner probably has cached:
// only half of the match if cache events were missed since.
func cachedTokens(matches []match, number int32, promptTokens int) int {
	for _, m := range matches {
		if m.owner != number {
			continue
		}
		tokens := m.blocks * request.PrefixBlockTokens
		if !m.upToDate {
			tokens /= 2
		}
		return min(tokens, promptTokens)
	}
	return 0
}

// CacheEvent reports that an endpoint's cache stored or evicted a block.
type CacheEvent struct {
	Sequence uint64
	Evicted  bool
	Digest   uint64
}

// RecordCacheEvents processes cache events of an endpoint, ordered by sequence.
// first is the oldest sequence that the endpoint still had. After a gap, the
// blocks that were recorded earlier for that endpoint count half.
func (p *Placer) RecordCacheEvents(endpoint, incarnation string, first uint64, events []CacheEvent) {
	r, known := p.byID[endpoint]
	if !known || r.endpoint.Incarnation != incarnation || p.config.IgnorePrefixCache {
		return
	}
	if r.eventSequence > 0 && first > r.eventSequence+1 {
		p.index.recordGap(r.number)
	}
	for _, e := range events {
		if e.Sequence <= r.eventSequence {
			continue
		}
		if r.eventSequence > 0 && e.Sequence > r.eventSequence+1 {
			p.index.recordGap(r.number)
		}
		r.eventSequence = e.Sequence
		if e.Evicted {
			p.index.remove(r.number, e.Digest)
		} else {
			p.index.add(r.number, []uint64{e.Digest})
		}
	}
}
