package fleet

import (
	"context"

	"github.com/sirupsen/logrus"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/peer/link"
	"github.com/banyanshift/banyanshift/internal/peer/message"
)

// listAge is from which age on the own list of endpoints is replaced by another
// one of a peer, and lostListAge while this daemon cannot read the table.
const (
	listAge     = 1500 * clock.Millisecond
	lostListAge = 700 * clock.Millisecond
)

// peer is another daemon. Its fields from everAnswered on are guarded by the
// lock of its Fleet.
type peer struct {
	fleet   *Fleet
	address string
	id      string
	met     clock.Millis

	everAnswered bool
	answered     clock.Millis
	failures     int
}

// loop pings the peer until ctx ends or it has been silent for long.
func (p *peer) loop(ctx context.Context) error {
	c := p.fleet.config.Clock
	for ctx.Err() == nil {
		p.ping(ctx)
		if c.Now()-p.lastSign() > forgetAfter {
			p.fleet.forget(p)
			return nil
		}
		if err := c.Sleep(ctx, p.interval()); err != nil {
			return err
		}
	}
	return ctx.Err()
}

func (p *peer) interval() clock.Millis {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	return p.fleet.interval()
}

func (p *peer) lastSign() clock.Millis {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	return max(p.met, p.answered)
}

// ping asks the peer what it knows and fetches what is newer.
func (p *peer) ping(ctx context.Context) {
	f := p.fleet
	asked := f.config.Clock.Now()
	known, _ := f.reach(asked)
	request := ping{ID: f.config.Self.ID, Address: f.config.Self.Address, Peers: known}
	calling, cancel := context.WithTimeout(ctx, pingTimeout.Duration())
	answer, err := link.Call[ping, pong](calling, f.config.Link, link.Peer{Address: p.address}, message.FleetPing, request)
	cancel()
	if err != nil {
		p.failed(err)
		return
	}
	p.succeeded(answer.ID)
	for _, other := range answer.Peers {
		f.meet(other.ID, other.Address)
	}
	p.learnVersion(ctx, asked, answer)
	p.learnEndpoints(ctx, asked, answer)
}

func (p *peer) succeeded(id string) {
	f := p.fleet
	f.mu.Lock()
	regained := p.failures >= reopenAfter
	p.id = id
	p.everAnswered = true
	p.failures = 0
	p.answered = f.config.Clock.Now()
	f.mu.Unlock()
	if regained {
		eventPeerRegained.Log(f.config.Logger, logrus.Fields{"Peer": p.id, "Address": p.address})
	}
}

func (p *peer) failed(err error) {
	f := p.fleet
	f.mu.Lock()
	p.failures++
	failures := p.failures
	ever := p.everAnswered
	f.mu.Unlock()
	if failures%reopenAfter != 0 {
		return
	}
	f.config.Link.Disconnect(p.address)
	if failures == reopenAfter && ever {
		eventPeerLost.Log(f.config.Logger, logrus.Fields{"Peer": p.id, "Address": p.address, "Error": err.Error()})
	}
}

// learnVersion fetches a newer configuration, and takes the peer's word for how
// long ago the held one was the newest.
func (p *peer) learnVersion(ctx context.Context, asked clock.Millis, answer pong) {
	f := p.fleet
	if answer.Version == 0 {
		return
	}
	index, _ := f.config.Document.Held()
	if index == nil || index.Version() < answer.Version {
		if err := p.fetchDocument(ctx, index == nil, answer.Version); err != nil {
			eventFetchFailed.Log(f.config.Logger, logrus.Fields{"Address": p.address, "What": "configuration", "Error": err.Error()})
			return
		}
	}
	f.config.Document.Confirm(answer.Version, asked-answer.VersionAge)
}

func (p *peer) fetchDocument(ctx context.Context, none bool, version int64) error {
	f := p.fleet
	request := documentRequest{}
	if !none {
		request.Version = version - 1
	}
	asked := f.config.Clock.Now()
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
	if f.config.Document.Offer(index, answer.Raw, asked-answer.Age) {
		eventVersionFetched.Log(f.config.Logger, logrus.Fields{"Version": index.Version(), "Peer": p.id, "Age": int64(answer.Age)})
	}
	return nil
}

// learnEndpoints takes the peer's word for how long ago the own list of endpoints
// was right, or fetches the peer's if the own one is old and another.
func (p *peer) learnEndpoints(ctx context.Context, asked clock.Millis, answer pong) {
	f := p.fleet
	own := f.config.Roster.State()
	asOf := asked - answer.ListAge
	if answer.ListRevision == 0 || (own.Known && asOf <= own.AsOf) {
		return
	}
	if own.Known && answer.ListDigest == own.Digest {
		f.config.Roster.Confirm(own.Digest, asOf)
		return
	}
	oldest := listAge
	if own.TableUnavailable {
		oldest = lostListAge
	}
	if own.Known && (f.config.Clock.Now()-own.AsOf < oldest || answer.ListRevision < own.Revision) {
		return
	}
	p.fetchEndpoints(ctx)
}

func (p *peer) fetchEndpoints(ctx context.Context) {
	f := p.fleet
	asked := f.config.Clock.Now()
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout.Duration())
	defer cancel()
	fetched, err := link.Call[endpointsRequest, endpointsAnswer](ctx, f.config.Link, link.Peer{Address: p.address}, message.FleetEndpoints, endpointsRequest{})
	if err != nil {
		eventFetchFailed.Log(f.config.Logger, logrus.Fields{"Address": p.address, "What": "endpoints", "Error": err.Error()})
		return
	}
	if fetched.Revision != 0 {
		f.config.Roster.ReplaceFromPeer(fetched.Endpoints, fetched.Revision, asked-fetched.Age)
	}
}
