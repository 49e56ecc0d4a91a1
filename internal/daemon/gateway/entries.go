package gateway

import (
	"context"

	"github.com/sirupsen/logrus"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/coord/table"
	"github.com/banyanshift/banyanshift/internal/endpoint/roster"
	"github.com/banyanshift/banyanshift/internal/platform/feed"
)

// followEndpoints returns a follower of the endpoints' entries in the store.
func (d *Daemon) followEndpoints() *feed.Follower {
	reader := &entryReader{daemon: d, unreadable: make(map[string]bool)}
	return feed.New(feed.Config{
		Feed: d.feed, Clock: d.clock, Logger: d.logger, Prefix: d.platform.EndpointPrefix, Mode: d.endpointsMode, Wait: feedWait,
		OnSnapshot: reader.replace, OnChanges: reader.update, OnUnavailable: d.roster.MarkTableUnavailable, DropIdleConnections: d.storeClient.CloseIdleConnections, Rand: d.random(4),
	})
}

// readChangedEndpoints reads the entries that have changed in the store since those that the
// roster was given.
func (d *Daemon) readChangedEndpoints(ctx context.Context) (changed []roster.Endpoint, err error) {
	rows, err := d.endpointsFeed.ReadNewer(ctx)
	for _, row := range rows {
		if row.Version == 0 {
			continue
		}
		if entry, err := d.platform.DecodeEndpoint(row); err == nil {
			changed = append(changed, entry)
		}
	}
	return changed, err
}

// entryReader passes on the endpoints' entries in the store as this daemon reads them.
type entryReader struct {
	daemon *Daemon
	// unreadable holds the keys of the entries that cannot be decoded, which are logged once
	// and not each time that they are written or read again.
	unreadable map[string]bool
}

func (r *entryReader) replace(rows []table.Row, at table.Position, asOf clock.Millis) {
	r.forgetExcept(rows)
	entries, _, unusable := r.decode(rows)
	r.daemon.roster.Replace(entries, at, asOf)
	r.daemon.roster.Drop(unusable, at)
}

func (r *entryReader) update(rows []table.Row, at table.Position, asOf clock.Millis) {
	entries, removed, unusable := r.decode(rows)
	r.daemon.roster.Update(entries, removed, at, asOf)
	r.daemon.roster.Drop(unusable, at)
}

// decode decodes the entries in rows, and returns the IDs of those that were removed or cannot
// be decoded.
func (r *entryReader) decode(rows []table.Row) (entries []roster.Endpoint, removed, unusable []string) {
	for _, row := range rows {
		id := r.daemon.platform.EndpointID(row.Key)
		if row.Version == 0 {
			delete(r.unreadable, row.Key)
			removed = append(removed, id)
			continue
		}
		entry, err := r.daemon.platform.DecodeEndpoint(row)
		if err != nil {
			r.logUnreadable(row.Key, err)
			unusable = append(unusable, id)
			continue
		}
		delete(r.unreadable, row.Key)
		entries = append(entries, entry)
	}
	return entries, removed, unusable
}

func (r *entryReader) logUnreadable(key string, err error) {
	if r.unreadable[key] {
		return
	}
	r.unreadable[key] = true
	eventEndpointUnreadable.Log(r.daemon.logger, logrus.Fields{"Key": key, "Error": err.Error()})
}

// forgetExcept forgets the unreadable entries that are not among the rows.
func (r *entryReader) forgetExcept(rows []table.Row) {
	before := r.unreadable
	r.unreadable = make(map[string]bool, len(before))
	for _, row := range rows {
		if before[row.Key] {
			r.unreadable[row.Key] = true
		}
	}
}
