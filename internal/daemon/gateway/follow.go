package gateway

import (
	"github.com/sirupsen/logrus"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/coord/table"
	"github.com/banyanshift/banyanshift/internal/endpoint/roster"
	"github.com/banyanshift/banyanshift/internal/platform/feed"
)

const (
	// readerWait is how long one call of a reader waits for changes. A reader
	// confirms what it believes as often; what others confirm in between
	// comes from them.
	readerWait = 2 * clock.Second
	// readers is how many daemons call the store as often as that. All learn
	// of changes at once; the others hear from the readers when their own
	// call has fallen silent.
	readers = 9
	// otherWait is how long one call of the other daemons waits.
	otherWait = 15 * clock.Second
)

// followWait returns how long the next call of the store waits for changes.
func (d *Daemon) followWait() clock.Millis {
	if d.fleet.Rank() < readers {
		return readerWait
	}
	return otherWait
}

// tellers is how many daemons tell the others of endpoints that leave or are
// gone, which most others read in the store themselves.
const tellers = 5

// followDocument returns the follower of the configuration.
func (d *Daemon) followDocument() *feed.Follower {
	return feed.New(feed.Config{
		Feed: d.feed, Clock: d.clock, Logger: d.logger, Prefix: d.platform.DocumentPrefix, Wait: d.followWait,
		OnAll: d.takeDocument, OnChanges: d.takeDocument, Rand: d.random(3),
	})
}

// takeDocument takes in the row of the configuration if it is among the rows.
func (d *Daemon) takeDocument(rows []table.Row, revision uint64, asOf clock.Millis) {
	for _, row := range rows {
		if row.Key != d.platform.DocumentKey || row.Version == 0 {
			continue
		}
		index, err := d.platform.DecodeDocument(row.Value)
		if err != nil {
			eventVersionUnreadable.Log(d.logger, logrus.Fields{"Revision": revision, "Error": err.Error()})
			continue
		}
		if d.document.Update(index, row.Value, asOf) {
			eventVersion.Log(d.logger, logrus.Fields{"Version": index.Version(), "Revision": revision})
			d.joinEndpoints()
		}
	}
	if index, _ := d.document.Current(); index != nil {
		d.document.Confirm(index.Version(), asOf)
	}
}

// followEndpoints returns the follower of the entries of endpoints.
func (d *Daemon) followEndpoints() *feed.Follower {
	return feed.New(feed.Config{
		Feed: d.feed, Clock: d.clock, Logger: d.logger, Prefix: d.platform.EndpointPrefix, Wait: d.followWait,
		OnAll: d.replaceEndpoints, OnChanges: d.updateEndpoints, OnLost: d.roster.MarkTableUnavailable, Rand: d.random(4),
	})
}

func (d *Daemon) replaceEndpoints(rows []table.Row, revision uint64, asOf clock.Millis) {
	entries, _ := d.decodeEndpoints(rows)
	d.roster.Replace(entries, revision, asOf)
}

func (d *Daemon) updateEndpoints(rows []table.Row, revision uint64, asOf clock.Millis) {
	entries, removed := d.decodeEndpoints(rows)
	d.roster.Update(entries, removed, revision, asOf)
}

// decodeEndpoints reads entries. One that cannot be read names no endpoint, as
// one that was removed.
func (d *Daemon) decodeEndpoints(rows []table.Row) (entries []roster.Endpoint, removed []string) {
	for _, row := range rows {
		if row.Version == 0 {
			removed = append(removed, d.platform.EndpointID(row.Key))
			continue
		}
		entry, err := d.platform.DecodeEndpoint(row)
		if err != nil {
			eventEndpointUnreadable.Log(d.logger, logrus.Fields{"Key": row.Key, "Error": err.Error()})
			removed = append(removed, d.platform.EndpointID(row.Key))
			continue
		}
		entries = append(entries, entry)
	}
	return entries, removed
}

// endpointsChanged takes in a new list of endpoints.
func (d *Daemon) endpointsChanged(list []roster.Endpoint) {
	d.noteChanges(list)
	d.listed.Store(&list)
	d.joinEndpoints()
	known := make(map[string]bool, len(list))
	for _, endpoint := range list {
		known[endpoint.ID] = true
	}
	d.pool.CloseIdleExcept(func(id string) bool { return known[id] })
}

// joinEndpoints gives the endpoints what the configuration says of their back
// ends and hands them to the board.
func (d *Daemon) joinEndpoints() {
	list := d.listed.Load()
	if list == nil {
		return
	}
	index, _ := d.document.Current()
	joined := make([]roster.Endpoint, 0, len(*list))
	for _, endpoint := range *list {
		if index != nil {
			if backend := index.Backend(endpoint.Backend); backend != nil && backend.Engine != nil {
				endpoint.CacheTokens = backend.Engine.CacheTokens
				endpoint.Slots = max(endpoint.Slots, 1)
			}
		}
		joined = append(joined, endpoint)
	}
	d.board.SetEndpoints(joined)
}

// noteChanges logs how the list differs from the one before, and tells the peers
// which endpoints are leaving.
func (d *Daemon) noteChanges(list []roster.Endpoint) {
	tells := d.fleet.Rank() < tellers
	before := make(map[string]roster.Endpoint)
	if old := d.listed.Load(); old != nil {
		for _, endpoint := range *old {
			before[endpoint.ID] = endpoint
		}
	}
	for _, endpoint := range list {
		old, known := before[endpoint.ID]
		delete(before, endpoint.ID)
		if known && old.Leaving == endpoint.Leaving && old.Missing == endpoint.Missing && old.Incarnation == endpoint.Incarnation {
			continue
		}
		if tells && endpoint.Leaving && (!known || !old.Leaving) {
			d.board.MarkLeaving(endpoint.ID)
		}
		eventEndpointChanged.Log(d.logger, logrus.Fields{
			"Endpoint": endpoint.ID, "Backend": endpoint.Backend, "Address": endpoint.Address, "FailureDomain": endpoint.FailureDomain,
			"Leaving": endpoint.Leaving, "Missing": endpoint.Missing, "Cheap": endpoint.Cheap,
		})
	}
	for id := range before {
		if tells {
			d.board.MarkRemoved(id)
		}
		eventEndpointChanged.Log(d.logger, logrus.Fields{"Endpoint": id, "Gone": true})
	}
}
