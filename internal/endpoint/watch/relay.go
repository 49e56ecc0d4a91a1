package watch

import (
	"context"
	"errors"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/config/entity"
	"github.com/banyanshift/banyanshift/internal/observe/metric"
)

// maxRelaySilence is how long relays may fail to reply before a daemon reads
// the platform's list itself.
const maxRelaySilence = 4 * clock.Second

var listReads = metric.NewMap("Endpoint.ListReads", "Reads of the list of endpoints, by source: Platform or Relay.")

// errNoList is returned if the relay has not read the list yet.
var errNoList = errors.New("watch: relay has no list yet")

// ListCheck requests the differences between a relay's list and the sender's.
// The first check carries only Total. If the totals differ, a second one also
// carries Buckets.
type ListCheck struct {
	Total   uint64
	Buckets BucketDigests
}

// ListReply answers a ListCheck.
type ListReply struct {
	// Known reports whether the relay has a list.
	Known bool
	// Same reports whether the lists are equal.
	Same bool
	// Buckets are the indexes of the buckets that differ, and Endpoints all of
	// the relay's endpoints in them. They are set if the check had Buckets.
	Buckets   []int
	Endpoints []entity.Endpoint
}

// ServeCheck answers another daemon's ListCheck.
func (w *Watcher) ServeCheck(check ListCheck) ListReply {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.hasList {
		return ListReply{}
	}
	if check.Total == w.digests.total() {
		return ListReply{Known: true, Same: true}
	}
	if len(check.Buckets) != bucketCount {
		return ListReply{Known: true}
	}
	buckets := differingBuckets(check.Buckets, w.digests)
	return ListReply{Known: true, Buckets: buckets, Endpoints: endpointsInBuckets(w.listed, buckets)}
}

// readList reads the current list. It reads from the platform if this daemon is
// a relay or no relay has replied within maxRelaySilence, and otherwise from a
// relay. changed is false if this daemon's list stays in use.
func (w *Watcher) readList(ctx context.Context) (listed []entity.Endpoint, changed bool, err error) {
	now := w.config.Clock.Now()
	if w.config.IsRelay() || now-w.relayRepliedAt > maxRelaySilence {
		listReads.Add("Platform", 1)
		listed, err = w.config.List(ctx)
		return listed, err == nil, err
	}
	listReads.Add("Relay", 1)
	listed, changed, err = w.readFromRelay(ctx)
	if err != nil {
		// The last list stays in use until maxRelaySilence has passed.
		return nil, false, nil //nolint:nilerr // a relay that does not reply is tolerated until then
	}
	w.relayRepliedAt = now
	return listed, changed, nil
}

// readFromRelay returns this daemon's list, updated with the buckets that
// differ at a relay.
func (w *Watcher) readFromRelay(ctx context.Context) (listed []entity.Endpoint, changed bool, err error) {
	w.mu.Lock()
	digests := w.digests
	w.mu.Unlock()
	reply, err := w.config.QueryRelay(ctx, ListCheck{Total: digests.total()})
	if err == nil && reply.Known && !reply.Same {
		reply, err = w.config.QueryRelay(ctx, ListCheck{Total: digests.total(), Buckets: digests})
	}
	switch {
	case err != nil:
		return nil, false, err
	case !reply.Known:
		return nil, false, errNoList
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return mergeReply(w.listed, reply), !reply.Same || !w.hasList, nil
}

// mergeReply returns the list with the buckets of the reply replaced.
func mergeReply(listed map[string]entity.Endpoint, reply ListReply) []entity.Endpoint {
	replaced := make(map[int]bool, len(reply.Buckets))
	for _, bucket := range reply.Buckets {
		replaced[bucket] = true
	}
	merged := append([]entity.Endpoint(nil), reply.Endpoints...)
	for id, endpoint := range listed {
		if len(replaced) == 0 || !replaced[bucketIndex(id)] {
			merged = append(merged, endpoint)
		}
	}
	return merged
}
