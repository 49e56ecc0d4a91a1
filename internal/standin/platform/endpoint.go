package platform

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"sync"

	"github.com/google/uuid"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/config/entity"
	"github.com/banyanshift/banyanshift/internal/platform/order"
	"github.com/banyanshift/banyanshift/internal/platform/rest"
	"github.com/banyanshift/banyanshift/internal/standin/host"
	"github.com/banyanshift/banyanshift/internal/standin/record"
)

// endpoints starts and stops endpoints on registered hosts and lists them with a
// lag.
type endpoints struct {
	ctx     context.Context
	config  Config
	clock   clock.Clock
	history history[[]entity.Endpoint]

	mu     sync.Mutex
	hosts  map[string]host.Registration
	live   map[string]*endpointRecord
	ended  []*endpointRecord
	orders []record.Order
	// accepted holds the IDs of the orders that were executed.
	accepted map[string]bool
	fences   fenceTracker
	// cheapAvailableAt is when cheap endpoints can be started again, by
	// failure domain.
	cheapAvailableAt map[string]clock.Millis
}

// endpointRecord is one endpoint from the order to start it until its end.
type endpointRecord struct {
	spec      host.Spec
	host      host.Registration
	orderedAt clock.Millis
	runningAt clock.Millis
	endedAt   clock.Millis
	leavingAt clock.Millis
}

func newEndpoints(ctx context.Context, config Config, clk clock.Clock) *endpoints {
	e := &endpoints{
		ctx: ctx, config: config, clock: clk,
		hosts:            make(map[string]host.Registration),
		live:             make(map[string]*endpointRecord),
		accepted:         make(map[string]bool),
		fences:           newFenceTracker(),
		cheapAvailableAt: make(map[string]clock.Millis),
	}
	e.history.lag = config.EndpointLag
	e.history.clock = clk
	return e
}

func (e *endpoints) putHost(_ *http.Request, registration host.Registration) answer {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.hosts[registration.ID] = registration
	return ok(struct{}{})
}

func (e *endpoints) list(call) answer {
	listed := e.history.read()
	result := make([]entity.Endpoint, 0, len(listed))
	now := e.clock.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, endpoint := range listed {
		if known, running := e.live[endpoint.ID]; running && endpoint.Leaving {
			endpoint.ReclaimIn = max(1, known.leavingAt-now)
		}
		result = append(result, endpoint)
	}
	return ok(result)
}

// publish adds the current endpoints to the history. The caller holds the lock.
func (e *endpoints) publish() {
	var listed []entity.Endpoint
	for _, known := range e.live {
		if known.runningAt != 0 {
			listed = append(listed, known.spec.Endpoint)
		}
	}
	slices.SortFunc(listed, func(a, b entity.Endpoint) int { return strings.Compare(a.ID, b.ID) })
	e.history.add(listed)
}

// receiveOrder serves POST /orders: it records an order and executes it.
func (e *endpoints) receiveOrder(c call) answer {
	var received order.Order
	if !c.decode(&received) || received.ID == "" {
		return refuse(http.StatusBadRequest, "BadBody")
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	entry := record.Order{Order: received, Received: e.clock.Wall(), Repeated: e.accepted[received.ID]}
	entry.Overlap = !e.fences.observe(received.Scope, received.Fence, received.Holder)
	reply := e.execute(received, entry)
	entry.Accepted = reply.status == http.StatusOK
	e.orders = append(e.orders, entry)
	if entry.Accepted {
		e.accepted[received.ID] = true
	}
	return reply
}

// execute starts or stops an endpoint. It refuses an outdated fence if the
// platform checks fences, and does nothing for a repeated order ID.
func (e *endpoints) execute(received order.Order, entry record.Order) answer {
	switch {
	case entry.Overlap && e.config.ChecksFence:
		return refuse(http.StatusConflict, order.CodeOldFence)
	case entry.Repeated:
		return ok(struct{}{})
	case received.Kind == order.Start:
		return e.startEndpoint(received)
	case received.Kind == order.Stop:
		return e.stopEndpoint(received.EndpointID)
	}
	return refuse(http.StatusBadRequest, "BadKind")
}

// start serves POST /control/start, which starts an endpoint without recording
// an order.
func (e *endpoints) start(_ *http.Request, received order.Order) answer {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.startEndpoint(received)
}

func (e *endpoints) startEndpoint(received order.Order) answer {
	if _, running := e.live[received.EndpointID]; running || received.EndpointID == "" {
		return refuse(http.StatusBadRequest, "EndpointExists")
	}
	kind := entity.Model
	if received.Model == "" {
		kind = entity.Service
	}
	chosen, found := e.hostFor(kind, received.FailureDomain)
	if !found || !e.hasCapacity(received) {
		return refuse(http.StatusConflict, order.CodeNoCapacity)
	}
	price := e.config.FirmMilliPrice
	if received.Market == entity.Cheap {
		price = e.config.CheapMilliPrice
	}
	started := &endpointRecord{host: chosen, orderedAt: e.clock.Wall()}
	started.spec = host.Spec{
		Model:       received.Model,
		Slots:       e.config.Slots,
		ChecksFence: !slices.Contains(e.config.BackendsIgnoringFence, received.Backend),
		Endpoint: entity.Endpoint{
			ID: received.EndpointID, Backend: received.Backend, Region: chosen.Region,
			FailureDomain: received.FailureDomain, Market: received.Market,
			Incarnation: uuid.NewString(), MilliPrice: price,
		},
	}
	e.live[received.EndpointID] = started
	go e.runStart(started, started.spec)
	return ok(struct{}{})
}

func (e *endpoints) hostFor(kind entity.BackendType, domain string) (host.Registration, bool) {
	for _, candidate := range e.hosts {
		if candidate.Type == kind && slices.Contains(candidate.FailureDomains, domain) {
			return candidate, true
		}
	}
	return host.Registration{}, false
}

func (e *endpoints) hasCapacity(received order.Order) bool {
	if received.Market != entity.Cheap {
		return true
	}
	running := 0
	for _, known := range e.live {
		if known.spec.Endpoint.Market == entity.Cheap && known.spec.Endpoint.FailureDomain == received.FailureDomain {
			running++
		}
	}
	return running < e.config.MaxCheapPerDomain && e.clock.Now() >= e.cheapAvailableAt[received.FailureDomain]
}

// runStart starts an endpoint on its host and lists it once it can serve.
func (e *endpoints) runStart(started *endpointRecord, spec host.Spec) {
	var reply host.StartReply
	err := e.callHost(started.host, "/endpoints/start", spec, &reply)
	e.mu.Lock()
	defer e.mu.Unlock()
	if err != nil {
		e.removeEndpoint(started)
		return
	}
	started.spec.Endpoint.Address = reply.Address
	started.runningAt = e.clock.Wall()
	e.publish()
}

func (e *endpoints) callHost(to host.Registration, path string, in, out any) error {
	return rest.New(to.URL, http.DefaultClient).Call(e.ctx, http.MethodPost, path, in, out)
}

// removeEndpoint takes an endpoint off the list and stops its cost. The caller
// holds the lock.
func (e *endpoints) removeEndpoint(ended *endpointRecord) {
	id := ended.spec.Endpoint.ID
	if e.live[id] != ended {
		return
	}
	ended.endedAt = e.clock.Wall()
	delete(e.live, id)
	e.ended = append(e.ended, ended)
	e.publish()
}

func (e *endpoints) stopEndpoint(id string) answer {
	known, running := e.live[id]
	if !running || known.spec.Endpoint.Leaving {
		return ok(struct{}{})
	}
	e.markLeaving(known, e.config.StopGrace)
	go e.runStop(known)
	return ok(struct{}{})
}

// markLeaving lists an endpoint as leaving, with the time left until its end.
func (e *endpoints) markLeaving(known *endpointRecord, in clock.Millis) {
	known.spec.Endpoint.Leaving = true
	known.leavingAt = e.clock.Now() + in
	e.publish()
}

// runStop stops an endpoint after its running requests. It waits first, so that
// the daemons can see in the list that the endpoint is leaving.
func (e *endpoints) runStop(known *endpointRecord) {
	ref := host.EndpointRef{ID: known.spec.Endpoint.ID, Grace: e.config.StopGrace}
	_ = e.callHost(known.host, "/endpoints/leave", ref, nil)
	_ = e.clock.Sleep(e.ctx, min(e.config.StopGrace, minStopDelay))
	_ = e.callHost(known.host, "/endpoints/stop", ref, nil)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.removeEndpoint(known)
}

// minStopDelay is the least time that a stopped endpoint keeps running, unless
// StopGrace is shorter, because the list of endpoints lags.
const minStopDelay = 5 * clock.Second

// reportCrash serves DELETE /endpoints/<id>, with which a host reports a crash.
func (e *endpoints) reportCrash(r *http.Request, _ struct{}) answer {
	e.mu.Lock()
	defer e.mu.Unlock()
	if known, running := e.live[r.PathValue("id")]; running {
		e.removeEndpoint(known)
	}
	return ok(struct{}{})
}

// Reclaim ends all cheap endpoints of a failure domain after Notice. For the time
// Unavailable after that, no cheap endpoint can be started there.
type Reclaim struct {
	FailureDomain string
	Notice        clock.Millis
	Unavailable   clock.Millis
}

// ReclaimResult names the endpoints that are reclaimed.
type ReclaimResult struct {
	EndpointIDs []string
}

func (e *endpoints) reclaim(_ *http.Request, notice Reclaim) answer {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cheapAvailableAt[notice.FailureDomain] = e.clock.Now() + notice.Notice + notice.Unavailable
	var result ReclaimResult
	for id, known := range e.live {
		endpoint := known.spec.Endpoint
		if endpoint.Market != entity.Cheap || endpoint.FailureDomain != notice.FailureDomain {
			continue
		}
		result.EndpointIDs = append(result.EndpointIDs, id)
		e.markLeaving(known, notice.Notice)
		go e.runReclaim(known, notice.Notice)
	}
	return ok(result)
}

// runReclaim kills a reclaimed endpoint after the notice.
func (e *endpoints) runReclaim(known *endpointRecord, notice clock.Millis) {
	ref := host.EndpointRef{ID: known.spec.Endpoint.ID}
	_ = e.callHost(known.host, "/endpoints/leave", ref, nil)
	_ = e.clock.Sleep(e.ctx, notice)
	_ = e.callHost(known.host, "/endpoints/kill", ref, nil)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.removeEndpoint(known)
}

// record adds the orders, endpoints and total cost to a record.
func (e *endpoints) record(into *record.Platform) {
	e.mu.Lock()
	defer e.mu.Unlock()
	into.Orders = append([]record.Order(nil), e.orders...)
	all := append([]*endpointRecord(nil), e.ended...)
	for _, known := range e.live {
		all = append(all, known)
	}
	for _, known := range all {
		into.Lives = append(into.Lives, record.EndpointLifetime{
			Endpoint: known.spec.Endpoint, Ordered: known.orderedAt,
			Running: known.runningAt, Ended: known.endedAt,
		})
		billedUntil := known.endedAt
		if billedUntil == 0 {
			billedUntil = into.Now
		}
		hours := (billedUntil - known.orderedAt).Seconds() / clock.Hour.Seconds()
		into.Spend += hours * float64(known.spec.Endpoint.MilliPrice) / 1000
	}
}
