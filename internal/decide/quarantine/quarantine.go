// Package quarantine finds out which requests crash endpoints, so that they are no longer
// sent to any.
//
// What requests have in common is told by digests, such as those of the parts of a prompt.
// When an endpoint crashes, the requests whose answers had not begun are suspects, most of
// them innocent ones that were there at the time. A digest that is found in two crashes is
// under suspicion: its requests go one at a time in the whole fleet, each as a trial. A trial
// that is answered clears the digest, as does any other answer to a request that has it,
// because a request that crashes endpoints is never answered. From the third crash on, the
// time until the next trial grows with each further crash, and requests are refused
// meanwhile. Crashes that come together count as one for that time, so that what was lost
// with many endpoints at once is tried again soon.
//
// Digests that always crash endpoints together cannot be told apart. Requests that have all
// of them are stopped; one that has only some is a trial. Crashes that come with many others
// without the digest say nothing about it.
//
// Evidence is forgotten after a time, when the software version under which the endpoints
// crashed has been gone for a while, and when the endpoint turns out to be alive. A Book is
// bounded: crashes that support no suspicion go first.
//
// Considered: a count of crashes for each digest, which innocent digests reach as well when
// endpoints fail for other reasons, and which ends only with time; and a list of refused
// requests at each daemon, for which each daemon loses endpoints of its own.
//
// The package is pure: it has no clock, lock or goroutine of its own.
//
// # Usage
//
//	book := quarantine.New()
//	book.RecordCrash(now, quarantine.Crash{Endpoint: "i-7f3a91c2", Incarnation: 3, Backend: "books", At: now, Requests: lost})
//	decision := book.Decide(now, digests)
//	if len(decision.Suspects) > 0 && decision.Wait == 0 && trials.Begin(now, decision.Suspects, lifetime) { ... send the request ... }
//	cleared := book.RecordSound(now, digests)
package quarantine

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/banyanshift/banyanshift/coord/clock"
)

const (
	// suspectCrashes and stopCrashes are the numbers of crashes from which a digest is
	// under suspicion and in quarantine.
	suspectCrashes = 2
	stopCrashes    = 3
	// memory is how long a crash is remembered.
	memory = 60 * clock.Minute
	// versionMemory is how long a software version counts as in use after its last endpoint
	// has gone, so that a crash does not erase its own evidence.
	versionMemory = 30 * clock.Second
	// lossWindow is the time around a crash in which others of the back end are compared
	// with it, and maxUnrelated by how many those without a digest may exceed those with it.
	lossWindow   = clock.Second
	maxUnrelated = 3
	// burstGap is the time between two crashes from which they do not count as one.
	burstGap = 500 * clock.Millisecond
	// maxCrashesInWindow limits the crashes of a back end in a lossWindow. Further ones are
	// a mass loss, and are not recorded.
	maxCrashesInWindow = 32
	// aliveTime is how long after a crash an answer of the endpoint shows that it did not
	// crash. Later, it may be one of the next incarnation.
	aliveTime = 2 * clock.Second
	// maxCrashes limits the crashes that are remembered, and maxRequests and maxDigests the
	// requests of a crash and the digests of a request.
	maxCrashes  = 128
	maxRequests = 32
	maxDigests  = 16
	// maxKept limits the crashes that StopEvidence returns.
	maxKept = 32
)

// Digest identifies something that requests may have in common.
type Digest uint64

// String returns the digest as it is shown in logs.
func (d Digest) String() string {
	return strconv.FormatUint(uint64(d), 16)
}

// Join returns digests as they are shown in logs.
func Join(digests []Digest) string {
	shown := make([]string, 0, len(digests))
	for _, digest := range digests {
		shown = append(shown, digest.String())
	}
	return strings.Join(shown, ",")
}

// trialDelays are the times from the last crash of a digest in quarantine to the next trial,
// by the number of times at which endpoints have crashed with it.
var trialDelays = []clock.Millis{clock.Second, 20 * clock.Second, 2 * clock.Minute, 10 * clock.Minute}

// Decision says what is to be done with a request.
type Decision struct {
	// Suspects lists the digests of the request that are under suspicion or in
	// quarantine. If there are none, the request is free; else it is sent only as a trial.
	Suspects []Digest
	// Wait is the time until the next trial may begin.
	Wait clock.Millis
}

// Crash is the crash of one incarnation of an endpoint.
type Crash struct {
	Endpoint        string
	Incarnation     int64
	Backend         string
	SoftwareVersion string
	At              clock.Millis
	// Requests holds the digests of each request whose answer had not begun.
	Requests [][]Digest
	// Cleared lists digests that were found to be sound after the crash.
	Cleared []Digest
	// Alive is set if the endpoint turned out not to have crashed.
	Alive bool
}

// identity identifies a crash.
type identity struct {
	endpoint    string
	incarnation int64
}

// record is a crash that is remembered.
type record struct {
	Crash
	// digests holds those of all requests, and cleared those that were found to be sound.
	digests, cleared map[Digest]bool
}

// Book holds the evidence. It is not safe for concurrent use.
type Book struct {
	crashes map[identity]*record
	// index holds the crashes whose requests have a digest.
	index map[Digest][]*record
	// listed holds the software versions that are in use, and goneAt when others went.
	listed map[Version]bool
	goneAt map[Version]clock.Millis
}

// Version is a software version of a back end.
type Version struct {
	Backend string
	Name    string
}

// New returns an empty Book.
func New() *Book {
	return &Book{crashes: make(map[identity]*record), index: make(map[Digest][]*record), listed: make(map[Version]bool), goneAt: make(map[Version]clock.Millis)}
}

// IsEmpty reports whether no crash is known.
func (b *Book) IsEmpty() bool {
	return len(b.crashes) == 0
}

// Knows reports whether the crash of an incarnation of an endpoint is known.
func (b *Book) Knows(endpoint string, incarnation int64) bool {
	return b.crashes[identity{endpoint, incarnation}] != nil
}

// SetVersions records which software versions are in use from now on.
func (b *Book) SetVersions(now clock.Millis, current []Version) {
	for version := range b.listed {
		b.goneAt[version] = now
	}
	clear(b.listed)
	for _, version := range current {
		b.listed[version] = true
		delete(b.goneAt, version)
	}
	maps.DeleteFunc(b.goneAt, func(_ Version, at clock.Millis) bool { return now-at >= memory })
}

// RecordSound records that a request with these digests was answered at a time. It returns
// those of the digests against which a crash spoke, of which others are to be told.
func (b *Book) RecordSound(at clock.Millis, digests []Digest) (cleared []Digest) {
	for _, digest := range digests {
		if b.Clear(at, digest) {
			cleared = append(cleared, digest)
		}
	}
	return cleared
}

// Clear records that a digest was found to be sound at a time. It reports whether that
// changes anything.
func (b *Book) Clear(at clock.Millis, digest Digest) (changed bool) {
	for _, crash := range b.index[digest] {
		if crash.At < at {
			changed = crash.clear(digest) || changed
		}
	}
	return changed
}

// RecordAnswer records that an incarnation of an endpoint has answered. It reports whether
// the endpoint was taken for crashed.
func (b *Book) RecordAnswer(now clock.Millis, endpoint string, incarnation int64) (wasCrashed bool) {
	held := b.crashes[identity{endpoint, incarnation}]
	if held == nil || held.Alive || now-held.At > aliveTime {
		return false
	}
	held.Alive = true
	return true
}

// Crashes returns all that is known.
func (b *Book) Crashes() (crashes []Crash) {
	for _, held := range b.crashes {
		crash := held.Crash
		crash.Cleared = slices.Sorted(maps.Keys(held.cleared))
		crashes = append(crashes, crash)
	}
	slices.SortFunc(crashes, func(a, b Crash) int { return cmp.Compare(a.At, b.At) })
	return crashes
}

// StopEvidence returns the crashes that count against digests in quarantine, the newest
// maxKept of them, with what was cleared.
func (b *Book) StopEvidence(now clock.Millis) (crashes []Crash) {
	stopped := b.stopped(now)
	for _, crash := range b.Crashes() {
		if b.crashes[identity{crash.Endpoint, crash.Incarnation}].supports(stopped) {
			crashes = append(crashes, crash)
		}
	}
	return crashes[max(len(crashes)-maxKept, 0):]
}

// stopped returns the digests in quarantine as a set.
func (b *Book) stopped(now clock.Millis) map[Digest]bool {
	stopped := make(map[Digest]bool)
	for _, digest := range b.Stopped(now) {
		stopped[digest] = true
	}
	return stopped
}

// Fingerprint returns a number that is the same in two books with the same evidence against
// the same digests in quarantine. It is 0 if there are none. Other crashes do not count, since
// books may forget different ones.
func (b *Book) Fingerprint(now clock.Millis) (sum uint64) {
	stopped := b.stopped(now)
	for digest := range stopped {
		sum ^= xxhash.Sum64(binary.BigEndian.AppendUint64(nil, uint64(digest)))
	}
	for id, held := range b.crashes {
		if held.supports(stopped) {
			sum ^= xxhash.Sum64(binary.BigEndian.AppendUint64([]byte(id.endpoint), uint64(id.incarnation)))
		}
	}
	return sum
}
