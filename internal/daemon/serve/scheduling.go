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

// newsFanOut is how many peers are told at once of a leaving endpoint; each
// tells others in turn.
const newsFanOut = 4

// listRelayCount is how many daemons of a failure domain read the platform's
// list of endpoints.
const listRelayCount = 2

var errNoRelay = errors.New("no relay of the list of endpoints is known")

// buildScheduling builds the scheduler and what it learns of the endpoints.
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
	d.clients = transport.New(transport.Config{})
	d.engines = engine.New(d.clients)
	d.watcher = watch.New(watch.Config{
		Clock:         d.clock,
		Logger:        d.logger,
		Random:        d.random(3),
		List:          order.New(d.settings.Platform.OrderURL, d.platformHTTP).Endpoints,
		Load:          d.engines.Load,
		CacheEvents:   d.engines.CacheEvents,
		IsRelay:       d.isListRelay,
		QueryRelay:    d.askListRelay,
		Schedules:     func(endpoint entity.Endpoint) bool { return d.broker.Schedules(endpoint.ID) },
		Backend:       d.state.Backend,
		OnEndpoints:   d.takeEndpoints,
		OnLoad:        d.takeLoad,
		OnCacheEvents: d.takeCacheEvents,
		Broadcast:     d.broadcast,
	})
	link.Handle(d.link, message.EndpointUpdate, d.hearNews)
	link.Handle(d.link, message.EndpointList, d.serveListCheck)
	return nil
}

// listRelays returns the daemons of this failure domain that read the
// platform's list of endpoints for the others.
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

// askListRelay asks one of the relays, each in its turn.
func (d *Daemon) askListRelay(ctx context.Context, check watch.ListCheck) (watch.ListReply, error) {
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

func (d *Daemon) takeEndpoints(endpoints []entity.Endpoint) {
	d.running.keep(endpoints)
	d.broker.UpdateEndpoints(endpoints)
}

func (d *Daemon) takeLoad(endpoint entity.Endpoint, load engine.LoadReport) {
	d.running.put(endpoint.ID, load.Running)
	d.broker.UpdateLoad(place.LoadReport{
		Endpoint: endpoint.ID, Incarnation: endpoint.Incarnation,
		Running: load.Running, Waiting: load.Waiting, Slots: load.Slots,
		KVUsed: int64(load.KVUsed), KVTotal: int64(load.KVTotal),
		TokensPerSecond: load.TokensPerSecond, Sequence: load.Sequence,
	})
}

func (d *Daemon) takeCacheEvents(endpoint entity.Endpoint, events engine.CacheEvents) {
	placed := make([]place.CacheEvent, len(events.Events))
	for i, e := range events.Events {
		placed[i] = place.CacheEvent{Sequence: e.Sequence, Evicted: e.Kind == "Evict", Digest: e.Digest}
	}
	d.broker.CacheEvents(endpoint.ID, endpoint.Incarnation, events.First, placed)
}

// hearNews takes news of a leaving endpoint and passes fresh ones on.
func (d *Daemon) hearNews(_ context.Context, _ string, news watch.LeavingUpdate) (struct{}, error) {
	d.broker.MarkEndpointLeaving(news.EndpointID, news.Incarnation)
	if d.watcher.RecordLeaving(news) {
		d.broadcast(news)
	}
	return struct{}{}, nil
}

// broadcast tells a few peers, picked at random, of a leaving endpoint.
func (d *Daemon) broadcast(news watch.LeavingUpdate) {
	d.broker.MarkEndpointLeaving(news.EndpointID, news.Incarnation)
	view := d.members.View()
	order := d.random(d.requestIDs.Add(1)).Perm(len(view))
	told := 0
	for _, i := range order {
		peer := view[i]
		if peer.ID == d.settings.Daemon.ID || !peer.Live() {
			continue
		}
		if err := link.Send(d.link, link.Peer{ID: peer.ID, Address: peer.Address}, message.EndpointUpdate, news); err != nil {
			d.logger.WithFields(logrus.Fields{"Peer": peer.ID, "Error": err.Error()}).Debug("endpoint news not sent")
			continue
		}
		if told++; told == newsFanOut {
			return
		}
	}
}

// retryBudget is the daemon's budget of retries, shared by all requests.
type retryBudget struct {
	mu      sync.Mutex
	budgets *retry.Budgets
}

func newRetryBudget() *retryBudget {
	return &retryBudget{budgets: retry.NewBudgets(retry.Config{})}
}

func (r *retryBudget) mayRetry(req *request.Request) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.budgets.TakeRetry(req.Team, req.Backend)
}

func (r *retryBudget) succeeded(req *request.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budgets.RecordSuccess(req.Team, req.Backend)
}
