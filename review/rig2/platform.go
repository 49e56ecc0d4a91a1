//go:build review

package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// row is a row of the store, as it stands on the wire.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"schema_version,omitempty"`
	Removed bool   `json:"removed,omitempty"`
}

type rowKey struct{ table, part, key string }

func (r row) id() rowKey { return rowKey{r.Table, r.Part, r.Key} }

// store is the platform's store, with the calls that the daemons make. It also takes the calls of
// the lease holder.
type store struct {
	address string

	mu      sync.Mutex
	changed chan struct{}
	rows    map[rowKey]row
	version uint64
	began   time.Time
}

func startStore(address string) (*store, error) {
	s := &store{rows: make(map[rowKey]row), changed: make(chan struct{}), began: time.Now()}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s.address = listener.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /rows-tx", s.transact)
	mux.HandleFunc("GET /rows-get", s.get)
	mux.HandleFunc("GET /rows-feed", s.feed)
	mux.HandleFunc("POST /usage", accept)
	mux.HandleFunc("POST /scale", accept)
	go func() { _ = http.Serve(listener, mux) }()
	return s, nil
}

func accept(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	w.WriteHeader(http.StatusOK)
}

// put writes a row like the operator or a replica.
func (s *store) put(table, key string, value any) {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.write(row{Table: table, Key: key, Value: encoded})
}

// write stores a row under the current version. The lock must be held.
func (s *store) write(r row) {
	r.Version = s.version
	s.rows[r.id()] = r
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var call struct {
		Expected []row `json:"expected_revision"`
		Puts     []row `json:"puts"`
		Remove   []row `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(5 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	var current []row
	conflict := false
	for _, expected := range call.Expected {
		held, found := s.rows[expected.id()]
		if !found || held.Removed {
			held = row{}
		}
		conflict = conflict || held.Version != expected.Version
		if held.Version != 0 {
			current = append(current, held)
		}
	}
	if conflict {
		s.answer(w, http.StatusPreconditionFailed, current, false)
		return
	}
	s.version++
	for _, put := range call.Puts {
		s.write(row{Table: put.Table, Part: put.Part, Key: put.Key, Value: put.Value})
	}
	for _, removed := range call.Remove {
		s.write(row{Table: removed.Table, Part: removed.Part, Key: removed.Key, Removed: true})
	}
	s.answer(w, http.StatusOK, nil, false)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil || limit > 500 {
		limit = 500
	}
	time.Sleep(4 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	found := s.find(func(r row) bool {
		return !r.Removed && r.Table == query.Get("table") && r.Part == query.Get("part") &&
			r.Key >= query.Get("from") && (query.Get("to") == "" || r.Key < query.Get("to"))
	})
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	s.answer(w, http.StatusOK, found[:min(limit, len(found))], len(found) > limit)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after_revision"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		found := s.find(func(r row) bool { return r.Table == query.Get("table") && r.Version > after })
		if len(found) > 0 {
			sort.Slice(found, func(i, j int) bool { return found[i].Version < found[j].Version })
			s.answer(w, http.StatusOK, found, false)
			s.mu.Unlock()
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-end:
			s.mu.Lock()
			s.answer(w, http.StatusOK, nil, false)
			s.mu.Unlock()
			return
		}
	}
}

// find returns the rows that match. The lock must be held.
func (s *store) find(match func(row) bool) []row {
	var found []row
	for _, r := range s.rows {
		if match(r) {
			found = append(found, r)
		}
	}
	return found
}

// answer writes a response about rows. The lock must be held.
func (s *store) answer(w http.ResponseWriter, status int, rows []row, more bool) {
	if rows == nil {
		rows = []row{}
	}
	body, _ := json.Marshal(map[string]any{
		"rows": rows, "more_pages": more, "schema_version": s.version, "now_ms": time.Since(s.began).Milliseconds(),
	})
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(body)
}
