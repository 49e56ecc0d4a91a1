// Package host runs the endpoints of a stand-in process, each with its own
// listener. The platform stand-in starts and stops them through the control
// interface.
//
// # Usage
//
//	h := host.New(host.Config{Type: entity.Model, NewEndpoint: newEngine, ...})
//	err := h.Start()       // listens and registers with the platform
//	defer h.Close()
package host

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"

	"github.com/samber/oops"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/config/entity"
	"github.com/banyanshift/banyanshift/internal/platform/rest"
	"github.com/banyanshift/banyanshift/internal/standin/record"
)

// Spec describes an endpoint to start.
type Spec struct {
	Endpoint    entity.Endpoint
	Model       string
	ChecksFence bool
	Slots       int
}

// Fault makes one endpoint misbehave until another Fault replaces it.
type Fault struct {
	// Straggle multiplies the processing time of requests; 0 means 1.
	Straggle float64
	// Crash kills the endpoint at once.
	Crash bool
	// Cross, Truncate, Duplicate and Late are shares of answers, from 0 to 1.
	// Such an answer belongs to another request, stops before its end, holds a
	// token twice, or starts after a pause of LateBy.
	Cross     float64
	Truncate  float64
	Duplicate float64
	Late      float64
	LateBy    clock.Millis
	// LoadLag raises the lag of load reports to at least this.
	LoadLag clock.Millis
	// Answer is the name of the answer of package hostile that takes the place of all others, "" for
	// none.
	Answer string
}

// Endpoint is one running endpoint. All fields must be set.
type Endpoint struct {
	Handler http.Handler
	// Prepare blocks until the endpoint can serve, for example until its
	// weights are loaded.
	Prepare func(ctx context.Context) error
	// MarkLeaving marks the endpoint as about to stop, which its load reports
	// show. It keeps serving.
	MarkLeaving func()
	// Drain blocks until no request is running or waiting, or ctx ends.
	Drain func(ctx context.Context)
	// Close stops the endpoint at once and aborts its requests.
	Close    func()
	SetFault func(fault Fault)
	// FillRecord sets the runs and orders of the record.
	FillRecord func(into *record.Endpoint)
}

// Config configures a Host.
type Config struct {
	// ID identifies the host to the platform.
	ID             string
	Type           entity.BackendType
	Region         string
	FailureDomains []string
	// Listen is the address of the control interface.
	Listen string
	// PlatformURL is the platform stand-in to register with. If it is empty, the
	// host does not register.
	PlatformURL string
	// ProxyURL is the fault proxy in front of each endpoint. If it is empty,
	// endpoints are reached directly.
	ProxyURL    string
	NewEndpoint func(spec Spec) *Endpoint
	Clock       clock.Clock
}

// Host runs endpoints.
type Host struct {
	config Config
	leaks  *record.LeakCounter
	server *http.Server
	url    string

	mu        sync.Mutex
	endpoints map[string]*hostedEndpoint
	ended     []*hostedEndpoint
}

type hostedEndpoint struct {
	spec     Spec
	endpoint *Endpoint
	server   *http.Server
	clock    clock.Clock

	mu           sync.Mutex
	started      clock.Millis
	leavingSince clock.Millis
	ended        clock.Millis
	// answer is that of Fault.
	answer string
}

// New returns a Host that does not listen yet.
func New(config Config) *Host {
	return &Host{config: config, leaks: &record.LeakCounter{}, endpoints: make(map[string]*hostedEndpoint)}
}

// URL returns the base URL of the control interface of a started host.
func (h *Host) URL() string {
	return h.url
}

// Start starts the control interface and registers with the platform.
func (h *Host) Start() (err error) {
	defer func() { err = oops.Wrapf(err, "start host %s", h.config.ID) }()
	listener, err := listen(h.config.Listen)
	if err != nil {
		return err
	}
	h.url = "http://" + listener.Addr().String()
	h.server = &http.Server{Handler: h.routes(), ReadHeaderTimeout: clock.Minute.Duration()}
	go h.run(listener)
	return h.register()
}

func listen(address string) (net.Listener, error) {
	var config net.ListenConfig
	return config.Listen(context.Background(), "tcp", address)
}

func (h *Host) run(listener net.Listener) {
	_ = h.server.Serve(listener)
}

// Registration registers a host with the platform.
type Registration struct {
	ID             string
	URL            string
	Type           entity.BackendType
	Region         string
	FailureDomains []string
}

func (h *Host) register() error {
	if h.config.PlatformURL == "" {
		return nil
	}
	registration := Registration{
		ID: h.config.ID, URL: h.url, Type: h.config.Type,
		Region: h.config.Region, FailureDomains: h.config.FailureDomains,
	}
	platform := rest.New(h.config.PlatformURL, http.DefaultClient)
	return platform.Call(context.Background(), http.MethodPut, "/hosts/"+h.config.ID, registration, nil)
}

// Close stops the host and kills its endpoints.
func (h *Host) Close() {
	h.mu.Lock()
	all := h.endpoints
	h.endpoints = make(map[string]*hostedEndpoint)
	h.mu.Unlock()
	for _, r := range all {
		r.close()
	}
	if h.server != nil {
		_ = h.server.Close()
	}
}

// StartEndpoint starts an endpoint and returns the address at which it is
// reached. It is idempotent: it returns the address of a running endpoint.
func (h *Host) StartEndpoint(ctx context.Context, spec Spec) (address string, err error) {
	defer func() { err = oops.Wrapf(err, "start endpoint %s", spec.Endpoint.ID) }()
	if known, ok := h.lookup(spec.Endpoint.ID); ok {
		return known.spec.Endpoint.Address, nil
	}
	listener, err := listen("127.0.0.1:0")
	if err != nil {
		return "", err
	}
	spec.Endpoint.Address, err = h.reachableAddress(ctx, spec.Endpoint.ID, listener.Addr().String())
	if err != nil {
		return "", errors.Join(err, listener.Close())
	}
	r := &hostedEndpoint{spec: spec, endpoint: h.config.NewEndpoint(spec), clock: h.config.Clock, started: h.config.Clock.Wall()}
	if err := r.endpoint.Prepare(ctx); err != nil {
		return "", errors.Join(err, listener.Close())
	}
	r.server = &http.Server{Handler: http.HandlerFunc(r.serve), ReadHeaderTimeout: clock.Minute.Duration()}
	h.mu.Lock()
	h.endpoints[spec.Endpoint.ID] = r
	h.mu.Unlock()
	go r.run(record.NewKeyScanner(listener, h.leaks))
	return spec.Endpoint.Address, nil
}

// ProxyLink asks the fault proxy for a listener that forwards to Target.
type ProxyLink struct {
	Name   string
	Target string
}

// ProxyAddress is the proxy's response to a ProxyLink.
type ProxyAddress struct {
	Address string
}

// reachableAddress returns the address at which callers reach an endpoint that
// listens at address: that of a new proxy link if there is a fault proxy.
func (h *Host) reachableAddress(ctx context.Context, id, address string) (string, error) {
	if h.config.ProxyURL == "" {
		return address, nil
	}
	proxy := rest.New(h.config.ProxyURL, http.DefaultClient)
	link := ProxyLink{Name: "endpoint/" + id, Target: address}
	var answer ProxyAddress
	err := proxy.Call(ctx, http.MethodPost, "/links", link, &answer)
	return answer.Address, err
}

func (h *Host) lookup(id string) (*hostedEndpoint, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r, ok := h.endpoints[id]
	return r, ok
}

func (h *Host) remove(id string) (*hostedEndpoint, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r, ok := h.endpoints[id]
	if ok {
		delete(h.endpoints, id)
		h.ended = append(h.ended, r)
	}
	return r, ok
}

// MarkLeaving marks an endpoint as about to stop.
func (h *Host) MarkLeaving(id string) {
	if r, ok := h.lookup(id); ok {
		r.markLeaving()
	}
}

// Stop waits for the requests of an endpoint, for at most grace, and kills it.
func (h *Host) Stop(id string, grace clock.Millis) {
	r, ok := h.lookup(id)
	if !ok {
		return
	}
	r.markLeaving()
	ctx, cancel := context.WithTimeout(context.Background(), grace.Duration())
	defer cancel()
	r.endpoint.Drain(ctx)
	h.Kill(id)
}

// Kill stops an endpoint at once and aborts its requests.
func (h *Host) Kill(id string) {
	if r, ok := h.remove(id); ok {
		r.close()
	}
}

// SetFault replaces the fault of an endpoint. On a crash it kills the endpoint
// and then reports it to the platform, which learns of it a moment later.
func (h *Host) SetFault(id string, fault Fault) {
	r, ok := h.lookup(id)
	if !ok {
		return
	}
	if !fault.Crash {
		r.setAnswer(fault.Answer)
		r.endpoint.SetFault(fault)
		return
	}
	h.Kill(id)
	if h.config.PlatformURL != "" {
		platform := rest.New(h.config.PlatformURL, http.DefaultClient)
		_ = platform.Call(context.Background(), http.MethodDelete, "/endpoints/"+id, nil, nil)
	}
}

// Record returns the record of all endpoints, including ended ones.
func (h *Host) Record() record.Host {
	h.mu.Lock()
	all := append([]*hostedEndpoint(nil), h.ended...)
	for _, r := range h.endpoints {
		all = append(all, r)
	}
	h.mu.Unlock()
	result := record.Host{KeyLeaks: h.leaks.Count()}
	for _, r := range all {
		result.Endpoints = append(result.Endpoints, r.record())
	}
	return result
}

func (r *hostedEndpoint) run(listener net.Listener) {
	_ = r.server.Serve(listener)
}

func (r *hostedEndpoint) markLeaving() {
	r.mu.Lock()
	if r.leavingSince == 0 {
		r.leavingSince = r.clock.Wall()
	}
	r.mu.Unlock()
	r.endpoint.MarkLeaving()
}

func (r *hostedEndpoint) close() {
	r.mu.Lock()
	r.ended = r.clock.Wall()
	r.mu.Unlock()
	r.endpoint.Close()
	_ = r.server.Close()
}

func (r *hostedEndpoint) record() record.Endpoint {
	r.mu.Lock()
	result := record.Endpoint{
		Endpoint: r.spec.Endpoint, LeavingSince: r.leavingSince,
		Started: r.started, Ended: r.ended,
	}
	r.mu.Unlock()
	r.endpoint.FillRecord(&result)
	return result
}
