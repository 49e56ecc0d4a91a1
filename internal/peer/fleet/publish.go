package fleet

import (
	"context"
	"maps"
	"slices"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/endpoint/roster"
	"github.com/banyanshift/banyanshift/internal/peer/message"
)

// publisher announces the changes of this daemon's list of endpoints to the daemons
// that follow it. If it follows the store, it also announces them to its upstream or,
// as a root, to the other roots.
type publisher struct {
	fleet *Fleet
	wake  chan struct{}
	// published is the list as of the last announcement, if hasPublished.
	published    map[string]roster.Endpoint
	hasPublished bool
}

func newPublisher(f *Fleet) *publisher {
	return &publisher{fleet: f, wake: make(chan struct{}, 1), published: make(map[string]roster.Endpoint)}
}

// NotifyEndpoints makes the Fleet announce the changes of the list of endpoints. It
// does not block.
func (f *Fleet) NotifyEndpoints() {
	select {
	case f.publisher.wake <- struct{}{}:
	default:
	}
}

func (p *publisher) loop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-p.wake:
			p.publish()
		}
	}
}

// publish announces what changed since the last call. A receiver that misses an
// announcement notices by the digest in the next answer to a ping. The first list is not
// announced: it holds no news, and receivers that lack it fetch it.
func (p *publisher) publish() {
	f := p.fleet
	list, at, _, _ := f.config.Roster.List()
	first := !p.hasPublished
	p.hasPublished = true
	changes := p.diff(list)
	changes.Position = at
	if first || (len(changes.Changed) == 0 && len(changes.Removed) == 0) {
		return
	}
	followsStore := f.config.FollowsStore()
	f.mu.Lock()
	receivers := f.view.Subscribers()
	if followsStore {
		receivers = append(receivers, f.above()...)
	}
	f.mu.Unlock()
	changes.Changed = withColdFor(changes.Changed, f.config.Clock.Now())
	f.send(receivers, message.FleetEndpointChanges, changes)
}

// withColdFor returns a copy of a list in which cold endpoints state how long they stay so.
func withColdFor(list []roster.Endpoint, now clock.Millis) []roster.Endpoint {
	stated := slices.Clone(list)
	for i := range stated {
		stated[i].ColdFor = max(stated[i].ColdUntil-now, 0)
	}
	return stated
}

// diff returns the differences between a list and the one before.
func (p *publisher) diff(list []roster.Endpoint) (changes endpointChanges) {
	before := p.published
	p.published = make(map[string]roster.Endpoint, len(list))
	for _, endpoint := range list {
		p.published[endpoint.ID] = endpoint
		if old, known := before[endpoint.ID]; !known || old != endpoint {
			changes.Changed = append(changes.Changed, endpoint)
		}
		delete(before, endpoint.ID)
	}
	changes.Removed = slices.Sorted(maps.Keys(before))
	return changes
}
