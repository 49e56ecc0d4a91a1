package fleet

import (
	"maps"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/caller/relay"
	"github.com/banyanshift/banyanshift/internal/decide/balance"
	"github.com/banyanshift/banyanshift/internal/decide/origin"
)

const (
	// listingTime is how long after its start an endpoint has written its entry, if it reaches
	// the store.
	listingTime = 1500 * clock.Millisecond
	// maxUnlistedTime is how long an endpoint that has started again may be listed as it was
	// before. Its old entry expires if it does not reach the store.
	maxUnlistedTime = 10 * clock.Second
)

// listedStart is what the list said last of an endpoint.
type listedStart struct {
	incarnation     int64
	softwareVersion string
	// goneAt is when it was first not in the list, 0 if it is listed.
	goneAt clock.Millis
}

// doubtRestarted doubts the streams that may have begun at endpoints which had started again at
// another software version, before the list said so. It returns them for those that were told
// of them. The lock must be held.
func (s *streams) doubtRestarted(now clock.Millis, endpoints []balance.Endpoint) (started []startedStream) {
	s.markGone(now, endpoints)
	for _, endpoint := range endpoints {
		before, known := s.listed[endpoint.ID]
		s.listed[endpoint.ID] = listedStart{incarnation: endpoint.Incarnation, softwareVersion: endpoint.SoftwareVersion}
		if !known || before.incarnation == endpoint.Incarnation || before.softwareVersion == endpoint.SoftwareVersion {
			continue
		}
		doubted, ages := s.book.DoubtStartsAt(now, endpoint.ID, now-maxUnlistedTime)
		for i, stream := range doubted {
			started = append(started, startedStream{ID: stream.ID, SoftwareVersion: stream.SoftwareVersion, Age: ages[i]})
		}
	}
	return started
}

// markGone marks the endpoints that are not in the list, and forgets those that were not for long.
func (s *streams) markGone(now clock.Millis, endpoints []balance.Endpoint) {
	listed := make(map[string]bool, len(endpoints))
	for _, endpoint := range endpoints {
		listed[endpoint.ID] = true
	}
	for id, last := range s.listed {
		if last.goneAt == 0 && !listed[id] {
			last.goneAt = now
			s.listed[id] = last
		}
	}
	maps.DeleteFunc(s.listed, func(_ string, last listedStart) bool { return last.goneAt != 0 && now-last.goneAt > maxUnlistedTime })
}

// isOutdated reports whether the list names another incarnation and software version by now than
// a start. The lock must be held.
func (s *streams) isOutdated(start relay.StreamStart) bool {
	last, known := s.listed[start.Endpoint]
	return known && last.incarnation != start.Incarnation && last.softwareVersion != start.SoftwareVersion
}

// CheckStart reports whether an endpoint was of the known incarnation when it began a stream on a
// connection that was still open at a time. It was if the list, as of listingTime after the
// connection was opened, still had that incarnation: another one would have written its entry.
func (f *Fleet) CheckStart(start relay.StreamStart, openUntil clock.Millis) relay.StartCheck {
	if start.Incarnation == 0 {
		return relay.StartProved
	}
	if version := f.streams.find(origin.ID(start.RequestID)); version != nil && *version == origin.UnknownVersion {
		return relay.StartRefuted
	}
	endpoint := f.config.Scheduler.Endpoint(start.Endpoint)
	if endpoint.ID != "" && endpoint.Incarnation != start.Incarnation {
		return relay.StartProved // Otherwise the stream would have been doubted.
	}
	proofAt := start.OpenedAt + listingTime
	if openUntil < proofAt || f.config.Roster.State().AsOf < proofAt {
		return relay.StartUnproved
	}
	f.ProveStart(start)
	return relay.StartProved
}

// ProveStart records that the software version which began a stream is certain.
func (f *Fleet) ProveStart(start relay.StreamStart) {
	s := f.streams
	s.mu.Lock()
	defer s.mu.Unlock()
	s.book.Prove(origin.ID(start.RequestID))
}

// DoubtStart records that the software version which began a stream is not known, and tells those
// that may have been told of another one.
func (f *Fleet) DoubtStart(start relay.StreamStart) {
	s, id := f.streams, origin.ID(start.RequestID)
	s.mu.Lock()
	s.book.Doubt(id)
	s.mu.Unlock()
	s.tell([]startedStream{{ID: id, SoftwareVersion: origin.UnknownVersion}})
}
