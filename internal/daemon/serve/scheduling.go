package serve

import (
	"context"
	"errors"
	"sync"

	"github.com/sirupsen/logrus"

	"github.com/banyanshift/banyanshift/coord/member"
	"github.com/banyanshift/banyanshift/internal/caller/request"
	"github.com/banyanshift/banyanshift/internal/config/entity"
	"github.com/banyanshift/banyanshift/internal/decide/place"
	"github.com/banyanshift/banyanshift/internal/decide/retry"
	"github.com/banyanshift/banyanshift/internal/endpoint/engine"
	"github.com/banyanshift/banyanshift/internal/endpoint/transport"
	"github.com/banyanshift/banyanshift/internal/endpoint/watch"
	"github.com/banyanshift/banyanshift/internal/peer/broker"
	"github.com/banyanshift/banyanshift/internal/peer/link"
	"github.com/banyanshift/banyanshift/internal/peer/message"
	"github.com/banyanshift/banyanshift/internal/platform/order"
)

// broadcastFanOut is the number of peers to which a daemon sends an update on a
// leaving endpoint. Each peer that receives it for the first time does the same.
const broadcastFanOut = 4

// listRelayCount is the number of daemons of a failure domain that read the
// platform's list of endpoints. The others query these relays.
const listRelayCount = 2

var errNoRelay = errors.New("no relay of the list of endpoints is known")

// buildScheduling builds the broker, the engine client, and the watcher that reports
// endpoints, load and cache events to the broker.
func (d *Daemon) buildScheduling() error {
	d.broker = broker.New(broker.Config{
		Self:   d.settings.Daemon.ID,
		Region: d.settings.Daemon.Region,
		Policy: broker.Policy(d.settings.Daemon.Policy),
		Seed:   d.seed,
	}, broker.Deps{
		Clock: d.clock, Logger: d.logger, Link: d.link, View: d.members.View,
		Class: d.state.Class, Team: d.state.Team, Backend: d.state.Backend,
	})
	d.broker.Register(d.link)
	d.clients = transport.New(transport.Config{Memory: d.memory})
	d.engines = engine.New(d.clients)
	d.watcher = watch.New(watch.Config{
		Clock:         d.clock,
		Logger:        d.logger,
		Random:        d.random(3),
		List:          newEndpointLister(order.New(d.settings.Platform.OrderURL, d.platformHTTP), d.logger).list,
		Load:          d.engines.Load,
		CacheEvents:   d.engines.CacheEvents,
		IsRelay:       d.isListRelay,
		QueryRelay:    d.queryListRelay,
		Schedules:     func(endpoint entity.Endpoint) bool { return d.broker.Schedules(endpoint.ID) },
		Backend:       d.state.Backend,
		OnEndpoints:   d.handleEndpoints,
		OnLoad:        d.handleLoad,
		OnCacheEvents: d.handleCacheEvents,
		Broadcast:     d.broadcast,
	})
	link.Handle(d.link, message.EndpointUpdate, d.handleEndpointUpdate)
	link.Handle(d.link, message.EndpointList, d.serveListCheck)
	return nil
}

// listRelays returns the daemons that read the platform's list of endpoints for
// this failure domain.
func (d *Daemon) listRelays() []member.Member {
	domain := d.settings.Daemon.FailureDomain
	return member.Pick(member.InDomain(d.members.View(), domain), "EndpointList/"+domain, listRelayCount)
}

func (d *Daemon) isListRelay() bool {
	relays := d.listRelays()
	for _, relay := range relays {
		if relay.ID == d.settings.Daemon.ID {
			return true
		}
	}
	return len(relays) == 0
}

// queryListRelay sends the check to one of the relays, picked round-robin.
func (d *Daemon) queryListRelay(ctx context.Context, check watch.ListCheck) (watch.ListReply, error) {
	relays := d.listRelays()
	if len(relays) == 0 {
		return watch.ListReply{}, errNoRelay
	}
	relay := relays[d.relayTurn.Add(1)%uint64(len(relays))]
	return link.Call[watch.ListCheck, watch.ListReply](ctx, d.link, link.Peer{ID: relay.ID, Address: relay.Address}, message.EndpointList, check)
}

func (d *Daemon) serveListCheck(_ context.Context, _ string, check watch.ListCheck) (watch.ListReply, error) {
	return d.watcher.ServeCheck(check), nil
}

func (d *Daemon) handleEndpoints(endpoints []entity.Endpoint) {
	d.runningCounts.retain(endpoints)
	d.broker.UpdateEndpoints(endpoints)
}

func (d *Daemon) handleLoad(endpoint entity.Endpoint, load engine.LoadReport) {
	d.runningCounts.set(endpoint.ID, load.Running)
	d.broker.RecordLoad(place.LoadReport{
		Endpoint: endpoint.ID, Incarnation: endpoint.Incarnation,
		Running: load.Running, Waiting: load.Waiting, Slots: load.Slots,
		KVUsed: int64(load.KVUsed), KVTotal: int64(load.KVTotal),
		TokensPerSecond: load.TokensPerSecond, Sequence: load.Sequence,
	})
}

func (d *Daemon) handleCacheEvents(endpoint entity.Endpoint, events engine.CacheEvents) {
	placed := make([]place.CacheEvent, len(events.Events))
	for i, e := range events.Events {
		placed[i] = place.CacheEvent{Sequence: e.Sequence, Evicted: e.Kind == "Evict", Digest: e.Digest}
	}
	d.broker.RecordCacheEvents(endpoint.ID, endpoint.Incarnation, events.First, placed)
}

// handleEndpointUpdate applies an update on a leaving endpoint and forwards it if it
// is new to this daemon.
func (d *Daemon) handleEndpointUpdate(_ context.Context, _ string, update watch.LeavingUpdate) (struct{}, error) {
	d.broker.MarkEndpointLeaving(update.EndpointID, update.Incarnation)
	if d.watcher.RecordLeaving(update) {
		d.broadcast(update)
	}
	return struct{}{}, nil
}

// broadcast sends an update on a leaving endpoint to a few random live peers.
func (d *Daemon) broadcast(update watch.LeavingUpdate) {
	d.broker.MarkEndpointLeaving(update.EndpointID, update.Incarnation)
	view := d.members.View()
	permutation := d.random(d.requestIDs.Add(1)).Perm(len(view))
	sent := 0
	for _, i := range permutation {
		peer := view[i]
		if peer.ID == d.settings.Daemon.ID || !peer.Live() {
			continue
		}
		if err := link.Send(d.link, link.Peer{ID: peer.ID, Address: peer.Address}, message.EndpointUpdate, update); err != nil {
			d.logger.WithFields(logrus.Fields{"Peer": peer.ID, "Error": err.Error()}).Debug("cannot send endpoint update to peer")
			continue
		}
		if sent++; sent == broadcastFanOut {
			return
		}
	}
}

// retryBudget makes the daemon's retry budgets safe for concurrent use. All requests
// share it.
type retryBudget struct {
	mu      sync.Mutex
	budgets *retry.Budgets
}

func newRetryBudget() *retryBudget {
	return &retryBudget{budgets: retry.NewBudgets(retry.Config{})}
}

func (r *retryBudget) takeRetry(req *request.Request) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.budgets.TakeRetry(req.Team, req.Backend)
}

func (r *retryBudget) recordSuccess(req *request.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budgets.RecordSuccess(req.Team, req.Backend)
}
