//go:build review

package rig3

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Header fields of requests and answers.
const (
	FieldID       = "Banyanshift-Attempt-Id"
	FieldSeal     = "Banyanshift-Response-Seal"
	FieldNotRun   = "Banyanshift-Not-Executed"
	FieldReplica  = "Banyanshift-Replica-Id"
	FieldExpected = "Banyanshift-Expected-Replica"
	FieldLoad     = "Banyanshift-Replica-Load"
	FieldTimeLeft = "Banyanshift-Deadline-Remaining"
	FieldKey      = "Api-Key"
)

// heartbeat is the time between two writes of a replica's entry.
const heartbeat = 1200 * time.Millisecond

// Arrival is a request that has reached a replica.
type Arrival struct {
	At      time.Time
	Replica string
	ID      string
	// Ran is false if the replica refused the request.
	Ran bool
}

// Replica is a stand-in of a replica of a service.
type Replica struct {
	ID, Service, Zone string
	Slots, Queue      int
	// Work is how long a request runs.
	Work time.Duration
	// Header is sent in all answers; it may be changed with SetHeader.
	header http.Header
	// Handle replaces the run of a request that was admitted. It may be nil.
	Handle func(w http.ResponseWriter, r *http.Request)

	store    *Store
	address  string
	born     int64
	server   *http.Server
	stop     chan struct{}
	places   chan struct{}
	mu       sync.Mutex
	waiting  int
	state    string
	sequence int
	arrivals []Arrival
}

// Start makes the replica listen at a free port of an address, and registers it.
func (r *Replica) Start(store *Store, ip string) error {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return err
	}
	r.store, r.address, r.born, r.state = store, listener.Addr().String(), time.Now().UnixMilli(), "ready"
	r.stop, r.places = make(chan struct{}), make(chan struct{}, r.Slots)
	r.server = &http.Server{Handler: r, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = r.server.Serve(listener) }()
	go r.loop()
	return nil
}

// SetHeader sets a field of all later answers, and removes it if the value is empty.
func (r *Replica) SetHeader(name, value string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	header := r.header.Clone()
	if header == nil {
		header = make(http.Header)
	}
	if value == "" {
		header.Del(name)
	} else {
		header.Set(name, value)
	}
	r.header = header
}

// Address returns the address of the replica.
func (r *Replica) Address() string { return r.address }

// Arrivals returns the requests that have reached the replica.
func (r *Replica) Arrivals() []Arrival {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Arrival(nil), r.arrivals...)
}

// loop renews the entry.
func (r *Replica) loop() {
	for {
		r.mu.Lock()
		r.sequence++
		entry := map[string]any{
			"service": r.Service, "address": r.address, "zone": r.Zone, "version": "1", "slots": r.Slots, "state": r.state,
			"cold_remaining_ms": 0, "sequence": r.sequence, "born": r.born,
		}
		r.mu.Unlock()
		r.store.Put("servers", r.ID, entry)
		select {
		case <-time.After(heartbeat):
		case <-r.stop:
			return
		}
	}
}

// ServeHTTP implements http.Handler.
func (r *Replica) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	r.mu.Lock()
	for name, values := range r.header {
		w.Header()[name] = values
	}
	waiting := r.waiting
	r.mu.Unlock()
	w.Header().Set(FieldReplica, r.ID)
	w.Header().Set(FieldLoad, fmt.Sprintf("%d,%d,%d", len(r.places), waiting, r.Slots))
	switch request.URL.Path {
	case "/health":
		w.WriteHeader(http.StatusOK)
		return
	case "/report":
		w.Header().Set("Content-Type", "application/json")
		_, _ = fmt.Fprintf(w, `{"stage":"prefill_decode","models":[],"busy":false,"sequence":1,"waiting":0,"running":0,"kv_used":0,"kv_total":0,"handles":0,"born":%d}`, r.born)
		return
	}
	id := request.Header.Get(FieldID)
	w.Header().Set(FieldID, id)
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return
	}
	if expected := request.Header.Get(FieldExpected); expected != "" && expected != r.ID {
		r.refuse(w, id, http.StatusMisdirectedRequest)
		return
	}
	if !r.admit(request) {
		r.refuse(w, id, http.StatusServiceUnavailable)
		return
	}
	defer func() { <-r.places }()
	r.record(id, true)
	if r.Handle != nil {
		r.Handle(w, request)
		return
	}
	select {
	case <-time.After(r.Work):
	case <-request.Context().Done():
		return
	}
	w.Header().Set(FieldSeal, "seal."+id)
	_, _ = io.WriteString(w, r.ID+" ran "+id+"\n")
}

// admit waits for a place. It reports false if the queue is full or the caller leaves.
func (r *Replica) admit(request *http.Request) bool {
	select {
	case r.places <- struct{}{}:
		return true
	default:
	}
	r.mu.Lock()
	full := r.waiting >= r.Queue
	if !full {
		r.waiting++
	}
	r.mu.Unlock()
	if full {
		return false
	}
	defer func() {
		r.mu.Lock()
		r.waiting--
		r.mu.Unlock()
	}()
	select {
	case r.places <- struct{}{}:
		return true
	case <-request.Context().Done():
		return false
	}
}

func (r *Replica) refuse(w http.ResponseWriter, id string, status int) {
	r.record(id, false)
	w.Header().Set(FieldNotRun, "1")
	w.WriteHeader(status)
}

func (r *Replica) record(id string, ran bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.arrivals = append(r.arrivals, Arrival{At: time.Now(), Replica: r.ID, ID: id, Ran: ran})
}
