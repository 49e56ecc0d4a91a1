package relay_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/caller/relay"
	"github.com/banyanshift/banyanshift/internal/config/document"
	"github.com/banyanshift/banyanshift/internal/decide/balance"
	"github.com/banyanshift/banyanshift/internal/decide/budget"
	"github.com/banyanshift/banyanshift/internal/decide/memory"
	"github.com/banyanshift/banyanshift/internal/decide/path"
	"github.com/banyanshift/banyanshift/internal/decide/quarantine"
	"github.com/banyanshift/banyanshift/internal/decide/strain"
	"github.com/banyanshift/banyanshift/internal/endpoint/connect"
	"github.com/banyanshift/banyanshift/internal/endpoint/http1"
)

// wire maps the fields of relay's types to HTTP headers that only this test uses.
func wire() relay.Wire {
	return relay.Wire{
		DecodeCall: func(r *http.Request) (relay.Call, error) {
			if r.Header.Get("Id") == "" {
				return relay.Call{}, errors.New("no id")
			}
			return relay.Call{
				ID: r.Header.Get("Id"), Method: r.Method, Host: "api.example", Path: r.URL.Path, Target: r.RequestURI,
				Key: r.Header.Get("Key"), LastEventID: r.Header.Get("Last"), TimeLeft: limitOf(r), HeaderBytes: len(r.Header.Get("Padding")),
				Conditional: r.Header.Get("Condition") != "",
			}, nil
		},
		EncodeAttempt: func(call *relay.Call, a relay.Attempt) []byte {
			return fmt.Appendf(nil, "%s %s HTTP/1.1\r\nHost: e\r\nId: %s\r\nTeam: %s\r\nLast: %s\r\nFor: %s\r\n", call.Method, call.Target, call.ID, a.Team, a.ResumeAfterEventID, a.Endpoint)
		},
		DecodeAnswer: func(status int, header http.Header) relay.AnswerHead {
			return relay.AnswerHead{NotRun: header.Get("Not-Run") != "", Misdirected: status == http.StatusMisdirectedRequest, Endpoint: header.Get("By"), Sealed: header.Get("Seal") != ""}
		},
		Report: connect.ReportCall{
			Encode: func(address string) []byte {
				return fmt.Appendf(nil, "GET /report HTTP/1.1\r\nHost: %s\r\n", address)
			},
			Decode: func(status int, body []byte) (int64, bool) {
				incarnation, err := strconv.ParseInt(string(body), 10, 64)
				return incarnation, status == http.StatusOK && err == nil
			},
		},
	}
}

// limitOf returns the time limit of a caller's request.
func limitOf(r *http.Request) clock.Millis {
	if limit, err := strconv.Atoi(r.Header.Get("Limit")); err == nil {
		return clock.Millis(limit)
	}
	return clock.Second
}

// fixture is a handler with test endpoints behind it.
type fixture struct {
	t         testing.TB
	caller    *httptest.Server
	handler   *relay.Handler
	endpoints []*httptest.Server
	log       *logtest.Hook
	logger    *logrus.Logger

	mu     sync.Mutex
	config relay.Configuration
	// retryTokens is the retry budget that is left.
	retryTokens int
	// declinedRetries lists which of the retries were of declined requests.
	declinedRetries []bool
	outcomes        []balance.Outcome
	// started counts the calls of Config.RecordStarted.
	started int
	// received lists the requests that reached an endpoint, each as the
	// endpoint's ID and the event ID to resume after.
	received []string
	// released lists the outcomes of requests with a permit.
	released []strain.Outcome
	// refusal makes the scheduler refuse all requests if its reason is set.
	refusal relay.Refusal
	// incarnation is the one that the daemon knows of all endpoints, and report answers
	// the call for it.
	incarnation int64
	report      http.HandlerFunc
	// expected is the time in which all answers are expected to begin.
	expected clock.Millis
	// isSilent lets no connection to an endpoint be made.
	isSilent bool
	// addresses lists what was reported of endpoints' addresses.
	addresses []string
	// startCheck is what is known of the starts of streams, and doubted counts those that are
	// doubted.
	startCheck relay.StartCheck
	doubted    atomic.Int64
	// drained is the endpoint that gets no requests that wait to be sent.
	drained string
	// noPermit makes requests wait for a permit as long as they are served.
	noPermit bool
	// panics makes the scheduler panic when the first event of a stream arrives.
	panics bool
	// memory is the memory of the daemon.
	memory *memory.Budget
}

// newConnector returns a Connector of a daemon without peers.
func newConnector(logger logrus.FieldLogger, pool *http1.Pool) *connect.Connector {
	return connect.New(connect.Config{
		Clock: clock.System(), Logger: logger, Pool: pool, Rand: rand.New(rand.NewPCG(1, 1)),
		Peers: func() []path.Peer { return nil },
	})
}

// configuration returns a configuration with a route of each kind.
func configuration(timeout clock.Millis) relay.Configuration {
	route := func(name string, kind document.Kind, attempts int) document.Route {
		return document.Route{Name: name, Host: "api.example", Prefix: "/" + name + "/", Kind: kind, MaxAttempts: attempts, Timeout: timeout, LatencyTarget: 200, Backends: []document.WeightedBackend{{Backend: "b"}}}
	}
	resumable := route("resumable", document.Streaming, 2)
	resumable.Resumable = true
	return relay.Configuration{Current: true, Index: document.NewIndex(document.Document{
		Version: 1,
		Routes:  []document.Route{route("pay", document.NonIdempotent, 2), route("look", document.Idempotent, 2), route("stream", document.Streaming, 2), resumable},
		Teams:   []document.Team{{Name: "himal", Keys: []string{"k"}}},
		Limits:  document.Limits{MaxHeaderBytes: 1000, MaxBodyBytes: 100},
	})}
}

// newFixture starts one endpoint for each function.
func newFixture(t testing.TB, serve ...http.HandlerFunc) *fixture {
	return newFixtureWithMemory(t, memory.New(64<<20), serve...)
}

// newFixtureWithMemory is like newFixture, for a daemon with other memory.
func newFixtureWithMemory(t testing.TB, memoryBudget *memory.Budget, serve ...http.HandlerFunc) *fixture {
	f := &fixture{t: t, retryTokens: 10, report: http.NotFound, startCheck: relay.StartProved, memory: memoryBudget}
	for i, handle := range serve {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/report" {
				f.report(w, r)
				return
			}
			f.mu.Lock()
			f.received = append(f.received, fmt.Sprintf("e%d:%s", i, r.Header.Get("Last")))
			f.mu.Unlock()
			w.Header().Set("Id", r.Header.Get("Id"))
			handle(w, r)
		}))
		t.Cleanup(server.Close)
		f.endpoints = append(f.endpoints, server)
	}
	f.config = configuration(clock.Second)
	logger, hook := logtest.NewNullLogger()
	logger.SetLevel(logrus.DebugLevel)
	f.log = hook
	pool := http1.New(http1.Config{Clock: clock.System(), AnsweredID: func(header http.Header) string { return header.Get("Id") }})
	connector := newConnector(logger, pool)
	handler := relay.New(relay.Config{
		Quarantine: relay.Quarantine{
			Active: func() bool { return true },
			Admit: func(context.Context, []quarantine.Digest, clock.Millis) relay.Admission {
				return relay.Admission{Granted: true}
			},
			RecordLost:   func(relay.Placement, []quarantine.Digest) {},
			RecordSound:  func([]quarantine.Digest) {},
			RecordAnswer: func(relay.Placement) {},
		},
		Streams: relay.Streams{
			Record: func(relay.StreamStart) {},
			Check:  func(relay.StreamStart, clock.Millis) relay.StartCheck { return f.startCheck },
			Prove:  func(relay.StreamStart) {},
			Doubt:  func(relay.StreamStart) { f.doubted.Add(1) },
			Find:   func(context.Context, string, string) relay.Origin { return relay.Origin{Known: true} },
		},
		Memory: f.memory,
		Clock:  clock.System(), Logger: logger, Wire: wire(), Connect: f.connectOver(connector), Scheduler: f.scheduler(),
		Configuration: func() relay.Configuration { return f.config },
		RecordStarted: func(string, clock.Millis) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.started++
		},
	})
	f.logger = logger
	f.handler = handler
	f.caller = httptest.NewServer(handler)
	t.Cleanup(f.caller.Close)
	return f
}

// release records the outcome of a request with a permit.
func (f *fixture) release(outcome strain.Outcome) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.released = append(f.released, outcome)
}

// scheduler returns a Scheduler that chooses the first endpoint that is not
// excluded.
func (f *fixture) scheduler() relay.Scheduler {
	return relay.Scheduler{
		Place: func(r balance.Request, _ clock.Millis) (relay.Placement, relay.Refusal) {
			if f.refusal.Reason != "" {
				return relay.Placement{}, f.refusal
			}
			for i, e := range f.endpoints {
				id := fmt.Sprint("e", i)
				tried := false
				for _, x := range r.Exclude {
					tried = tried || x == id
				}
				if !tried {
					return relay.Placement{Endpoint: id, Address: strings.TrimPrefix(e.URL, "http://"), Incarnation: f.incarnation, ExpectedFirstToken: f.expected}, relay.Refusal{}
				}
			}
			return relay.Placement{}, relay.Refusal{Reason: "no endpoint", RetryAfter: 700}
		},
		RecordTerms: func(relay.Placement, strain.Terms) {},
		Acquire: func(ctx context.Context, _ relay.Placement, _ int, _ clock.Millis) relay.Permit {
			if f.noPermit {
				<-ctx.Done()
				return relay.Permit{}
			}
			return relay.Permit{Granted: true, Release: f.release}
		},
		SetAside: func(string, clock.Millis) {},
		RecordFirstToken: func(relay.Placement) {
			if f.panics {
				panic(http.ErrAbortHandler)
			}
		},
		RecordEnd: func(_ relay.Placement, o balance.Outcome) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.outcomes = append(f.outcomes, o)
		},
		RecordLoad:        func(string, relay.Load) {},
		RecordLeaving:     func(relay.Placement) {},
		RecordQuiet:       func(string, clock.Millis) {},
		MaySend:           func(p relay.Placement) bool { return p.Endpoint != f.drained },
		InvalidateAddress: func(p relay.Placement) { f.recordAddress(p.Endpoint + " lost") },
		ConfirmAddress:    func(p relay.Placement) { f.recordAddress(p.Endpoint + " confirmed") },
		CountRequest:      func(string) {},
		TakeRetry: func(retry budget.Retry) bool {
			f.retryTokens--
			f.declinedRetries = append(f.declinedRetries, retry.Declined)
			return f.retryTokens >= 0
		},
	}
}

type reply struct {
	status int
	header http.Header
	body   string
	err    error
}

func (f *fixture) send(path string, fields ...string) reply {
	return f.sendBody(path, "", fields...)
}

func (f *fixture) sendBody(path, body string, fields ...string) reply {
	r, err := http.NewRequest(http.MethodPost, f.caller.URL+path, strings.NewReader(body))
	if err != nil {
		f.t.Fatal(err)
	}
	r.Header.Set("Id", "r1")
	r.Header.Set("Key", "k")
	for i := 0; i+1 < len(fields); i += 2 {
		r.Header.Set(fields[i], fields[i+1])
	}
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		return reply{err: err}
	}
	defer answer.Body.Close()
	data, err := io.ReadAll(answer.Body)
	return reply{status: answer.StatusCode, header: answer.Header, body: string(data), err: err}
}

func (f *fixture) expect(got reply, status int, body string) {
	f.t.Helper()
	if got.err != nil || got.status != status || (body != "" && got.body != body) {
		f.t.Errorf("got status %d, body %q, error %v; want status %d, body %q", got.status, got.body, got.err, status, body)
	}
}

func (f *fixture) expectReceived(want ...string) {
	f.t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	if strings.Join(f.received, " ") != strings.Join(want, " ") {
		f.t.Errorf("endpoints received %v, want %v", f.received, want)
	}
}

func ok(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Seal", "s")
	_, _ = io.WriteString(w, "fine")
}

func status(code int) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Seal", "s")
		w.WriteHeader(code)
		_, _ = io.WriteString(w, "broken")
	}
}

func notRun(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Not-Run", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// reset closes the connection without an answer.
func reset(w http.ResponseWriter, _ *http.Request) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err == nil {
		_ = conn.Close()
	}
}

// events returns a handler that streams the events with the IDs from first to
// last. If whole is false, it sends half of another event and closes the
// connection before the end of the stream.
func events(first, last int, whole bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		var body bytes.Buffer
		for i := first; i <= last; i++ {
			fmt.Fprintf(&body, "id: %d\ndata: piece %d\n\n", i, i)
		}
		if !whole {
			fmt.Fprintf(&body, "id: %d\ndata: pi", last+1)
		}
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nSeal: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", r.Header.Get("Id"), body.Len(), body.String())
		if whole {
			_, _ = io.WriteString(conn, "0\r\n\r\n")
		}
	}
}

// eventText returns the events that the caller of an events handler receives.
func eventText(first, last int) string {
	text := ""
	for i := first; i <= last; i++ {
		text += fmt.Sprintf("id: %d\ndata: piece %d\n\n", i, i)
	}
	return text
}
