//go:build review

package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// replica is a sound replica of a service. It answers each request with a stream of events that say
// which service and software version made them.
type replica struct {
	id, service, version, zone, address string

	events int
	gap    time.Duration
	record *record

	// entryAfter is how long after its start it writes its entry for the first time.
	entryAfter time.Duration

	mu      sync.Mutex
	running int
	server  *http.Server
	stopped atomic.Bool
}

const replicaSlots = 64

func (p *replica) start(s *store, address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	p.address = listener.Addr().String()
	born := time.Now().UnixMilli()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /report", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		fmt.Fprintf(w, `{"born":%d,"stage":"prefill_decode","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"sequence":1,"waiting":0,"running":%d,"kv_used":0,"kv_total":400000,"handles":0,"state":"ready","runs":[]}`, born, p.load(0))
	})
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Banyanshift-Replica-Id", p.id)
		w.Header().Set("Banyanshift-Replica-Load", fmt.Sprintf("%d,0,%d", p.load(0), replicaSlots))
	})
	mux.HandleFunc("/", p.serve)
	p.server = &http.Server{Handler: mux}
	go func() { _ = p.server.Serve(listener) }()
	go func() {
		time.Sleep(p.entryAfter)
		for sequence := 1; !p.stopped.Load(); sequence++ {
			s.put("servers", p.id, map[string]any{
				"born": born, "service": p.service, "address": p.address, "zone": p.zone, "version": p.version, "slots": replicaSlots,
				"state": "ready", "cold_remaining_ms": 0, "stage": "prefill_decode",
				"models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "sequence": sequence,
			})
			time.Sleep(1200 * time.Millisecond)
		}
	}()
	return nil
}

// stop ends the replica at once, as a process that is killed.
func (p *replica) stop() {
	p.stopped.Store(true)
	_ = p.server.Close()
}

// load changes the number of running requests and returns it.
func (p *replica) load(change int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running += change
	return p.running
}

func (p *replica) serve(w http.ResponseWriter, r *http.Request) {
	attempt := r.Header.Get("Banyanshift-Attempt-Id")
	header := w.Header()
	header.Set("Banyanshift-Attempt-Id", attempt)
	header.Set("Banyanshift-Replica-Id", p.id)
	if expected := r.Header.Get("Banyanshift-Expected-Replica"); expected != "" && expected != p.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if attempt == "" || p.load(0) >= replicaSlots {
		header.Set("Banyanshift-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer p.load(-1)
	header.Set("Banyanshift-Replica-Load", fmt.Sprintf("%d,0,%d", p.load(1), replicaSlots))
	_, _ = io.Copy(io.Discard, r.Body)
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	p.record.line("run", "attempt", attempt, "replica", p.id, "service", p.service, "version", p.version, "after", after)
	header.Set("Banyanshift-Response-Seal", "seal."+p.id+"."+attempt)
	header.Set("Banyanshift-Weight-Versions", "1")
	header.Set("Content-Type", "text/event-stream")
	out := http.NewResponseController(w)
	for n := after + 1; n <= p.events; n++ {
		fmt.Fprintf(w, "id: %d\ndata: %s %s\n\n", n, p.service, p.version)
		if out.Flush() != nil {
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-time.After(p.gap):
		}
	}
}
