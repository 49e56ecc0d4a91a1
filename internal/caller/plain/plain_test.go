package plain

import (
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/sirupsen/logrus"

	"github.com/banyanshift/banyanshift/coord/changelog"
	coordclaim "github.com/banyanshift/banyanshift/coord/claim"
	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/coord/table"
	"github.com/banyanshift/banyanshift/internal/caller/claim"
	"github.com/banyanshift/banyanshift/internal/caller/entry"
	"github.com/banyanshift/banyanshift/internal/caller/request"
	"github.com/banyanshift/banyanshift/internal/config/entity"
	"github.com/banyanshift/banyanshift/internal/config/state"
	"github.com/banyanshift/banyanshift/internal/decide/memory"
	"github.com/banyanshift/banyanshift/internal/endpoint/service"
	"github.com/banyanshift/banyanshift/internal/endpoint/transport"
	"github.com/banyanshift/banyanshift/internal/peer/link"
	"github.com/banyanshift/banyanshift/internal/settings/ini"
	"github.com/banyanshift/banyanshift/internal/standin/answer"
)

const secret = "bs_k1_0123456789abcdef"

// fakeService counts the calls that it runs. In mode "cut" it runs the call and
// closes the connection without an answer; in mode "half" it sends a partial
// body; in mode "unframed" it sends a partial body without a length; in mode
// "hanging" it answers once hold is closed; in mode "refusing" it rejects the call
// without running it; in mode "raw" it sends raw, with the ID of the call.
type fakeService struct {
	mode   atomic.Value
	runs   atomic.Int64
	server *httptest.Server
	// refusing is called before the service rejects a call.
	refusing func()
	hold     chan struct{}
	raw      func(id string) string
}

// answer sets the answer to later calls.
func (f *fakeService) answer(a answer.Answer, body string) {
	f.raw = func(id string) string { return a.Text("Request-Id: "+id+"\r\n", body) }
	f.mode.Store("raw")
}

func (f *fakeService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	mode, _ := f.mode.Load().(string)
	if mode == "refusing" {
		f.refusing()
		w.Header().Set("Run", "Not")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	run := f.runs.Add(1)
	switch mode {
	case "cut":
		panic(http.ErrAbortHandler)
	case "half":
		w.Header().Set("Content-Length", "100")
		_, _ = io.WriteString(w, "half")
		return
	case "hanging":
		<-f.hold
	case "unframed":
		writeRaw(w, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf")
		return
	case "raw":
		writeRaw(w, f.raw(r.Header.Get("Request-Id")))
		return
	}
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	w.Header().Set("Certificate", "yes")
	w.WriteHeader(http.StatusCreated)
	_, _ = fmt.Fprintf(w, "run %d of %s %s for %s", run, r.Method, r.URL.RequestURI(), r.Header.Get("Team"))
}

// writeRaw sends the bytes of an answer, and closes the connection.
func writeRaw(w http.ResponseWriter, text string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	_, _ = io.WriteString(conn, text)
	_ = conn.Close()
}

// daemon is the caller API of one daemon; all daemons share a claim table.
type daemon struct {
	address string
	store   *coordclaim.Store
	writes  *writeGate
}

// writeGate delays the commits of one daemon while it is held.
type writeGate struct {
	held sync.RWMutex
}

func (g *writeGate) client(client table.Client) table.Client {
	commit := client.Commit
	client.Commit = func(ctx context.Context, txn table.Txn) error {
		g.held.RLock()
		defer g.held.RUnlock()
		return commit(ctx, txn)
	}
	return client
}

type testCluster struct {
	table    *table.Memory
	service  *fakeService
	daemons  []daemon
	grants   atomic.Int64
	releases atomic.Int64
	// memory is that of all daemons.
	memory *memory.Budget
}

// clusterMemory is the memory that callers and answers may take.
const clusterMemory = 64 << 20

func seededState(t *testing.T) *state.State {
	t.Helper()
	s := state.New()
	entities := []any{
		entity.Team{Name: "himal", Weight: 1},
		entity.Key{ID: "k1", Team: "himal", Hash: sha256.Sum256([]byte(secret))},
		entity.Class{Name: "certificate", FirstTokenTarget: 2000, MaxWait: 5000},
		entity.Backend{Name: "registry", Type: entity.Service, RepeatableMethods: []string{"GET"}, Slots: 4},
		entity.Route{Name: "certificates", Backend: "registry", Prefix: "/certificates", Classes: []string{"certificate"}, Teams: []string{"himal"}},
	}
	for i, e := range entities {
		write, err := state.PutWrite(e)
		if err != nil {
			t.Fatal(err)
		}
		change := changelog.Change{Sequence: uint64(i + 1), Writes: []changelog.EntityWrite{{Entity: write.Entity, Value: write.Value}}}
		if err := s.Apply(change); err != nil {
			t.Fatal(err)
		}
	}
	return s
}

func newTestCluster(t *testing.T, daemons int) *testCluster {
	t.Helper()
	r := &testCluster{table: table.NewMemory(), service: &fakeService{}, memory: memory.New(clusterMemory)}
	r.service.server = httptest.NewServer(r.service)
	t.Cleanup(r.service.server.Close)
	for i := range daemons {
		r.startDaemon(t, daemonName(i))
	}
	return r
}

func (r *testCluster) scheduler() request.Scheduler {
	grant := func(context.Context, *request.Request) (*request.Grant, error) {
		r.grants.Add(1)
		return &request.Grant{Endpoint: entity.Endpoint{ID: "s1", Address: r.service.server.Listener.Addr().String()}}, nil
	}
	return request.Scheduler{
		Acquire: grant,
		Reacquire: func(ctx context.Context, req *request.Request, _ []string) (*request.Grant, error) {
			return grant(ctx, req)
		},
		ChargeTokens: func(*request.Grant, int) {},
		Preempted:    func(*request.Grant) <-chan struct{} { return nil },
		Release:      func(*request.Grant, request.Outcome) { r.releases.Add(1) },
	}
}

func (r *testCluster) startDaemon(t *testing.T, name string) {
	t.Helper()
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	clk := clock.System()
	writes := &writeGate{}
	store := coordclaim.New(coordclaim.Config{
		Table: writes.client(r.table.Client()), Clock: clk, Prefix: "Claim/", EpochKey: "ClaimEpoch", Owner: name, Incarnation: name + ".1",
	})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = store.Run(ctx) }()
	configuration := seededState(t)
	var ids atomic.Int64
	server := entry.New(entry.Dependencies{
		Settings: ini.Caller{
			Listen: "127.0.0.1:0", MaxBodyBytes: 1 << 16, MaxHeaderBytes: 1 << 14,
			ReadTimeout: 5 * clock.Second, WriteStallTimeout: 5 * clock.Second, IdleTimeout: clock.Minute,
		},
		Clock: clk, Logger: logger, State: configuration,
		Ready: func() error { return nil }, Memory: r.memory,
		NewID: func() string { return fmt.Sprintf("%s-%d", name, ids.Add(1)) },
	})
	handler := New(Dependencies{
		Clock: clk, Logger: logger, State: configuration,
		Service: service.New(transport.New(transport.Config{})), Scheduler: r.scheduler(),
		Claims: claim.New(claim.Config{
			Store: store, Clock: clk, Logger: logger,
			OwnerAlive:   func(string, string) bool { return true },
			RemoteLookup: r.lookUp,
		}),
		TakeRetry:   func(*request.Request) bool { return true },
		RecordUsage: func(*request.Request, int, int) {},
	})
	server.HandleUnmatched(handler.Serve)
	if err := server.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = server.Shutdown(context.Background()) })
	r.daemons = append(r.daemons, daemon{address: server.Address(), store: store, writes: writes})
}

// lookUp asks the owner of a claim for its record, as daemons ask each other.
func (r *testCluster) lookUp(_ context.Context, owner string, lookup claim.LookupRequest) (claim.LookupResponse, error) {
	for i, d := range r.daemons {
		if owner == daemonName(i) {
			record, held := d.store.LocalRecord(lookup.Scope, lookup.Key, lookup.Nonce)
			return claim.LookupResponse{Held: held, Record: record}, nil
		}
	}
	return claim.LookupResponse{}, link.ErrUnreachable
}

func daemonName(index int) string {
	return fmt.Sprintf("vm-%d", index)
}

func (r *testCluster) call(t *testing.T, daemon int, method, uri, idempotencyKey, body string) (status int, run, text string) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, "http://"+r.daemons[daemon].address+uri, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+secret)
	if idempotencyKey != "" {
		req.Header.Set("Idempotency-Key", idempotencyKey)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Error(err)
		return 0, "", ""
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Error(err)
	}
	return resp.StatusCode, resp.Header.Get("Run"), string(data)
}

func TestCallsArePassedOnWhole(t *testing.T) {
	r := newTestCluster(t, 1)
	status, _, text := r.call(t, 0, http.MethodPost, "/certificates/7?x=%20y", "", "body")
	if status != http.StatusCreated || text != "run 1 of POST /certificates/7?x=%20y for himal" {
		t.Errorf("got status %d, body %q; want 201 and the URI unchanged", status, text)
	}
}

func TestRetriesOverDaemonsRunOnce(t *testing.T) {
	const retries = 24
	r := newTestCluster(t, 3)
	var calls sync.WaitGroup
	for i := range retries {
		calls.Go(func() {
			status, run, text := r.call(t, i%3, http.MethodPost, "/certificates", "summit-1953", "body")
			answered := status == http.StatusCreated && strings.HasPrefix(text, "run 1 ")
			inProgress := status == http.StatusConflict && run == "Unknown"
			if !answered && !inProgress {
				t.Errorf("got status %d, run %q, body: %s; want the answer of run 1 or a 409 with run Unknown", status, run, text)
			}
		})
	}
	calls.Wait()
	if got := r.service.runs.Load(); got != 1 {
		t.Errorf("service ran the call %d times, want 1", got)
	}
	if r.grants.Load() != r.releases.Load() {
		t.Errorf("got %d grants and %d releases, want the same number", r.grants.Load(), r.releases.Load())
	}
}

func TestCutCallIsNeverRunAgain(t *testing.T) {
	for _, mode := range []string{"cut", "half", "unframed"} {
		t.Run(mode, func(t *testing.T) {
			r := newTestCluster(t, 2)
			r.service.mode.Store(mode)
			status, run, _ := r.call(t, 0, http.MethodPost, "/certificates", "k", "body")
			if status != http.StatusBadGateway || run != "Unknown" {
				t.Errorf("first call: got status %d, run %q; want 502, Unknown", status, run)
			}
			r.service.mode.Store("")
			_, run, _ = r.call(t, 1, http.MethodPost, "/certificates", "k", "body")
			if run != "Unknown" {
				t.Errorf("retry: got run %q, want Unknown", run)
			}
			if got := r.service.runs.Load(); got != 1 {
				t.Errorf("service ran the call %d times, want 1", got)
			}
		})
	}
}

func TestCutCallWithoutKeyRunsOnce(t *testing.T) {
	r := newTestCluster(t, 1)
	r.service.mode.Store("cut")
	status, run, _ := r.call(t, 0, http.MethodPost, "/certificates", "", "body")
	if status != http.StatusBadGateway || run != "Unknown" || r.service.runs.Load() != 1 {
		t.Errorf("got status %d, run %q, %d runs; want 502, Unknown, 1", status, run, r.service.runs.Load())
	}
}

func TestRepeatableCallIsSentAgain(t *testing.T) {
	r := newTestCluster(t, 1)
	r.service.mode.Store("half")
	status, run, _ := r.call(t, 0, http.MethodGet, "/certificates", "", "")
	if status != http.StatusBadGateway || run != "Unknown" || r.service.runs.Load() != maxAttempts {
		t.Errorf("got status %d, run %q, %d runs; want 502, Unknown and maxAttempts runs", status, run, r.service.runs.Load())
	}
}

// The key of a call that did not run is free as soon as its owner has written
// so. Until then, other daemons must report that the call did not run, although
// the table still shows the claim as open.
func TestUnrunCallFreesItsKey(t *testing.T) {
	r := newTestCluster(t, 2)
	r.service.mode.Store("refusing")
	owner := r.daemons[0].writes
	release := sync.OnceFunc(owner.held.Unlock)
	defer release()
	r.service.refusing = sync.OnceFunc(owner.held.Lock)
	status, run, _ := r.call(t, 0, http.MethodPost, "/certificates", "k", "body")
	if status < 500 || run != "Not" {
		t.Errorf("got status %d, run %q; want a 5xx status, Not", status, run)
	}
	r.service.mode.Store("")
	status, run, _ = r.call(t, 1, http.MethodPost, "/certificates", "k", "body")
	if status != http.StatusConflict || run != "Not" {
		t.Errorf("retry before the release is written: got status %d, run %q; want 409, Not", status, run)
	}
	release()
	for range 100 {
		status, run, _ = r.call(t, 1, http.MethodPost, "/certificates", "k", "body")
		if status == http.StatusCreated {
			break
		}
		if run != "Not" {
			t.Fatalf("retry: got status %d, run %q; want 201, or run Not until the key is free", status, run)
		}
	}
	if status != http.StatusCreated || r.service.runs.Load() != 1 {
		t.Errorf("retry: got status %d, %d runs; want 201, 1 run", status, r.service.runs.Load())
	}
}

func TestStoreOutageRefusesTruly(t *testing.T) {
	r := newTestCluster(t, 1)
	r.table.SetFault(table.Fault{Down: true})
	status, run, _ := r.call(t, 0, http.MethodPost, "/certificates", "k", "body")
	if status != http.StatusServiceUnavailable || run != "Not" || r.service.runs.Load() != 0 {
		t.Errorf("got status %d, run %q, %d runs; want 503, Not, 0", status, run, r.service.runs.Load())
	}
	if status, _, _ := r.call(t, 0, http.MethodPost, "/certificates", "", "body"); status != http.StatusCreated {
		t.Errorf("call without an idempotency key: got status %d, want 201 without the store", status)
	}
}

func TestBadCallsReachNoService(t *testing.T) {
	tests := []struct{ name, uri, key string }{
		{"unknown path", "/other", ""},
		{"prefix of a name", "/certificatesx", ""},
		{"escaped slash", "/certificates/a%2Fb", ""},
		{"escaped dots", "/certificates/%2e%2e/admin", ""},
		{"doubled slash", "/certificates//x", ""},
		{"backslash", "/certificates/a%5Cb", ""},
		{"key in the path", "/certificates/" + secret, ""},
		{"escaped key in the query", "/certificates?k=bs%5Fk1%5F0123456789abcdef", ""},
		{"long idempotency key", "/certificates", strings.Repeat("k", 300)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newTestCluster(t, 1)
			status, run, text := r.call(t, 0, http.MethodPost, tt.uri, tt.key, "x")
			if status < 400 || status >= 500 || run != "Not" || r.service.runs.Load() != 0 {
				t.Errorf("got status %d, run %q, body: %s; want a 4xx status, Not", status, run, text)
			}
		})
	}
}
