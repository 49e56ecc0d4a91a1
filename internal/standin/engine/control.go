package engine

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/platform/order"
	"github.com/banyanshift/banyanshift/internal/platform/rest"
	"github.com/banyanshift/banyanshift/internal/standin/host"
	"github.com/banyanshift/banyanshift/internal/standin/record"
)

// LoadReport is the response of /load.
type LoadReport struct {
	Incarnation     string
	Running         int
	Waiting         int
	Slots           int
	KVUsed          int
	KVTotal         int
	TokensPerSecond float64
	Sequence        uint64
	Leaving         bool
}

// delayedLoad delays load reports by one sampling period: /load returns
// reported, and pending replaces it at the next sample.
type delayedLoad struct {
	reported  LoadReport
	pending   LoadReport
	sampledAt clock.Millis
}

func (e *engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	host.WriteJSON(w, e.load())
}

// load returns a delayed report. When /load is polled often, the report is
// between one and two load lags old.
func (e *engine) load() LoadReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Now()
	lag := max(e.config.LoadLag, e.fault.LoadLag)
	if e.loads.sampledAt == 0 || now-e.loads.sampledAt >= lag {
		e.loads.reported = e.loads.pending
		e.loads.pending = e.sample(e.loads.pending.Sequence + 1)
		e.loads.sampledAt = now
	}
	if e.loads.reported.Sequence == 0 {
		e.loads.reported = e.loads.pending
	}
	return e.loads.reported
}

func (e *engine) sample(sequence uint64) LoadReport {
	result := LoadReport{
		Incarnation: e.spec.Endpoint.Incarnation,
		Running:     len(e.running), Waiting: len(e.waiting), Slots: e.spec.Slots,
		KVUsed: e.kvUsed, KVTotal: e.config.KVTokens,
		Sequence: sequence, Leaving: e.leaving,
	}
	if len(e.running) > 0 {
		result.TokensPerSecond = e.tokensPerSecond
	}
	return result
}

func (e *engine) serveEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	host.WriteJSON(w, e.cache.eventsAfter(after))
}

// requestRef is the body of a control call about one request.
type requestRef struct {
	RequestID string `json:"RequestId"`
}

func decode(w http.ResponseWriter, r *http.Request, into any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(into)
	if err != nil {
		http.Error(w, "malformed body", http.StatusBadRequest)
	}
	return err == nil
}

func (e *engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	var ref requestRef
	if !decode(w, r, &ref) {
		return
	}
	if s := e.findSequence(ref.RequestID); s != nil {
		e.cancelSequence(s)
	}
	host.WriteJSON(w, struct{}{})
}

// KVExport stands for the exported KV cache of a request. It holds only the
// size.
type KVExport struct {
	RequestID string `json:"RequestId"`
	Tokens    int
}

func (e *engine) serveExport(w http.ResponseWriter, r *http.Request) {
	var ref requestRef
	if !decode(w, r, &ref) {
		return
	}
	s := e.findSequence(ref.RequestID)
	if s == nil {
		http.Error(w, "no such request", http.StatusNotFound)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	host.WriteJSON(w, KVExport{RequestID: ref.RequestID, Tokens: s.kvTokens()})
}

func (e *engine) serveImport(w http.ResponseWriter, r *http.Request) {
	var exported KVExport
	if !decode(w, r, &exported) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.imported[exported.RequestID] = true
	host.WriteJSON(w, struct{}{})
}

// orderLog records the orders that the engine received and the state that they
// set.
type orderLog struct {
	spec     host.Spec
	fences   map[string]uint64
	accepted map[string]bool
	received []record.Order
	model    string
	role     string
}

func (b *orderLog) init(spec host.Spec) {
	b.spec = spec
	b.model = spec.Model
	b.fences = make(map[string]uint64)
	b.accepted = make(map[string]bool)
}

// apply records an order, applies it if it is accepted and new, and reports
// whether it is refused. An engine that checks fences refuses an order whose
// fence is older than the latest one in its scope.
func (b *orderLog) apply(given order.Order, now clock.Millis) (refused bool) {
	entry := record.Order{Order: given, Received: now, Repeated: b.accepted[given.ID]}
	entry.Overlap = given.Fence < b.fences[given.Scope]
	b.fences[given.Scope] = max(given.Fence, b.fences[given.Scope])
	entry.Accepted = !entry.Overlap || !b.spec.ChecksFence
	b.received = append(b.received, entry)
	if !entry.Accepted || entry.Repeated {
		return !entry.Accepted
	}
	b.accepted[given.ID] = true
	switch given.Kind {
	case order.LoadModel:
		b.model = given.Model
	case order.SetRole:
		b.role = given.Role
	}
	return false
}

func (b *orderLog) list() []record.Order {
	return append([]record.Order(nil), b.received...)
}

func (e *engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var given order.Order
	if !decode(w, r, &given) {
		return
	}
	if given.Kind == order.LoadModel || given.Kind == order.LoadAdapter {
		if loadWeights(r.Context(), e.config, given.Model) != nil {
			http.Error(w, "weight store", http.StatusServiceUnavailable)
			return
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.orders.apply(given, e.clock.Wall()) {
		w.WriteHeader(http.StatusConflict)
		_ = json.NewEncoder(w).Encode(struct{ Code string }{order.CodeOldFence})
		return
	}
	host.WriteJSON(w, struct{}{})
}

func loadWeights(ctx context.Context, config Config, model string) error {
	if config.PlatformURL == "" {
		return nil
	}
	path := "/weights/" + url.PathEscape(model) + "?bytes=" + strconv.FormatInt(config.WeightBytes, 10)
	return rest.New(config.PlatformURL, http.DefaultClient).Call(ctx, http.MethodGet, path, nil, nil)
}
