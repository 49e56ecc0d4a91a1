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

// endpoints starts and stops endpoints on registered hosts.
type endpoints struct {
	ctx    context.Context
	config Config
	clock  clock.Clock
	past   history[[]entity.Endpoint]

	mu     sync.Mutex
	hosts  map[string]host.Registration
	lives  map[string]*life
	done   []*life
	orders []record.Order
	// accepted holds the IDs of the orders that were carried out.
	accepted map[string]bool
	fences   fenceWatch
	// cheapFrom is when a failure domain has reclaimable endpoints again.
	cheapFrom map[string]clock.Millis
}

// life is one endpoint from its order to its end.
type life struct {
	spec      host.Spec
	host      host.Registration
	ordered   clock.Millis
	running   clock.Millis
	ended     clock.Millis
	leavingAt clock.Millis
}

func newEndpoints(ctx context.Context, config Config, clk clock.Clock) *endpoints {
	e := &endpoints{
		ctx: ctx, config: config, clock: clk,
		hosts:     make(map[string]host.Registration),
		lives:     make(map[string]*life),
		accepted:  make(map[string]bool),
		fences:    newFenceWatch(),
		cheapFrom: make(map[string]clock.Millis),
	}
	e.past.lag = config.EndpointLag
	e.past.clock = clk
	return e
}

func (e *endpoints) putHost(_ *http.Request, registration host.Registration) answer {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.hosts[registration.ID] = registration
	return ok(struct{}{})
}

func (e *endpoints) list(call) answer {
	listed := e.past.read()
	result := make([]entity.Endpoint, 0, len(listed))
	now := e.clock.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, endpoint := range listed {
		if known, running := e.lives[endpoint.ID]; running && endpoint.Leaving {
			endpoint.ReclaimIn = max(1, known.leavingAt-now)
		}
		result = append(result, endpoint)
	}
	return ok(result)
}

// publish adds the current endpoints to the history. The lock is held.
func (e *endpoints) publish() {
	var listed []entity.Endpoint
	for _, known := range e.lives {
		if known.running != 0 {
			listed = append(listed, known.spec.Endpoint)
		}
	}
	slices.SortFunc(listed, func(a, b entity.Endpoint) int { return strings.Compare(a.ID, b.ID) })
	e.past.add(listed)
}

func (e *endpoints) give(c call) answer {
	var given order.Order
	if !c.decode(&given) || given.ID == "" {
		return refuse(http.StatusBadRequest, "BadBody")
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	entry := record.Order{Order: given, Received: e.clock.Wall(), Repeated: e.accepted[given.ID]}
	entry.Overlap = !e.fences.see(given.Scope, given.Fence, given.Holder)
	reply := e.carryOut(given, entry)
	entry.Accepted = reply.status == http.StatusOK
	e.orders = append(e.orders, entry)
	if entry.Accepted {
		e.accepted[given.ID] = true
	}
	return reply
}

func (e *endpoints) carryOut(given order.Order, entry record.Order) answer {
	switch {
	case entry.Overlap && e.config.ChecksFence:
		return refuse(http.StatusConflict, order.CodeOldFence)
	case entry.Repeated:
		return ok(struct{}{})
	case given.Kind == order.Start:
		return e.begin(given)
	case given.Kind == order.Stop:
		return e.stop(given.EndpointID)
	}
	return refuse(http.StatusBadRequest, "BadKind")
}

// start serves POST /control/start, an order that is not recorded.
func (e *endpoints) start(_ *http.Request, given order.Order) answer {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.begin(given)
}

func (e *endpoints) begin(given order.Order) answer {
	if _, running := e.lives[given.EndpointID]; running || given.EndpointID == "" {
		return refuse(http.StatusBadRequest, "EndpointExists")
	}
	kind := entity.Model
	if given.Model == "" {
		kind = entity.Service
	}
	chosen, found := e.hostFor(kind, given.FailureDomain)
	if !found || !e.capacity(given) {
		return refuse(http.StatusConflict, order.CodeNoCapacity)
	}
	price := e.config.FirmMilliPrice
	if given.Market == entity.Cheap {
		price = e.config.CheapMilliPrice
	}
	started := &life{host: chosen, ordered: e.clock.Wall()}
	started.spec = host.Spec{
		Model:       given.Model,
		Slots:       e.config.Slots,
		ChecksFence: !slices.Contains(e.config.BackendsIgnoringFence, given.Backend),
		Endpoint: entity.Endpoint{
			ID: given.EndpointID, Backend: given.Backend, Region: chosen.Region,
			FailureDomain: given.FailureDomain, Market: given.Market,
			Incarnation: uuid.NewString(), MilliPrice: price,
		},
	}
	e.lives[given.EndpointID] = started
	go e.run(started, started.spec)
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

func (e *endpoints) capacity(given order.Order) bool {
	if given.Market != entity.Cheap {
		return true
	}
	running := 0
	for _, known := range e.lives {
		if known.spec.Endpoint.Market == entity.Cheap && known.spec.Endpoint.FailureDomain == given.FailureDomain {
			running++
		}
	}
	return running < e.config.MaxCheapPerDomain && e.clock.Now() >= e.cheapFrom[given.FailureDomain]
}

// run starts an endpoint on its host and lists it once it can serve.
func (e *endpoints) run(started *life, spec host.Spec) {
	var reply host.StartReply
	err := e.tell(started.host, "/endpoints/start", spec, &reply)
	e.mu.Lock()
	defer e.mu.Unlock()
	if err != nil {
		e.end(started)
		return
	}
	started.spec.Endpoint.Address = reply.Address
	started.running = e.clock.Wall()
	e.publish()
}

func (e *endpoints) tell(to host.Registration, path string, in, out any) error {
	return rest.New(to.URL, http.DefaultClient).Call(e.ctx, http.MethodPost, path, in, out)
}

// end takes an endpoint off the list and stops its cost. The lock is held.
func (e *endpoints) end(ended *life) {
	id := ended.spec.Endpoint.ID
	if e.lives[id] != ended {
		return
	}
	ended.ended = e.clock.Wall()
	delete(e.lives, id)
	e.done = append(e.done, ended)
	e.publish()
}

func (e *endpoints) stop(id string) answer {
	known, running := e.lives[id]
	if !running || known.spec.Endpoint.Leaving {
		return ok(struct{}{})
	}
	e.leave(known, e.config.StopGrace)
	go e.drain(known)
	return ok(struct{}{})
}

func (e *endpoints) leave(known *life, in clock.Millis) {
	known.spec.Endpoint.Leaving = true
	known.leavingAt = e.clock.Now() + in
	e.publish()
}

// drain ends a stopped endpoint when it has finished what it runs, and gives
// the daemons time to hear of it first.
func (e *endpoints) drain(known *life) {
	ref := host.EndpointRef{ID: known.spec.Endpoint.ID, Grace: e.config.StopGrace}
	_ = e.tell(known.host, "/endpoints/leave", ref, nil)
	_ = e.clock.Sleep(e.ctx, min(e.config.StopGrace, settleTime))
	_ = e.tell(known.host, "/endpoints/stop", ref, nil)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.end(known)
}

// settleTime is how long a stopped endpoint goes on at least, since the list
// of endpoints lags.
const settleTime = 5 * clock.Second

// crashed serves DELETE /endpoints/<id>, by which a host tells of a crash.
func (e *endpoints) crashed(r *http.Request, _ struct{}) answer {
	e.mu.Lock()
	defer e.mu.Unlock()
	if known, running := e.lives[r.PathValue("id")]; running {
		e.end(known)
	}
	return ok(struct{}{})
}

// Reclaim takes all cheap endpoints of a failure domain away after Notice. For
// Unavailable after that, the domain has none to give.
type Reclaim struct {
	FailureDomain string
	Notice        clock.Millis
	Unavailable   clock.Millis
}

// ReclaimResult names the endpoints that are taken away.
type ReclaimResult struct {
	EndpointIDs []string
}

func (e *endpoints) reclaim(_ *http.Request, notice Reclaim) answer {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cheapFrom[notice.FailureDomain] = e.clock.Now() + notice.Notice + notice.Unavailable
	var result ReclaimResult
	for id, known := range e.lives {
		endpoint := known.spec.Endpoint
		if endpoint.Market != entity.Cheap || endpoint.FailureDomain != notice.FailureDomain {
			continue
		}
		result.EndpointIDs = append(result.EndpointIDs, id)
		e.leave(known, notice.Notice)
		go e.takeAway(known, notice.Notice)
	}
	return ok(result)
}

func (e *endpoints) takeAway(known *life, notice clock.Millis) {
	ref := host.EndpointRef{ID: known.spec.Endpoint.ID}
	_ = e.tell(known.host, "/endpoints/leave", ref, nil)
	_ = e.clock.Sleep(e.ctx, notice)
	_ = e.tell(known.host, "/endpoints/kill", ref, nil)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.end(known)
}

func (e *endpoints) record(into *record.Platform) {
	e.mu.Lock()
	defer e.mu.Unlock()
	into.Orders = append([]record.Order(nil), e.orders...)
	all := append([]*life(nil), e.done...)
	for _, known := range e.lives {
		all = append(all, known)
	}
	for _, known := range all {
		into.Lives = append(into.Lives, record.EndpointLifetime{
			Endpoint: known.spec.Endpoint, Ordered: known.ordered,
			Running: known.running, Ended: known.ended,
		})
		until := known.ended
		if until == 0 {
			until = into.Now
		}
		hours := (until - known.ordered).Seconds() / clock.Hour.Seconds()
		into.Spend += hours * float64(known.spec.Endpoint.MilliPrice) / 1000
	}
}
