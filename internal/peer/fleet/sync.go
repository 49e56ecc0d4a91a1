package fleet

import (
	"context"

	"github.com/sirupsen/logrus"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/endpoint/roster"
	"github.com/banyanshift/banyanshift/internal/peer/link"
	"github.com/banyanshift/banyanshift/internal/peer/message"
)

const (
	// maxListAge is the age from which this daemon replaces its list of endpoints by
	// a peer's list that differs. maxListAgeWithoutTable is the limit while this
	// daemon cannot read the table.
	maxListAge             = 1500 * clock.Millisecond
	maxListAgeWithoutTable = 700 * clock.Millisecond
	// minFetchInterval is the least time between two fetches of a list.
	minFetchInterval = clock.Second
	// firstReadTime is the time after the start in which the first list comes from the
	// store, unless that fails: it serves all daemons at once, and peers cannot.
	firstReadTime = 1500 * clock.Millisecond
)

// syncDocument takes over the time at which the peer's configuration was confirmed to be
// the newest if this daemon holds the same, and fetches it if it replaces the one held.
func (p *peer) syncDocument(ctx context.Context, sentAt clock.Millis, answer pong) {
	f := p.fleet
	offered := answer.Document
	if offered.Version == 0 || !f.config.Document.Confirm(offered.Identity, offered.reading(sentAt)) {
		return
	}
	if err := p.fetchDocument(ctx); err != nil {
		eventFetchFailed.Log(f.config.Logger, logrus.Fields{"Address": p.address, "What": "configuration", "Error": err.Error()})
	}
}

func (p *peer) fetchDocument(ctx context.Context) error {
	f := p.fleet
	sentAt := f.config.Clock.Now()
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout.Duration())
	defer cancel()
	answer, err := link.Call[documentRequest, documentAnswer](ctx, f.config.Link, link.Peer{Address: p.address}, message.FleetDocument, documentRequest{})
	if err != nil || len(answer.Raw) == 0 {
		return err
	}
	index, err := f.config.Decode(answer.Raw)
	if err != nil {
		return err
	}
	if f.config.Document.Update(index, answer.Raw, answer.State.reading(sentAt)) {
		eventVersionFetched.Log(f.config.Logger, logrus.Fields{"Version": index.Version(), "Peer": p.address, "Era": answer.State.Era, "Age": int64(answer.State.Age)})
		f.announce(nil)
	}
	return nil
}

// syncEndpoints takes over the time at which the peer's list of endpoints was
// confirmed if both lists are equal. If they differ, it fetches the peer's list if
// that is of a later position, or if the local list is too old.
func (p *peer) syncEndpoints(ctx context.Context, sentAt clock.Millis, answer pong) {
	f := p.fleet
	own := f.config.Roster.State()
	if !answer.ListKnown {
		return
	}
	asOf := sentAt - answer.ListAge
	if own.Known && answer.ListDigest == own.Digest {
		f.config.Roster.Confirm(own.Digest, answer.ListPosition.Era, asOf)
		return
	}
	now := f.config.Clock.Now()
	if !f.wantsList(now, asOf, own, answer) || !f.listFetch.TryLock() {
		return
	}
	defer f.listFetch.Unlock()
	if now-f.listFetchedAt < minFetchInterval {
		return
	}
	f.listFetchedAt = now
	p.fetchEndpoints(ctx)
}

// wantsList reports whether a peer's list that differs from the own one is to be fetched.
func (f *Fleet) wantsList(now, asOf clock.Millis, own roster.State, answer pong) bool {
	if own.Known {
		return isNewer(now, asOf, own, answer)
	}
	return now-f.startedAt > firstReadTime || f.config.StoreUnavailable()
}

// isNewer reports whether a peer's list that differs from the own one is to replace
// it. Lists of the same position may differ by what endpoints themselves said.
func isNewer(now, asOf clock.Millis, own roster.State, answer pong) bool {
	if answer.ListPosition != own.Position {
		return own.Position.Before(answer.ListPosition)
	}
	maxAge := maxListAge
	if own.TableUnavailable {
		maxAge = maxListAgeWithoutTable
	}
	return asOf > own.AsOf && now-own.AsOf >= maxAge
}

func (p *peer) fetchEndpoints(ctx context.Context) {
	f := p.fleet
	sentAt := f.config.Clock.Now()
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout.Duration())
	defer cancel()
	fetched, err := link.Call[endpointsRequest, endpointsAnswer](ctx, f.config.Link, link.Peer{Address: p.address}, message.FleetEndpoints, endpointsRequest{})
	if err != nil {
		eventFetchFailed.Log(f.config.Logger, logrus.Fields{"Address": p.address, "What": "endpoints", "Error": err.Error()})
		return
	}
	if fetched.Known {
		eventListFetched.Log(f.config.Logger, logrus.Fields{"Peer": p.address, "Endpoints": len(fetched.Endpoints), "Age": int64(fetched.Age)})
		f.config.Roster.ReplaceFromPeer(fetched.Endpoints, fetched.Position, sentAt-fetched.Age)
	}
}
