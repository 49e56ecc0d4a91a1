//go:build review

package main

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// heartbeat is how often a replica writes its entry.
const heartbeat = 1200 * time.Millisecond

// replica is a stand-in of a replica. Query parameters of a request say how it answers:
// events is the number of events of a stream, first the time before the first one and gap that
// before each, in ms; work is the time of a plain request in ms.
type replica struct {
	id, service, zone string
	born              int64
	platform          *storePlatform
	server            *http.Server
	address           string
	stop              chan struct{}
	// weights is the version of the weights.
	weights atomic.Int64

	mu sync.Mutex
	// runs holds the number of runs of each request, and ended how the last one ended.
	runs  map[string]int
	ended map[string]string
}

func startReplica(p *storePlatform, ip, id, service, zone string) (r *replica, err error) {
	r = &replica{
		id: id, service: service, zone: zone, born: time.Now().UnixMilli(), platform: p,
		stop: make(chan struct{}), runs: make(map[string]int), ended: make(map[string]string),
	}
	r.weights.Store(1)
	if r.server, r.address, err = serveHTTP(ip, http.HandlerFunc(r.serve)); err != nil {
		return nil, err
	}
	go r.beat()
	return r, nil
}

func (r *replica) close() {
	close(r.stop)
	_ = r.server.Close()
}

// beat writes the entry of the replica until it ends.
func (r *replica) beat() {
	for sequence := 1; ; sequence++ {
		r.platform.put("servers", r.id, map[string]any{
			"service": r.service, "address": r.address, "zone": r.zone, "version": "1", "slots": replicaSlots,
			"state": "ready", "cold_remaining_ms": 0, "sequence": sequence, "born": r.born,
		})
		select {
		case <-time.After(heartbeat):
		case <-r.stop:
			return
		}
	}
}

// replicaSlots is how many requests a replica runs at a time.
const replicaSlots = 64

func (r *replica) serve(w http.ResponseWriter, req *http.Request) {
	id := req.Header.Get("Banyanshift-Attempt-Id")
	w.Header().Set("Banyanshift-Attempt-Id", id)
	if expected := req.Header.Get("Banyanshift-Expected-Replica"); expected != "" && expected != r.id {
		w.Header().Set("Banyanshift-Replica-Id", r.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return
	}
	weights := strconv.FormatInt(r.weights.Load(), 10)
	w.Header().Set("Banyanshift-Weight-Versions", weights)
	if expected := req.Header.Get("Banyanshift-Expected-Version"); expected != "" && expected != weights {
		r.platform.rec.note("replica %s: has weights %s, %s expects %s: status 421", r.id, weights, id, expected)
		w.Header().Set("Banyanshift-Replica-Id", r.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	r.mu.Lock()
	r.runs[id]++
	r.ended[id] = "at work"
	r.mu.Unlock()
	r.platform.rec.note("replica %s: runs %s (%s)", r.id, id, req.URL.Path)
	end := r.run(w, req)
	r.mu.Lock()
	r.ended[id] = end
	r.mu.Unlock()
	r.platform.rec.note("replica %s: %s ends: %s", r.id, id, end)
}

func (r *replica) run(w http.ResponseWriter, req *http.Request) (end string) {
	query := req.URL.Query()
	w.Header().Set("Banyanshift-Response-Seal", "seal-"+r.id)
	events, _ := strconv.Atoi(query.Get("events"))
	if events == 0 {
		work, _ := strconv.Atoi(query.Get("work"))
		if !pause(req, time.Duration(work)*time.Millisecond) {
			return "the caller has left"
		}
		_, _ = fmt.Fprintf(w, "done by %s\n", r.id)
		return "answered"
	}
	gap, _ := strconv.Atoi(query.Get("gap"))
	first, _ := strconv.Atoi(query.Get("first"))
	if !pause(req, time.Duration(first)*time.Millisecond) {
		return "the caller has left before the first event"
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for n := range events {
		if !pause(req, time.Duration(gap)*time.Millisecond) {
			return fmt.Sprintf("the caller has left after %d of %d events", n, events)
		}
		_, err := fmt.Fprintf(w, "id: %d\ndata: piece %d of %d\n\n", n+1, n+1, events)
		if err == nil {
			err = http.NewResponseController(w).Flush()
		}
		if err != nil {
			return fmt.Sprintf("the caller has left after %d of %d events", n, events)
		}
	}
	return "answered"
}

// pause waits, and reports whether the caller is still there.
func pause(req *http.Request, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-req.Context().Done():
		return false
	}
}

// runsOf returns how often a request ran, and how its last run ended.
func (r *replica) runsOf(id string) (runs int, end string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[id], r.ended[id]
}
