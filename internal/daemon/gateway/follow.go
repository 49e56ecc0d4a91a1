package gateway

import (
	"maps"
	"slices"

	"github.com/sirupsen/logrus"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/coord/table"
	"github.com/banyanshift/banyanshift/internal/config/document"
	"github.com/banyanshift/banyanshift/internal/config/drain"
	"github.com/banyanshift/banyanshift/internal/decide/balance"
	"github.com/banyanshift/banyanshift/internal/endpoint/roster"
	"github.com/banyanshift/banyanshift/internal/platform/feed"
)

// feedWait is the maximum time for which one call to the store waits for changes, and
// so the interval at which a follower confirms its view.
const feedWait = clock.Second

// feedMode returns what to do about rows whose view was last confirmed at a time. All daemons of a
// fleet may start at once, so one that does not know its place yet reads the rows only once, and
// none takes the place of others for the age of a view that it did not hold before.
func (d *Daemon) feedMode(known bool, confirmedAt clock.Millis) feed.Mode {
	switch {
	case !known && !d.fleet.HasRank():
		return feed.Read
	case d.fleet.FollowsStore(max(confirmedAt, d.startedAt)):
		return feed.Follow
	case !known:
		return feed.Read
	}
	return feed.Idle
}

// maxDrainsLag is how much older the confirmation of the drains may be than that of the
// configuration. It is older if the peers are of a release that does not tell of drains.
const maxDrainsLag = 1500 * clock.Millisecond

// documentMode returns what to do about the rows of the configuration and of the drains.
func (d *Daemon) documentMode() feed.Mode {
	index, confirmedAt := d.document.Current()
	drains, drainsKnown := d.drains.State(d.clock.Now())
	if drainsKnown && confirmedAt-drains.AsOf > maxDrainsLag {
		return feed.Follow
	}
	return d.feedMode(index != nil && drainsKnown, confirmedAt)
}

func (d *Daemon) endpointsMode() feed.Mode {
	list := d.roster.State()
	return d.feedMode(list.Known, list.AsOf)
}

// followDocument returns a follower of the configuration in the store.
func (d *Daemon) followDocument() *feed.Follower {
	reader := &documentReader{daemon: d, drained: make(map[string]bool)}
	return feed.New(feed.Config{
		Feed: d.feed, Clock: d.clock, Logger: d.logger, Prefix: d.platform.DocumentPrefix, Mode: d.documentMode, Wait: feedWait,
		OnSnapshot: reader.replace, OnChanges: reader.update, DropIdleConnections: d.storeClient.CloseIdleConnections, Rand: d.random(3),
	})
}

// documentReader passes on the configuration and the drains in the store as this daemon last
// read them.
type documentReader struct {
	daemon *Daemon
	// drained holds the drained failure domains.
	drained map[string]bool
	// index is nil if the store holds no configuration that can be decoded.
	index *document.Index
	raw   []byte
}

func (r *documentReader) replace(rows []table.Row, at table.Position, asOf clock.Millis) {
	r.index, r.raw = nil, nil
	clear(r.drained)
	r.update(rows, at, asOf)
}

// update puts a changed configuration in force if its row is among the rows, and
// confirms as of asOf the version that the store holds.
func (r *documentReader) update(rows []table.Row, at table.Position, asOf clock.Millis) {
	d := r.daemon
	r.updateDrains(rows, at, asOf)
	for _, row := range rows {
		if row.Key != d.platform.DocumentKey || row.Version == 0 {
			continue
		}
		index, err := d.platform.DecodeDocument(row.Value)
		if err != nil {
			eventVersionUnreadable.Log(d.logger, logrus.Fields{"Revision": at.Revision, "Error": err.Error()})
			continue
		}
		r.index, r.raw = index, row.Value
	}
	if r.index != nil && d.document.Update(r.index, r.raw, document.Reading{Era: at.Era, AsOf: asOf, Source: d.settings.Daemon.ID}) {
		eventVersion.Log(d.logger, logrus.Fields{"Version": r.index.Version(), "Era": at.Era, "Revision": at.Revision})
		d.applyEndpoints()
		d.fleet.Announce()
	}
}

// updateDrains puts changed drains in force, and confirms as of asOf those that the store
// holds.
func (r *documentReader) updateDrains(rows []table.Row, at table.Position, asOf clock.Millis) {
	d := r.daemon
	for _, row := range rows {
		domain, drains := d.platform.DrainedDomain(row.Key)
		switch {
		case drains && row.Version != 0:
			r.drained[domain] = true
		case drains:
			delete(r.drained, domain)
		}
	}
	now := d.clock.Now()
	state := drain.State{Domains: slices.Collect(maps.Keys(r.drained)), Position: at, AsOf: asOf}
	if d.drains.Update(now, state) {
		eventDrains.Log(d.logger, logrus.Fields{"Domains": d.drains.Domains(now), "Era": at.Era, "Revision": at.Revision})
		d.fleet.Announce()
	}
}

// handleEndpoints applies a new list of endpoints from the roster.
func (d *Daemon) handleEndpoints(list []roster.Endpoint) {
	d.logChanges(list)
	d.endpoints.Store(&list)
	d.fleet.SetEndpoints(list)
	d.crashes.SetEndpoints(list)
	d.applyEndpoints()
	d.fleet.NotifyEndpoints()
	known := make(map[string]bool, len(list))
	for _, endpoint := range list {
		known[endpoint.ID] = true
	}
	d.connector.Keep(func(id string) bool { return known[id] })
}

// applyEndpoints adds the engine settings of the configuration to the endpoints
// and passes them to the scheduler.
func (d *Daemon) applyEndpoints() {
	list := d.endpoints.Load()
	if list == nil {
		return
	}
	index, _ := d.document.Current()
	joined := make([]roster.Endpoint, 0, len(*list))
	for _, endpoint := range *list {
		if index != nil {
			joinBackend(&endpoint, index.Backend(endpoint.Backend))
		}
		joined = append(joined, endpoint)
	}
	d.scheduler.SetEndpoints(joined)
	if index != nil {
		d.scheduler.SetEventGaps(eventGaps(index))
	}
}

// eventGaps returns the targets for the pauses of streams by back end.
func eventGaps(index *document.Index) map[string]balance.EventGaps {
	byBackend := make(map[string]balance.EventGaps)
	for _, route := range index.Routes() {
		for _, share := range route.Backends {
			gaps := byBackend[share.Backend]
			gaps.Add(route.Priority, route.EventGapTarget)
			byBackend[share.Backend] = gaps
		}
	}
	return byBackend
}

// joinBackend adds the settings of its back end, if that is configured, to an endpoint.
func joinBackend(endpoint *roster.Endpoint, backend *document.Backend) {
	if backend == nil {
		return
	}
	endpoint.ColdRate = backend.ColdRate
	if backend.Engine != nil {
		endpoint.CacheTokens = backend.Engine.CacheTokens
		endpoint.CopyRate = backend.Engine.CopyRate
		endpoint.Slots = max(endpoint.Slots, 1)
	}
}

// logChanges logs the differences from the previous list, or the size of the first one.
func (d *Daemon) logChanges(list []roster.Endpoint) {
	old := d.endpoints.Load()
	if old == nil {
		eventEndpointsKnown.Log(d.logger, logrus.Fields{"Endpoints": len(list)})
		return
	}
	before := make(map[string]roster.Endpoint, len(*old))
	for _, endpoint := range *old {
		before[endpoint.ID] = endpoint
	}
	for _, endpoint := range list {
		old, known := before[endpoint.ID]
		delete(before, endpoint.ID)
		if known && old.Leaving == endpoint.Leaving && old.Missing == endpoint.Missing && old.Incarnation == endpoint.Incarnation && old.ColdUntil == endpoint.ColdUntil {
			continue
		}
		eventEndpointChanged.Log(d.logger, logrus.Fields{
			"Endpoint": endpoint.ID, "Backend": endpoint.Backend, "Address": endpoint.Address, "FailureDomain": endpoint.FailureDomain,
			"SoftwareVersion": endpoint.SoftwareVersion,
			"Leaving":         endpoint.Leaving, "Missing": endpoint.Missing, "Cheap": endpoint.Cheap, "ColdFor": int64(max(endpoint.ColdUntil-d.clock.Now(), 0)),
		})
	}
	for id := range before {
		eventEndpointChanged.Log(d.logger, logrus.Fields{"Endpoint": id, "Gone": true})
	}
}
