package watch

import (
	"context"
	"errors"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/config/entity"
	"github.com/banyanshift/banyanshift/internal/observe/metric"
)

// relayPatience is how long relays may fail before a daemon reads the
// platform's list itself.
const relayPatience = 4 * clock.Second

var listReads = metric.NewMap("Endpoint.ListReads", "Readings of the list of endpoints, by source: Platform or Relay.")

// errNoList says that the relay has not read the list yet.
var errNoList = errors.New("watch: relay has no list yet")

// ListCheck asks a relay for what differs from the sender's list. At first it
// has only the Total; when that differs, Buckets too.
type ListCheck struct {
	Total   uint64
	Buckets BucketDigests
}

// ListReply answers a ListCheck.
type ListReply struct {
	// Known says that the relay has a list.
	Known bool
	// Same says that the lists are the same.
	Same bool
	// Buckets are those that differ and Endpoints all that the relay has in
	// them; set when the check had buckets.
	Buckets   []int
	Endpoints []entity.Endpoint
}

// ServeCheck answers another daemon's ListCheck.
func (w *Watcher) ServeCheck(check ListCheck) ListReply {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.known {
		return ListReply{}
	}
	if check.Total == w.digests.total() {
		return ListReply{Known: true, Same: true}
	}
	if len(check.Buckets) != bucketCount {
		return ListReply{Known: true}
	}
	buckets := differing(check.Buckets, w.digests)
	return ListReply{Known: true, Buckets: buckets, Endpoints: inBuckets(w.listed, buckets)}
}

// read returns the list as it is now, from the platform if this daemon is a
// relay or no relay answers, and else from a relay. news is false when the
// list that this daemon has stays in force.
func (w *Watcher) read(ctx context.Context) (listed []entity.Endpoint, news bool, err error) {
	now := w.config.Clock.Now()
	if w.config.IsRelay() || now-w.heardRelay > relayPatience {
		listReads.Add("Platform", 1)
		listed, err = w.config.List(ctx)
		return listed, err == nil, err
	}
	listReads.Add("Relay", 1)
	listed, news, err = w.readFromRelay(ctx)
	if err != nil {
		// The last list stays in force until the patience ends.
		return nil, false, nil //nolint:nilerr // a silent relay is no failure yet
	}
	w.heardRelay = now
	return listed, news, nil
}

// readFromRelay brings this daemon's list in line with a relay's.
func (w *Watcher) readFromRelay(ctx context.Context) (listed []entity.Endpoint, news bool, err error) {
	w.mu.Lock()
	own := w.digests
	w.mu.Unlock()
	reply, err := w.config.QueryRelay(ctx, ListCheck{Total: own.total()})
	if err == nil && reply.Known && !reply.Same {
		reply, err = w.config.QueryRelay(ctx, ListCheck{Total: own.total(), Buckets: own})
	}
	switch {
	case err != nil:
		return nil, false, err
	case !reply.Known:
		return nil, false, errNoList
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return merge(w.listed, reply), !reply.Same || !w.known, nil
}

// merge replaces the buckets of a reply in a list.
func merge(listed map[string]entity.Endpoint, reply ListReply) []entity.Endpoint {
	replaced := make(map[int]bool, len(reply.Buckets))
	for _, bucket := range reply.Buckets {
		replaced[bucket] = true
	}
	merged := append([]entity.Endpoint(nil), reply.Endpoints...)
	for id, endpoint := range listed {
		if len(replaced) == 0 || !replaced[bucketOf(id)] {
			merged = append(merged, endpoint)
		}
	}
	return merged
}
