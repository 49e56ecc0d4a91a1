// Package watch tracks the endpoints of a daemon: it reads the platform's list,
// polls model engines for load reports and cache events, and receives updates
// about leaving endpoints from peers.
//
// As soon as any source reports that an endpoint is leaving, that incarnation
// counts as leaving for good. If the platform's list cannot be read, the last
// list stays in use.
//
// Only a few daemons, the relays, read the platform's list. The others compare
// digests with a relay and fetch the parts that differ. If no relay replies,
// they read the list themselves.
//
// Load reports and cache events are read only from the endpoints that the
// daemon schedules, so that the number of readers of an endpoint does not grow
// with the number of daemons. Load reports also state whether an endpoint is
// leaving, so that a daemon learns it even if it can reach only the endpoints.
//
// # Usage
//
//	w := watch.New(watch.Config{...})
//	go w.Run(ctx)
//	w.RecordLeaving(watch.LeavingUpdate{EndpointID: id, Incarnation: inc}) // from a peer
package watch

import (
	"context"
	"math/rand/v2"
	"sync"

	"github.com/sirupsen/logrus"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/config/entity"
	"github.com/banyanshift/banyanshift/internal/endpoint/engine"
)

const (
	// listInterval is how often the list is read.
	listInterval = 1 * clock.Second
	// relayIntervalPerEndpoint is the minimum interval, for each endpoint in
	// the list, between a relay's reads of the platform's list.
	relayIntervalPerEndpoint = 2 * clock.Millisecond
	// reportInterval is how often an endpoint's load and cache events are read.
	reportInterval = 500 * clock.Millisecond
	// callTimeout bounds each read of the list or of a report.
	callTimeout = 2 * clock.Second
)

// LeavingUpdate reports that an endpoint is leaving.
type LeavingUpdate struct {
	EndpointID  string
	Incarnation string
	ReclaimIn   clock.Millis
}

// Config configures a Watcher. All fields must be set.
type Config struct {
	Clock  clock.Clock
	Logger logrus.FieldLogger
	Random *rand.Rand
	// List reads the platform's list.
	List func(ctx context.Context) ([]entity.Endpoint, error)
	// IsRelay reports whether this daemon is a relay, which serves its list to
	// the others.
	IsRelay func() bool
	// QueryRelay sends a check to a relay.
	QueryRelay func(ctx context.Context, check ListCheck) (ListReply, error)
	// Load and CacheEvents read an engine's reports.
	Load        func(ctx context.Context, endpoint entity.Endpoint) (engine.LoadReport, error)
	CacheEvents func(ctx context.Context, endpoint entity.Endpoint, after uint64) (engine.CacheEvents, error)
	// Schedules reports whether this daemon schedules requests to the endpoint.
	Schedules func(endpoint entity.Endpoint) bool
	// Backend returns a back end by name. Only engines are polled for reports.
	Backend func(name string) (entity.Backend, bool)
	// OnEndpoints is called when the list changes, OnLoad for each load report
	// and OnCacheEvents for each non-empty batch of cache events.
	OnEndpoints   func(endpoints []entity.Endpoint)
	OnLoad        func(endpoint entity.Endpoint, load engine.LoadReport)
	OnCacheEvents func(endpoint entity.Endpoint, events engine.CacheEvents)
	// Broadcast sends an update to some peers, which forward it.
	Broadcast func(update LeavingUpdate)
}

// Watcher tracks the endpoints.
type Watcher struct {
	config Config

	mu          sync.Mutex
	listed      map[string]entity.Endpoint
	leaving     map[string]LeavingUpdate
	readers     map[string]*reportReader
	listFailing bool
	// hasList is set once the list was read. digests are those of listed.
	hasList bool
	digests BucketDigests
	// relayRepliedAt is when a relay last replied. Only Run uses it.
	relayRepliedAt clock.Millis
}

// New returns a Watcher.
func New(config Config) *Watcher {
	return &Watcher{
		config:  config,
		listed:  make(map[string]entity.Endpoint),
		leaving: make(map[string]LeavingUpdate),
		readers: make(map[string]*reportReader),
		digests: make(BucketDigests, bucketCount),
		// Relays need time to reply when all daemons start at once.
		relayRepliedAt: config.Clock.Now(),
	}
}

// Run tracks the endpoints until ctx is canceled.
func (w *Watcher) Run(ctx context.Context) error {
	for {
		w.refresh(ctx)
		interval := w.interval()
		jitter := clock.Millis(w.config.Random.Int64N(int64(interval / 4)))
		if err := w.config.Clock.Sleep(ctx, interval-jitter); err != nil {
			return err
		}
	}
}

// interval returns the time until the list is read again. Only relays wait
// longer for a long list, since querying a relay is cheap at any length.
func (w *Watcher) interval() clock.Millis {
	if !w.config.IsRelay() {
		return listInterval
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return max(listInterval, relayIntervalPerEndpoint*clock.Millis(len(w.listed)))
}

// Endpoints returns the current list with leaving endpoints marked.
func (w *Watcher) Endpoints() []entity.Endpoint {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.endpoints()
}

// RecordLeaving marks an endpoint as leaving. It reports whether that was new.
func (w *Watcher) RecordLeaving(update LeavingUpdate) bool {
	w.mu.Lock()
	isNew := w.markLeaving(update)
	endpoints := w.endpoints()
	w.mu.Unlock()
	if isNew {
		w.config.OnEndpoints(endpoints)
	}
	return isNew
}

// refresh reads the list, reports changes, and starts and stops the readers of
// engines' reports.
func (w *Watcher) refresh(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
	defer cancel()
	listed, changed, err := w.readList(callCtx)
	w.logListResult(err)
	if changed {
		w.applyList(listed)
	}
	w.updateReaders(ctx, w.Endpoints())
}

// applyList replaces the list and reports changes to OnEndpoints and newly
// leaving endpoints to peers.
func (w *Watcher) applyList(listed []entity.Endpoint) {
	w.mu.Lock()
	before, first := w.digests.total(), !w.hasList
	updates := w.replaceList(listed)
	changed := first || before != w.digests.total() || len(updates) > 0
	endpoints := w.endpoints()
	w.mu.Unlock()
	if changed {
		w.config.OnEndpoints(endpoints)
	}
	for _, leaving := range updates {
		w.announceLeaving(leaving)
	}
}

// handleEngineLeaving marks an endpoint as leaving after its load report has
// announced this, and informs peers if that is new.
func (w *Watcher) handleEngineLeaving(update LeavingUpdate) {
	if w.RecordLeaving(update) {
		w.announceLeaving(update)
	}
}

// announceLeaving logs an update and broadcasts it to peers.
func (w *Watcher) announceLeaving(update LeavingUpdate) {
	eventLeaving.Log(w.config.Logger, logrus.Fields{"Endpoint": update.EndpointID, "ReclaimIn": update.ReclaimIn.String()})
	w.config.Broadcast(update)
}

// logListResult logs when reading the list starts to fail and when it works
// again.
func (w *Watcher) logListResult(err error) {
	w.mu.Lock()
	changed := w.listFailing != (err != nil)
	w.listFailing = err != nil
	w.mu.Unlock()
	switch {
	case !changed:
	case err != nil:
		eventListFailed.Log(w.config.Logger, logrus.Fields{"Error": err.Error()})
	default:
		eventListBack.Log(w.config.Logger, nil)
	}
}

// replaceList replaces the list and returns the endpoints in it that are newly
// leaving.
func (w *Watcher) replaceList(listed []entity.Endpoint) []LeavingUpdate {
	var updates []LeavingUpdate
	current := make(map[string]entity.Endpoint, len(listed))
	for _, endpoint := range listed {
		current[endpoint.ID] = endpoint
		if !endpoint.Leaving {
			continue
		}
		leaving := LeavingUpdate{EndpointID: endpoint.ID, Incarnation: endpoint.Incarnation, ReclaimIn: endpoint.ReclaimIn}
		if w.markLeaving(leaving) {
			updates = append(updates, leaving)
		}
	}
	w.listed, w.hasList, w.digests = current, true, computeDigests(current)
	for id, leaving := range w.leaving {
		endpoint, present := current[id]
		if present && endpoint.Incarnation != leaving.Incarnation {
			delete(w.leaving, id)
		}
	}
	return updates
}

// markLeaving records that an incarnation is leaving and reports whether that
// is new.
func (w *Watcher) markLeaving(update LeavingUpdate) bool {
	known, found := w.leaving[update.EndpointID]
	if found && known.Incarnation == update.Incarnation {
		return false
	}
	endpoint, listed := w.listed[update.EndpointID]
	if listed && endpoint.Incarnation != update.Incarnation && !endpoint.Leaving {
		// The update is for an earlier or later incarnation than the listed
		// one. Only the listed incarnation receives requests.
		return false
	}
	w.leaving[update.EndpointID] = update
	return true
}

func (w *Watcher) endpoints() []entity.Endpoint {
	endpoints := make([]entity.Endpoint, 0, len(w.listed))
	for id, endpoint := range w.listed {
		if leaving, found := w.leaving[id]; found && leaving.Incarnation == endpoint.Incarnation {
			endpoint.Leaving = true
			endpoint.ReclaimIn = leaving.ReclaimIn
		}
		endpoints = append(endpoints, endpoint)
	}
	return endpoints
}
