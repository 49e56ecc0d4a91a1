// Package watch keeps this daemon's knowledge of the endpoints: the platform's
// list, their load reports and cache events, and news of leaving endpoints
// from peers.
//
// Whichever source first says that an endpoint is leaving is believed, for
// that incarnation for good. When the platform's list can't be read, the last
// one stays in force.
//
// Only a few daemons, the relays, read the platform's list. The others compare
// digests with a relay and fetch the parts that differ; when no relay answers
// they read the list themselves.
//
// Load reports and cache events are read only from the endpoints that the
// daemon schedules for, so that the number of readers of an endpoint does not
// grow with the number of daemons. A daemon that is cut off from everybody but
// the endpoints hears there that one is leaving.
//
// # Usage
//
//	w := watch.New(watch.Config{...})
//	go w.Run(ctx)
//	w.Hear(watch.News{EndpointID: id, Incarnation: inc}) // from a peer
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
	// relayIntervalPerEndpoint lengthens the interval at which relays read
	// the platform's list when it is long.
	relayIntervalPerEndpoint = 2 * clock.Millisecond
	// reportInterval is how often an endpoint's load and cache events are read.
	reportInterval = 500 * clock.Millisecond
	// callTimeout bounds one call.
	callTimeout = 2 * clock.Second
)

// LeavingUpdate says that an endpoint is leaving.
type LeavingUpdate struct {
	EndpointID  string
	Incarnation string
	ReclaimIn   clock.Millis
}

// Config is what a Watcher needs. All fields must be set.
type Config struct {
	Clock  clock.Clock
	Logger logrus.FieldLogger
	Random *rand.Rand
	// List reads the platform's list.
	List func(ctx context.Context) ([]entity.Endpoint, error)
	// IsRelay reports whether this daemon reads the list for others.
	IsRelay func() bool
	// QueryRelay sends a check to a relay.
	QueryRelay func(ctx context.Context, check ListCheck) (ListReply, error)
	// Load and CacheEvents read an engine's reports.
	Load        func(ctx context.Context, endpoint entity.Endpoint) (engine.LoadReport, error)
	CacheEvents func(ctx context.Context, endpoint entity.Endpoint, after uint64) (engine.CacheEvents, error)
	// Schedules reports whether this daemon schedules for the endpoint.
	Schedules func(endpoint entity.Endpoint) bool
	// Backend looks up a back end, to tell engines from plain services.
	Backend func(name string) (entity.Backend, bool)
	// OnEndpoints, OnLoad and OnCacheEvents take what was learned.
	OnEndpoints   func(endpoints []entity.Endpoint)
	OnLoad        func(endpoint entity.Endpoint, load engine.LoadReport)
	OnCacheEvents func(endpoint entity.Endpoint, events engine.CacheEvents)
	// Broadcast tells peers of a leaving endpoint.
	Broadcast func(news LeavingUpdate)
}

// Watcher follows the endpoints.
type Watcher struct {
	config Config

	mu        sync.Mutex
	listed    map[string]entity.Endpoint
	leaving   map[string]LeavingUpdate
	reporters map[string]*reporter
	failing   bool
	// known says that the list was read, digests sum it up.
	known   bool
	digests BucketDigests
	// heardRelay is when a relay last answered. Only Run uses it.
	heardRelay clock.Millis
}

// New returns a Watcher.
func New(config Config) *Watcher {
	return &Watcher{
		config:    config,
		listed:    make(map[string]entity.Endpoint),
		leaving:   make(map[string]LeavingUpdate),
		reporters: make(map[string]*reporter),
		digests:   make(BucketDigests, bucketCount),
		// Relays get time to answer when the whole fleet starts at once.
		heardRelay: config.Clock.Now(),
	}
}

// Run follows the endpoints until the context ends.
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

// interval returns the time until the list is read again. A check of a relay
// is cheap however long the list is.
func (w *Watcher) interval() clock.Millis {
	if !w.config.IsRelay() {
		return listInterval
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return max(listInterval, relayIntervalPerEndpoint*clock.Millis(len(w.listed)))
}

// Endpoints returns the endpoints as known now, leaving ones marked.
func (w *Watcher) Endpoints() []entity.Endpoint {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.endpoints()
}

// RecordLeaving takes news from a peer. It reports whether they were new.
func (w *Watcher) RecordLeaving(news LeavingUpdate) bool {
	w.mu.Lock()
	fresh := w.markLeaving(news)
	endpoints := w.endpoints()
	w.mu.Unlock()
	if fresh {
		w.config.OnEndpoints(endpoints)
	}
	return fresh
}

// refresh reads the list, tells what changed and follows the engines.
func (w *Watcher) refresh(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
	defer cancel()
	listed, news, err := w.read(callCtx)
	w.note(err)
	if news {
		w.take(listed)
	}
	w.follow(ctx, w.Endpoints())
}

// take puts a list in force and tells what changed.
func (w *Watcher) take(listed []entity.Endpoint) {
	w.mu.Lock()
	before, first := w.digests.total(), !w.known
	news := w.adopt(listed)
	changed := first || before != w.digests.total() || len(news) > 0
	endpoints := w.endpoints()
	w.mu.Unlock()
	if changed {
		w.config.OnEndpoints(endpoints)
	}
	for _, leaving := range news {
		w.tell(leaving)
	}
}

// noteLeaving takes an engine's own word that it is leaving.
func (w *Watcher) noteLeaving(news LeavingUpdate) {
	if w.RecordLeaving(news) {
		w.tell(news)
	}
}

// tell logs news and passes them on to peers.
func (w *Watcher) tell(news LeavingUpdate) {
	eventLeaving.Log(w.config.Logger, logrus.Fields{"Endpoint": news.EndpointID, "ReclaimIn": news.ReclaimIn.String()})
	w.config.Broadcast(news)
}

// note logs when reading the list begins and ceases to fail.
func (w *Watcher) note(err error) {
	w.mu.Lock()
	changed := w.failing != (err != nil)
	w.failing = err != nil
	w.mu.Unlock()
	switch {
	case !changed:
	case err != nil:
		eventListFailed.Log(w.config.Logger, logrus.Fields{"Error": err.Error()})
	default:
		eventListBack.Log(w.config.Logger, nil)
	}
}

// adopt takes a list over and returns the news in it.
func (w *Watcher) adopt(listed []entity.Endpoint) []LeavingUpdate {
	var news []LeavingUpdate
	current := make(map[string]entity.Endpoint, len(listed))
	for _, endpoint := range listed {
		current[endpoint.ID] = endpoint
		if !endpoint.Leaving {
			continue
		}
		leaving := LeavingUpdate{EndpointID: endpoint.ID, Incarnation: endpoint.Incarnation, ReclaimIn: endpoint.ReclaimIn}
		if w.markLeaving(leaving) {
			news = append(news, leaving)
		}
	}
	w.listed, w.known, w.digests = current, true, digestsOf(current)
	for id, leaving := range w.leaving {
		endpoint, present := current[id]
		if present && endpoint.Incarnation != leaving.Incarnation {
			delete(w.leaving, id)
		}
	}
	return news
}

// markLeaving remembers that an incarnation is leaving; it reports whether
// that is new.
func (w *Watcher) markLeaving(news LeavingUpdate) bool {
	known, found := w.leaving[news.EndpointID]
	if found && known.Incarnation == news.Incarnation {
		return false
	}
	endpoint, listed := w.listed[news.EndpointID]
	if listed && endpoint.Incarnation != news.Incarnation && !endpoint.Leaving {
		// The news are of an earlier or a later incarnation than the listed
		// one. Only the listed one can get work, and it is another.
		return false
	}
	w.leaving[news.EndpointID] = news
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
