// Package path decides how a daemon reaches an endpoint: over a connection of its own, or
// through a peer.
//
// The decision rests on evidence about each endpoint, since a daemon may be cut off from
// one endpoint, one back end, one failure domain or all. A dial that is refused or silent
// does not tell a dead endpoint from a broken path. A peer that reaches the endpoint does:
// from then on the daemon goes through peers at once, and tries its own path again now and
// then, only for endpoints that have requests.
//
// Peers are asked one after the other. Those that have just reached some endpoint come
// first, in turn by the requests that pass through them, and those that have just failed
// come last.
//
// A Table holds state for the endpoints that were used and for the peers that were asked.
// It has no clock, lock or goroutine of its own.
//
// # Usage
//
//	table := path.New()
//	if table.Way(endpoint) == path.ThroughPeer {
//		peers := table.Choose(now, peers, domains, seed)
//	}
//	table.RecordPeerReached(now, endpoint)
package path

import (
	"maps"
	"slices"
	"sort"

	"github.com/banyanshift/banyanshift/coord/clock"
)

const (
	// MaxPeersAsked limits the peers that are asked for one endpoint and request.
	MaxPeersAsked = 3
	// minProbeInterval and maxProbeInterval are the shortest and longest time between
	// two probes of a daemon's own path to an endpoint; it doubles with each probe.
	minProbeInterval = 250 * clock.Millisecond
	maxProbeInterval = 2 * clock.Second
	// failureMemory is how long peers that did not reach an endpoint are asked last.
	failureMemory = 2 * clock.Second
	// successMemory is how long peers that reached an endpoint are asked first.
	successMemory = 5 * clock.Second
	// forgetAfter is how long a peer that is not asked is remembered.
	forgetAfter = clock.Minute
	// breakMemory is how long after the daemon found a broken path its other paths are in
	// doubt, and freshness how long after it heard from an endpoint its path is not.
	breakMemory = 5 * clock.Second
	freshness   = 500 * clock.Millisecond
)

// Weights of what speaks against asking a peer, compared to a random number up to 1.
const (
	failureWeight = 8.0
	unknownWeight = 0.8
	domainWeight  = 0.5
	requestWeight = 0.25
)

// Way is how a daemon reaches an endpoint.
type Way int

// Ways to an endpoint.
const (
	// Direct is a connection of the daemon's own.
	Direct Way = iota
	// ThroughPeer is a peer's connection, since the daemon's own path is broken.
	ThroughPeer
)

// Peer is another daemon.
type Peer struct {
	Address       string
	FailureDomain string
}

// Table holds what a daemon knows of the ways to endpoints.
type Table struct {
	// broken holds the endpoints that only peers reach.
	broken map[string]*brokenPath
	// heardAt is when the daemon last heard from each endpoint over its own path.
	heardAt map[string]clock.Millis
	peers   map[string]*peerState
	// anyBroken is set once a path has broken, the last time at lastBreak.
	anyBroken bool
	lastBreak clock.Millis
}

// brokenPath is a daemon's own path to an endpoint that only peers reach.
type brokenPath struct {
	since         clock.Millis
	nextProbe     clock.Millis
	probeInterval clock.Millis
}

// peerState is what a daemon knows of a peer as a way to endpoints.
type peerState struct {
	reachedAt, failedAt, askedAt clock.Millis
	reached, failed              bool
	// requests counts those that pass through the peer now.
	requests int
}

// New returns a Table that takes all paths for intact.
func New() *Table {
	return &Table{broken: make(map[string]*brokenPath), heardAt: make(map[string]clock.Millis), peers: make(map[string]*peerState)}
}

// Way returns the way to an endpoint that is to be tried first.
func (t *Table) Way(endpoint string) Way {
	if t.broken[endpoint] != nil {
		return ThroughPeer
	}
	return Direct
}

// RecordHeard records that the daemon opened a connection to an endpoint or received bytes
// from it. If only peers reached it before, it returns for how long.
func (t *Table) RecordHeard(now clock.Millis, endpoint string) (brokenFor clock.Millis, healed bool) {
	t.heardAt[endpoint] = now
	b := t.broken[endpoint]
	if b == nil {
		return 0, false
	}
	delete(t.broken, endpoint)
	return now - b.since, true
}

// HeardWithin reports whether the daemon heard from an endpoint in the last time.
func (t *Table) HeardWithin(now clock.Millis, endpoint string, time clock.Millis) bool {
	at, known := t.heardAt[endpoint]
	return known && now-at <= time
}

// IsFresh reports whether the daemon heard from an endpoint so recently that an open
// connection to it works.
func (t *Table) IsFresh(now clock.Millis, endpoint string) bool {
	return t.HeardWithin(now, endpoint, freshness)
}

// IsDoubtful reports whether an open connection to an endpoint may have lost its path,
// since another path of the daemon has just been found broken.
func (t *Table) IsDoubtful(now clock.Millis, endpoint string) bool {
	return t.anyBroken && now-t.lastBreak < breakMemory && !t.IsFresh(now, endpoint)
}

// RecordPeerReached records that a peer reaches an endpoint to which the daemon's own path
// failed. It reports whether that is news.
func (t *Table) RecordPeerReached(now clock.Millis, endpoint string) (broken bool) {
	if t.broken[endpoint] != nil {
		return false
	}
	t.anyBroken, t.lastBreak = true, now
	t.broken[endpoint] = &brokenPath{since: now, nextProbe: now + minProbeInterval, probeInterval: minProbeInterval}
	return true
}

// RecordNoWay records that no peer that was asked reaches an endpoint. The daemon tries
// its own path first again: the endpoint may have failed.
func (t *Table) RecordNoWay(endpoint string) {
	delete(t.broken, endpoint)
}

// TakeProbe reports whether the daemon is to try its own path to an endpoint that only
// peers reach.
func (t *Table) TakeProbe(now clock.Millis, endpoint string) bool {
	b := t.broken[endpoint]
	if b == nil || now < b.nextProbe {
		return false
	}
	b.probeInterval = min(2*b.probeInterval, maxProbeInterval)
	b.nextProbe = now + b.probeInterval
	return true
}

// Choose returns the peers to ask for an endpoint, in order. domains are the failure
// domains through which the way is shortest: those of the daemon and of the endpoint.
func (t *Table) Choose(now clock.Millis, peers []Peer, domains []string, random func() float64) []Peer {
	type rated struct {
		peer Peer
		cost float64
	}
	list := make([]rated, 0, len(peers))
	for _, peer := range peers {
		list = append(list, rated{peer: peer, cost: t.cost(now, peer, domains) + random()})
	}
	sort.Slice(list, func(i, j int) bool { return list[i].cost < list[j].cost })
	chosen := make([]Peer, 0, MaxPeersAsked)
	for _, r := range list[:min(len(list), MaxPeersAsked)] {
		chosen = append(chosen, r.peer)
	}
	return chosen
}

// cost rates what speaks against asking a peer.
func (t *Table) cost(now clock.Millis, peer Peer, domains []string) float64 {
	cost := 0.0
	if !slices.Contains(domains, peer.FailureDomain) {
		cost += domainWeight
	}
	s := t.peers[peer.Address]
	if s == nil {
		return cost + unknownWeight
	}
	cost += requestWeight * float64(s.requests)
	switch {
	case s.failed && now-s.failedAt < failureMemory:
		return cost + failureWeight
	case s.reached && now-s.reachedAt < successMemory:
		return cost
	}
	return cost + unknownWeight
}

// RecordForwardBegun records that a peer reached an endpoint and a request passes through it.
func (t *Table) RecordForwardBegun(now clock.Millis, peer string) {
	s := t.peer(now, peer)
	s.reached, s.reachedAt, s.failed = true, now, false
	s.requests++
}

// RecordForwardEnded records that a request that passed through a peer has ended.
func (t *Table) RecordForwardEnded(now clock.Millis, peer string) {
	t.peer(now, peer).requests--
}

// RecordPeerFailed records that a peer did not reach an endpoint or did not answer.
func (t *Table) RecordPeerFailed(now clock.Millis, peer string) {
	s := t.peer(now, peer)
	s.failed, s.failedAt, s.reached = true, now, false
}

// peer returns the state of a peer, and drops those that have not been asked for long.
func (t *Table) peer(now clock.Millis, address string) *peerState {
	s := t.peers[address]
	if s == nil {
		maps.DeleteFunc(t.peers, func(_ string, other *peerState) bool {
			return other.requests == 0 && now-other.askedAt > forgetAfter
		})
		s = &peerState{}
		t.peers[address] = s
	}
	s.askedAt = now
	return s
}

// Keep drops the endpoints for which known returns false.
func (t *Table) Keep(known func(endpoint string) bool) {
	maps.DeleteFunc(t.broken, func(endpoint string, _ *brokenPath) bool { return !known(endpoint) })
	maps.DeleteFunc(t.heardAt, func(endpoint string, _ clock.Millis) bool { return !known(endpoint) })
}
