// Package origin remembers which software version of a back end began each stream, so
// that a caller who takes a stream up is sent to an endpoint of that version.
//
// A stream of which nothing is known may still go on if all endpoints of its back end
// have had the same version for as long as a stream lasts. Daemons therefore need to tell
// each other of their streams only while versions are mixed.
//
// A daemon knows the versions of that time if it has watched the lists of endpoints all the
// while. One that has not been running, or was cut off, learns the others from a record
// that outlives the daemons: the versions that streams may have begun at. A version is added
// to it when it is first listed and taken out by a daemon that has not seen it for as long as
// a stream lasts, so that the record needs no times.
//
// The package is pure: it has no clock, lock or goroutine of its own.
//
// # Usage
//
//	b := origin.New()
//	mixed := b.SetEndpoints(now, endpoints) // tell others b.Own(now, backend) of each one
//	b.Watch(now, asOf)
//	if !b.Complete(now) {
//		mixed = b.Merge(now, versions, complete)
//	}
//	b.RecordOwn(now, origin.Stream{ID: origin.ID("9c41d07b"), Backend: "books", SoftwareVersion: "1.2"})
//	version, known := b.Find(now, origin.ID("9c41d07b"))
package origin

import (
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/decide/balance"
)

const (
	// maxStreamTime is how long after its first event a stream may be taken up.
	maxStreamTime = 30 * clock.Second
	// maxStreams limits the streams that are remembered.
	maxStreams = 1 << 17
	// maxWatchGap is the time without a confirmed list after which versions may have come
	// and gone unseen. An endpoint that ends stays listed for longer.
	maxWatchGap = 2500 * clock.Millisecond
)

// Versions lists the software versions at which streams that may still be taken up may have
// begun, sorted, by back end.
type Versions map[string][]string

// Equal reports whether both are the same.
func (v Versions) Equal(other Versions) bool {
	return maps.EqualFunc(v, other, slices.Equal[[]string])
}

// ID identifies a stream by a hash of the ID of the attempt that brought its first event.
func ID(attempt string) uint64 {
	return xxhash.Sum64String(attempt)
}

// UnknownVersion stands for the software version of a stream that may have been begun by an
// endpoint which had started again, unknown to the daemon. No endpoint has it.
const UnknownVersion = "?unknown"

// Stream is a stream that an endpoint has begun.
type Stream struct {
	ID              uint64
	Backend         string
	SoftwareVersion string
	// Endpoint began the stream, on a connection that was opened at OpenedAt. Only the daemon
	// that passed the stream on knows.
	Endpoint string
	OpenedAt clock.Millis
	// Proved is set once the endpoint is known not to have started again before.
	Proved bool
}

// record is a Stream that is remembered.
type record struct {
	Stream
	at clock.Millis
	// own is set if this daemon began the stream.
	own bool
}

// Book remembers streams and the software versions of the back ends. It is not safe for
// concurrent use.
type Book struct {
	streams map[uint64]record
	// order holds the IDs of streams, the one recorded first at the start.
	order    []uint64
	backends map[string]*backend
	// watchedSince is when this daemon began to watch the lists, and lastAsOf when the last
	// one was confirmed, if watching. earlierKnown is set if the versions of the time before
	// are known.
	watching               bool
	watchedSince, lastAsOf clock.Millis
	earlierKnown           bool
}

// backend holds the software versions of the endpoints of a back end.
type backend struct {
	// listed holds those of the last list, and lastListed when the others were last
	// in a list.
	listed     map[string]bool
	lastListed map[string]clock.Millis
}

// New returns an empty Book.
func New() *Book {
	return &Book{streams: make(map[uint64]record), backends: make(map[string]*backend)}
}

// Watch records that the last list of endpoints was confirmed at asOf. After a gap, versions
// may be missing that came and went meanwhile.
func (b *Book) Watch(now, asOf clock.Millis) {
	switch {
	case !b.watching:
		b.watching, b.watchedSince = true, now
	case asOf-b.lastAsOf > maxWatchGap:
		b.watchedSince, b.earlierKnown = now, false
	}
	b.lastAsOf = max(b.lastAsOf, asOf)
}

// Complete reports whether all versions are known at which streams that may still be taken
// up have begun.
func (b *Book) Complete(now clock.Millis) bool {
	return b.watching && (b.earlierKnown || now-b.watchedSince > maxStreamTime)
}

// WatchedFor returns how long this daemon has watched the lists without a gap.
func (b *Book) WatchedFor(now clock.Millis) clock.Millis {
	if !b.watching {
		return 0
	}
	return now - b.watchedSince
}

// Versions returns the versions of all back ends.
func (b *Book) Versions(now clock.Millis) Versions {
	versions := make(Versions, len(b.backends))
	for name, known := range b.backends {
		if recent := known.recent(now); len(recent) > 0 {
			versions[name] = recent
		}
	}
	return versions
}

// Merge adds recorded versions as if they had been listed until now. complete is set if the
// record holds those of the time before this daemon watched. It returns the back ends whose
// versions are mixed from now on.
func (b *Book) Merge(now clock.Millis, versions Versions, complete bool) (mixed []string) {
	b.earlierKnown = b.earlierKnown || complete && b.watching
	for _, name := range slices.Sorted(maps.Keys(versions)) {
		known := b.backend(name)
		wasMixed := known.mixed(now)
		for _, version := range versions[name] {
			if _, seen := known.lastListed[version]; !seen && !known.listed[version] {
				known.lastListed[version] = now
			}
		}
		if known.mixed(now) && !wasMixed {
			mixed = append(mixed, name)
		}
	}
	return mixed
}

// SetEndpoints records the software versions of the listed endpoints. It returns the back
// ends whose versions are mixed from now on.
func (b *Book) SetEndpoints(now clock.Millis, endpoints []balance.Endpoint) (mixed []string) {
	before := make(map[string]bool)
	for name, known := range b.backends {
		before[name] = known.mixed(now)
		known.clearList(now)
	}
	for _, endpoint := range endpoints {
		b.backend(endpoint.Backend).listed[endpoint.SoftwareVersion] = true
	}
	for _, name := range slices.Sorted(maps.Keys(b.backends)) {
		if b.backends[name].mixed(now) && !before[name] {
			mixed = append(mixed, name)
		}
	}
	return mixed
}

func (b *Book) backend(name string) *backend {
	known := b.backends[name]
	if known == nil {
		known = &backend{listed: make(map[string]bool), lastListed: make(map[string]clock.Millis)}
		b.backends[name] = known
	}
	return known
}

func (k *backend) clearList(now clock.Millis) {
	for version := range k.listed {
		k.lastListed[version] = now
	}
	clear(k.listed)
}

// recent returns the versions of the last list, and those that were in a list within
// maxStreamTime, sorted.
func (k *backend) recent(now clock.Millis) []string {
	versions := slices.Collect(maps.Keys(k.listed))
	for version, at := range k.lastListed {
		if !k.listed[version] && now-at <= maxStreamTime {
			versions = append(versions, version)
		}
	}
	slices.Sort(versions)
	return versions
}

func (k *backend) mixed(now clock.Millis) bool {
	return len(k.recent(now)) > 1
}

// Recent returns the known versions of a back end at which streams that may still be taken
// up may have begun, sorted.
func (b *Book) Recent(now clock.Millis, backend string) []string {
	return b.backend(backend).recent(now)
}

// Mixed reports whether streams of a back end that may still be taken up were begun by
// endpoints of several software versions.
func (b *Book) Mixed(now clock.Millis, backend string) bool {
	return b.backend(backend).mixed(now)
}

// Sole returns the only software version that the back end has had for as long as a
// stream lasts. It finds none if this daemon does not know the versions of that time.
func (b *Book) Sole(now clock.Millis, backend string) (version string, found bool) {
	recent := b.Recent(now, backend)
	if len(recent) != 1 || !b.Complete(now) {
		return "", false
	}
	return recent[0], true
}

// RecordOwn remembers a stream that this daemon has begun.
func (b *Book) RecordOwn(now clock.Millis, stream Stream) {
	b.record(record{Stream: stream, at: now, own: true})
}

// RecordOther remembers a stream that another daemon has begun, age ago.
// One that others name another software version for is of an unknown one.
func (b *Book) RecordOther(now clock.Millis, stream Stream, age clock.Millis) {
	held, known := b.streams[stream.ID]
	if known && !held.own && held.SoftwareVersion != stream.SoftwareVersion {
		held.SoftwareVersion = UnknownVersion
		b.streams[stream.ID] = held
	}
	if !known && age <= maxStreamTime {
		b.record(record{Stream: stream, at: now - age})
	}
}

// Doubt records that the software version of a stream that this daemon has begun is not known.
func (b *Book) Doubt(id uint64) {
	if r, known := b.streams[id]; known && r.own {
		r.SoftwareVersion = UnknownVersion
		b.streams[id] = r
	}
}

// Prove records that the software version of a stream that this daemon has begun is certain.
func (b *Book) Prove(id uint64) {
	if r, known := b.streams[id]; known && r.own && r.SoftwareVersion != UnknownVersion {
		r.Proved = true
		b.streams[id] = r
	}
}

// DoubtStartsAt doubts the streams of this daemon, unless they are proved, that an endpoint has begun
// on connections that were opened since a time. It returns them, with their ages.
func (b *Book) DoubtStartsAt(now clock.Millis, endpoint string, since clock.Millis) (doubted []Stream, ages []clock.Millis) {
	for _, id := range b.order {
		r := b.streams[id]
		if !r.own || r.Proved || r.Endpoint != endpoint || r.OpenedAt < since || now-r.at > maxStreamTime {
			continue
		}
		b.Doubt(id)
		doubted = append(doubted, b.streams[id].Stream)
		ages = append(ages, now-r.at)
	}
	return doubted, ages
}

func (b *Book) record(r record) {
	if _, known := b.streams[r.ID]; !known {
		b.order = append(b.order, r.ID)
	}
	b.streams[r.ID] = r
	b.expire(r.at)
}

// expire forgets the streams at the start of the order that are too old or too many.
func (b *Book) expire(now clock.Millis) {
	forgotten := 0
	for _, id := range b.order {
		if len(b.streams) <= maxStreams && now-b.streams[id].at <= maxStreamTime {
			break
		}
		delete(b.streams, id)
		forgotten++
	}
	b.order = b.order[forgotten:]
}

// Find returns the software version that began a stream.
func (b *Book) Find(now clock.Millis, id uint64) (version string, known bool) {
	r, known := b.streams[id]
	if !known || now-r.at > maxStreamTime {
		return "", false
	}
	return r.SoftwareVersion, true
}

// Own returns the streams of a back end that this daemon has begun, with their ages.
func (b *Book) Own(now clock.Millis, backend string) (streams []Stream, ages []clock.Millis) {
	for _, id := range b.order {
		r := b.streams[id]
		if r.own && r.Backend == backend && now-r.at <= maxStreamTime {
			streams = append(streams, r.Stream)
			ages = append(ages, now-r.at)
		}
	}
	return streams, ages
}
