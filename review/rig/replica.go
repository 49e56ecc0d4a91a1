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

// heartbeat is how often a replica writes its entry.
const heartbeat = 1200 * time.Millisecond

// replica is a stand-in of a replica. Query parameters of a request say how it answers:
// events is the number of events of a stream, first the time before the first one and gap that
// before each, in ms; work is the time of a plain request in ms.
type replica struct {
	id, service, zone string
	platform          *storePlatform
	server            *http.Server
	address           string
	stop              chan struct{}
	// weights is the version of the weights.
	weights atomic.Int64

	mu sync.Mutex
	// version is the version of the software, and born when it started, in Unix ms. The entry
	// is not written before registersAt.
	version     string
	born        int64
	registersAt time.Time
	// open holds the open connections.
	open map[net.Conn]bool
	// runs holds the number of runs of each request, and ended how the last one ended.
	runs  map[string]int
	ended map[string]string
}

func startReplica(p *storePlatform, ip, id, service, zone string) (r *replica, err error) {
	r = &replica{
		id: id, service: service, zone: zone, version: "1", born: time.Now().UnixMilli(), platform: p,
		stop: make(chan struct{}), open: make(map[net.Conn]bool), runs: make(map[string]int), ended: make(map[string]string),
	}
	r.weights.Store(1)
	listener, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	r.address = listener.Addr().String()
	r.serveAt(listener)
	go r.beat()
	return r, nil
}

// serveAt serves the connections of a listener. The lock must be held after the start.
func (r *replica) serveAt(listener net.Listener) {
	r.server = &http.Server{Handler: http.HandlerFunc(r.serve), ConnState: r.recordState}
	go func(server *http.Server) { _ = server.Serve(listener) }(r.server)
}

// recordState keeps the open connections.
func (r *replica) recordState(conn net.Conn, state http.ConnState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch state {
	case http.StateNew:
		r.open[conn] = true
	case http.StateClosed:
		delete(r.open, conn)
	}
}

func (r *replica) close() {
	close(r.stop)
	_ = r.server.Close()
}

// beat writes the entry of the replica until it ends.
func (r *replica) beat() {
	for sequence := 1; ; sequence++ {
		r.mu.Lock()
		version, born, wait := r.version, r.born, time.Until(r.registersAt)
		r.mu.Unlock()
		if wait <= 0 {
			wait = heartbeat
			r.platform.put("servers", r.id, map[string]any{
				"service": r.service, "address": r.address, "zone": r.zone, "version": version, "slots": replicaSlots,
				"state": "ready", "cold_remaining_ms": 0, "sequence": sequence, "born": born,
			})
		}
		select {
		case <-time.After(wait):
		case <-r.stop:
			return
		}
	}
}

// restart ends the replica and starts it again under its ID, at its address, with other software. It
// writes its entry with its first heartbeat.
func (r *replica) restart(version string, firstHeartbeat time.Duration) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.server.Close()
	listener, err := net.Listen("tcp", r.address)
	if err != nil {
		return err
	}
	r.version, r.born, r.registersAt = version, time.Now().UnixMilli(), time.Now().Add(firstHeartbeat)
	r.serveAt(listener)
	r.platform.rec.note("replica %s: has started again with software %s, born %d", r.id, version, r.born)
	return nil
}

// restartAtOnce ends the process of the replica, which ends its connections, and starts the next one
// under its ID. The supervisor of the processes holds the socket on which they listen, so that
// connections are never refused.
func (r *replica) restartAtOnce() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.born, r.registersAt = time.Now().UnixMilli(), time.Now()
	for conn := range r.open {
		_ = conn.Close()
	}
	clear(r.open)
	r.platform.rec.note("replica %s: its process has ended, and the next one has started, born %d", r.id, r.born)
}

// crash ends the replica for good.
func (r *replica) crash() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.platform.rec.note("replica %s: crashes", r.id)
	r.registersAt = time.Now().Add(time.Hour)
	_ = r.server.Close()
}

// replicaSlots is how many requests a replica runs at a time.
const replicaSlots = 64

func (r *replica) serve(w http.ResponseWriter, req *http.Request) {
	if req.URL.Path == "/report" {
		r.mu.Lock()
		defer r.mu.Unlock()
		w.Header().Set("Content-Type", "application/json")
		_, _ = fmt.Fprintf(w, `{"stage":"prefill_decode","models":[],"busy":false,"sequence":0,"waiting":0,"running":0,"born":%d}`, r.born)
		return
	}
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
	version := r.version
	r.mu.Unlock()
	r.platform.rec.note("replica %s: runs %s (%s) with software %s, after event %q", r.id, id, req.URL.Path, version, req.Header.Get("Last-Event-Id"))
	end := r.run(w, req, version)
	r.mu.Lock()
	r.ended[id] = end
	r.mu.Unlock()
	r.platform.rec.note("replica %s: %s ends: %s", r.id, id, end)
}

func (r *replica) run(w http.ResponseWriter, req *http.Request, version string) (end string) {
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
	if query.Get("unframed") != "" {
		return r.runUnframed(w, events, time.Duration(gap)*time.Millisecond)
	}
	first, _ := strconv.Atoi(query.Get("first"))
	if !pause(req, time.Duration(first)*time.Millisecond) {
		return "the caller has left before the first event"
	}
	w.Header().Set("Content-Type", "text/event-stream")
	have, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	for n := have; n < events; n++ {
		if !pause(req, time.Duration(gap)*time.Millisecond) {
			return fmt.Sprintf("the caller has left after %d of %d events", n, events)
		}
		_, err := fmt.Fprintf(w, "id: %d\ndata: piece %d of %d by software %s\n\n", n+1, n+1, events, version)
		if err == nil {
			err = http.NewResponseController(w).Flush()
		}
		if err != nil {
			return fmt.Sprintf("the caller has left after %d of %d events", n, events)
		}
	}
	return "answered"
}

// runUnframed answers with a stream that has neither a length nor chunks and ends with its connection.
func (r *replica) runUnframed(w http.ResponseWriter, events int, gap time.Duration) (end string) {
	head := w.Header().Clone()
	head.Set("Content-Type", "text/event-stream")
	head.Set("Connection", "close")
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return err.Error()
	}
	defer func() {
		_ = conn.Close()
		r.recordState(conn, http.StateClosed)
	}()
	_, err = io.WriteString(conn, "HTTP/1.1 200 OK\r\n")
	if err == nil {
		err = head.Write(conn)
	}
	if err == nil {
		_, err = io.WriteString(conn, "\r\n")
	}
	for n := 0; n < events && err == nil; n++ {
		time.Sleep(gap)
		_, err = fmt.Fprintf(conn, "id: %d\ndata: piece %d of %d by software 1\n\n", n+1, n+1, events)
		if err != nil {
			return fmt.Sprintf("broke off after %d of %d events", n, events)
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
