// Package faultproxy forwards TCP connections and injects faults on command: it
// refuses, cuts, stalls and delays connections, and loses answers. Each link
// has a name, a listener and a target. A fault applies to the links whose name
// matches a pattern.
//
// # Usage
//
//	p := faultproxy.New(1, clock.System())
//	err := p.Start("127.0.0.1:0")
//	address, err := p.SetLink("platform/d1", "127.0.0.1:8000")
//	p.SetFault(faultproxy.Rule{Pattern: "platform/*", Fault: faultproxy.Fault{Stall: true}})
//
// The control interface accepts a host.ProxyLink at POST /links and a Rule at
// POST /faults.
package faultproxy

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"path"
	"slices"
	"sync"

	"github.com/samber/oops"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/standin/host"
)

// Fault describes how the connections of a link misbehave. The zero value
// forwards everything.
type Fault struct {
	// Refuse resets new connections at once.
	Refuse bool
	// Cut resets the connections that are open when the fault is set.
	Cut bool
	// Stall keeps connections open and forwards nothing, in either direction.
	Stall bool
	// Silence makes the connections that are open when the fault is set lose all data from
	// then on, in both directions and for good. New connections work.
	Silence bool
	// StallAnswers forwards only from the client to the target.
	StallAnswers bool
	// Delay delays each chunk of data, plus a random time up to Jitter.
	Delay  clock.Millis
	Jitter clock.Millis
	// LoseAnswers is the share, from 0 to 1, of chunks of data from the target
	// that are dropped; the connection is reset instead.
	LoseAnswers float64
}

// Rule sets the fault of all links whose name matches Pattern, in the syntax of
// path.Match. It replaces their previous fault.
type Rule struct {
	Pattern string
	Fault   Fault
}

// Proxy is a set of links.
type Proxy struct {
	clock  clock.Clock
	server *http.Server
	url    string

	mu     sync.Mutex
	random *rand.Rand
	links  map[string]*link
	rules  []Rule
}

// New returns a Proxy that does not listen yet.
func New(seed uint64, clk clock.Clock) *Proxy {
	return &Proxy{clock: clk, random: rand.New(rand.NewPCG(seed, 5)), links: make(map[string]*link)}
}

func listen(address string) (net.Listener, error) {
	var config net.ListenConfig
	return config.Listen(context.Background(), "tcp", address)
}

// Start listens for control calls at address.
func (p *Proxy) Start(address string) (err error) {
	defer func() { err = oops.Wrapf(err, "start fault proxy") }()
	listener, err := listen(address)
	if err != nil {
		return err
	}
	p.url = "http://" + listener.Addr().String()
	p.server = &http.Server{Handler: p.routes(), ReadHeaderTimeout: clock.Minute.Duration()}
	go p.run(listener)
	return nil
}

func (p *Proxy) run(listener net.Listener) {
	_ = p.server.Serve(listener)
}

// URL returns the base URL of the control interface.
func (p *Proxy) URL() string {
	return p.url
}

// Close closes all links and the control interface.
func (p *Proxy) Close() {
	p.mu.Lock()
	links := p.links
	p.links = make(map[string]*link)
	p.mu.Unlock()
	for _, l := range links {
		l.close()
	}
	if p.server != nil {
		_ = p.server.Close()
	}
}

// SetLink opens the link name to target, or sets the target of the existing
// link, and returns the address of its listener.
func (p *Proxy) SetLink(name, target string) (address string, err error) {
	defer func() { err = oops.Wrapf(err, "link %s", name) }()
	p.mu.Lock()
	defer p.mu.Unlock()
	if known, ok := p.links[name]; ok {
		known.setTarget(target)
		return known.listener.Addr().String(), nil
	}
	listener, err := listen("127.0.0.1:0")
	if err != nil {
		return "", err
	}
	l := &link{proxy: p, target: target, listener: listener, conns: make(map[net.Conn]bool)}
	l.faultChanged, l.silenced = make(chan struct{}), make(chan struct{})
	for _, rule := range p.rules {
		if matches(rule.Pattern, name) {
			l.fault = rule.Fault
		}
	}
	p.links[name] = l
	go l.run()
	return listener.Addr().String(), nil
}

func matches(pattern, name string) bool {
	matched, err := path.Match(pattern, name)
	return err == nil && matched
}

// SetFault applies a rule to existing links and to links opened later.
func (p *Proxy) SetFault(rule Rule) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rules = slices.DeleteFunc(p.rules, func(old Rule) bool { return old.Pattern == rule.Pattern })
	p.rules = append(p.rules, rule)
	for name, l := range p.links {
		if matches(rule.Pattern, name) {
			l.setFault(rule.Fault)
		}
	}
}

// randomHit returns true with the given probability.
func (p *Proxy) randomHit(probability float64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.random.Float64() < probability
}

// randomDelay returns a random time from 0 to limit.
func (p *Proxy) randomDelay(limit clock.Millis) clock.Millis {
	if limit <= 0 {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return clock.Millis(p.random.Int64N(int64(limit) + 1))
}

func (p *Proxy) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /links", func(w http.ResponseWriter, r *http.Request) {
		var wanted host.ProxyLink
		if !decode(w, r, &wanted) {
			return
		}
		address, err := p.SetLink(wanted.Name, wanted.Target)
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		host.WriteJSON(w, host.ProxyAddress{Address: address})
	})
	mux.HandleFunc("POST /faults", func(w http.ResponseWriter, r *http.Request) {
		var rule Rule
		if decode(w, r, &rule) {
			p.SetFault(rule)
			host.WriteJSON(w, struct{}{})
		}
	})
	return mux
}

func decode(w http.ResponseWriter, r *http.Request, into any) bool {
	err := json.NewDecoder(r.Body).Decode(into)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
	return err == nil
}
