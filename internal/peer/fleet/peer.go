package fleet

import (
	"context"

	"github.com/sirupsen/logrus"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/peer/link"
	"github.com/banyanshift/banyanshift/internal/peer/message"
)

// maxListAge is the age from which this daemon replaces its list of endpoints by
// a peer's list that differs. maxListAgeWithoutTable is the limit while this
// daemon cannot read the table.
const (
	maxListAge             = 1500 * clock.Millisecond
	maxListAgeWithoutTable = 700 * clock.Millisecond
)

// peer is another daemon. The mutex of its Fleet guards everAnswered and the
// fields after it.
type peer struct {
	fleet   *Fleet
	address string
	id      string
	addedAt clock.Millis

	everAnswered bool
	lastAnswer   clock.Millis
	failures     int
}

// loop pings the peer until ctx ends or the peer has been silent for
// longer than removeAfter.
func (p *peer) loop(ctx context.Context) error {
	c := p.fleet.config.Clock
	for ctx.Err() == nil {
		p.ping(ctx)
		if c.Now()-p.lastContact() > removeAfter {
			p.fleet.removePeer(p)
			return nil
		}
		if err := c.Sleep(ctx, p.pingDelay()); err != nil {
			return err
		}
	}
	return ctx.Err()
}

func (p *peer) pingDelay() clock.Millis {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	return p.fleet.pingDelay()
}

func (p *peer) lastContact() clock.Millis {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	return max(p.addedAt, p.lastAnswer)
}

// ping asks the peer which versions it holds and fetches what is newer.
func (p *peer) ping(ctx context.Context) {
	f := p.fleet
	sentAt := f.config.Clock.Now()
	known, _ := f.countPeers(sentAt)
	request := ping{ID: f.config.Self.ID, Address: f.config.Self.Address, Peers: known}
	callCtx, cancel := context.WithTimeout(ctx, pingTimeout.Duration())
	answer, err := link.Call[ping, pong](callCtx, f.config.Link, link.Peer{Address: p.address}, message.FleetPing, request)
	cancel()
	if err != nil {
		p.recordFailure(err)
		return
	}
	p.recordSuccess(answer.ID)
	for _, other := range answer.Peers {
		f.addPeer(other.ID, other.Address)
	}
	p.syncDocument(ctx, sentAt, answer)
	p.syncEndpoints(ctx, sentAt, answer)
}

func (p *peer) recordSuccess(id string) {
	f := p.fleet
	f.mu.Lock()
	recovered := p.failures >= reconnectAfterFailures
	p.id = id
	p.everAnswered = true
	p.failures = 0
	p.lastAnswer = f.config.Clock.Now()
	f.mu.Unlock()
	if recovered {
		eventPeerRegained.Log(f.config.Logger, logrus.Fields{"Peer": p.id, "Address": p.address})
	}
}

func (p *peer) recordFailure(err error) {
	f := p.fleet
	f.mu.Lock()
	p.failures++
	failures := p.failures
	ever := p.everAnswered
	f.mu.Unlock()
	if failures%reconnectAfterFailures != 0 {
		return
	}
	f.config.Link.Disconnect(p.address)
	if failures == reconnectAfterFailures && ever {
		eventPeerLost.Log(f.config.Logger, logrus.Fields{"Peer": p.id, "Address": p.address, "Error": err.Error()})
	}
}

// syncDocument fetches the configuration if the peer's is newer, and takes over
// the time at which the peer's version was confirmed to be the newest.
func (p *peer) syncDocument(ctx context.Context, sentAt clock.Millis, answer pong) {
	f := p.fleet
	if answer.Version == 0 {
		return
	}
	index, _ := f.config.Document.Current()
	if index == nil || index.Version() < answer.Version {
		if err := p.fetchDocument(ctx, index == nil, answer.Version); err != nil {
			eventFetchFailed.Log(f.config.Logger, logrus.Fields{"Address": p.address, "What": "configuration", "Error": err.Error()})
			return
		}
	}
	f.config.Document.Confirm(answer.Version, sentAt-answer.VersionAge)
}

func (p *peer) fetchDocument(ctx context.Context, missing bool, version int64) error {
	f := p.fleet
	request := documentRequest{}
	if !missing {
		request.Version = version - 1
	}
	sentAt := f.config.Clock.Now()
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout.Duration())
	defer cancel()
	answer, err := link.Call[documentRequest, documentAnswer](ctx, f.config.Link, link.Peer{Address: p.address}, message.FleetDocument, request)
	if err != nil || len(answer.Raw) == 0 {
		return err
	}
	index, err := f.config.Decode(answer.Raw)
	if err != nil {
		return err
	}
	if f.config.Document.Update(index, answer.Raw, sentAt-answer.Age) {
		eventVersionFetched.Log(f.config.Logger, logrus.Fields{"Version": index.Version(), "Peer": p.id, "Age": int64(answer.Age)})
	}
	return nil
}

// syncEndpoints takes over the time at which the peer's list of endpoints was
// confirmed if both lists are equal. If they differ and the local list is too
// old, it fetches the peer's list.
func (p *peer) syncEndpoints(ctx context.Context, sentAt clock.Millis, answer pong) {
	f := p.fleet
	own := f.config.Roster.State()
	asOf := sentAt - answer.ListAge
	if answer.ListRevision == 0 || (own.Known && asOf <= own.AsOf) {
		return
	}
	if own.Known && answer.ListDigest == own.Digest {
		f.config.Roster.Confirm(own.Digest, asOf)
		return
	}
	maxAge := maxListAge
	if own.TableUnavailable {
		maxAge = maxListAgeWithoutTable
	}
	if own.Known && (f.config.Clock.Now()-own.AsOf < maxAge || answer.ListRevision < own.Revision) {
		return
	}
	p.fetchEndpoints(ctx)
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
	if fetched.Revision != 0 {
		f.config.Roster.ReplaceFromPeer(fetched.Endpoints, fetched.Revision, sentAt-fetched.Age)
	}
}
