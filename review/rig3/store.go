//go:build review

package rig3

import (
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"sort"
	"strconv"
	"sync"
	"time"
)

// feedPoll is the time between two looks for changes while a call of the feed waits.
const feedPoll = 2 * time.Millisecond

// row is a row of the store on the wire.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"schema_version,omitempty"`
	Removed bool   `json:"removed,omitempty"`
}

// Store is a stand-in of the platform's store and of its API for duties. It loses nothing.
type Store struct {
	server  *http.Server
	address string
	started time.Time

	mu      sync.Mutex
	rows    map[string]row
	version uint64
	duties  []Duty
	// silent is set while the store takes calls and gives no answers.
	silent bool
}

// Duty is a call for a duty that the platform has accepted.
type Duty struct {
	At     time.Time
	Path   string
	Holder string
	Fence  uint64
	Body   string
}

// NewStore starts a store at a free port of an address.
func NewStore(ip string) (*Store, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	s := &Store{address: listener.Addr().String(), started: time.Now(), rows: make(map[string]row)}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /rows-tx", s.commit)
	mux.HandleFunc("GET /rows-get", s.get)
	mux.HandleFunc("GET /rows-parts", s.parts)
	mux.HandleFunc("GET /rows-feed", s.feed)
	mux.HandleFunc("POST /usage", s.duty)
	mux.HandleFunc("POST /scale", s.duty)
	s.server = &http.Server{Handler: s.answering(mux), ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

// SetSilent makes the store take calls without doing or answering them, or ends that. A call that it
// took meanwhile is never answered.
func (s *Store) SetSilent(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = silent
}

func (s *Store) isSilent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.silent
}

// answering answers calls by a handler unless the store is silent when they come or when the answer
// is ready.
func (s *Store) answering(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.isSilent() {
			<-r.Context().Done()
			return
		}
		recorded := httptest.NewRecorder()
		handler.ServeHTTP(recorded, r)
		if s.isSilent() {
			<-r.Context().Done()
			return
		}
		for name, values := range recorded.Header() {
			w.Header()[name] = values
		}
		w.WriteHeader(recorded.Code)
		_, _ = w.Write(recorded.Body.Bytes())
	})
}

// Address returns the address of the store and of the duties.
func (s *Store) Address() string { return s.address }

// Duties returns the calls for duties so far.
func (s *Store) Duties() []Duty {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Duty(nil), s.duties...)
}

// Put writes a row, as the operator or a server does.
func (s *Store) Put(table, key string, value any) {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.rows[table+"\x00\x00"+key] = row{Table: table, Key: key, Value: encoded, Version: s.version}
}

// Remove removes a row.
func (s *Store) Remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.rows[table+"\x00\x00"+key] = row{Table: table, Key: key, Version: s.version, Removed: true}
}

func (r row) place() string { return r.Table + "\x00" + r.Part + "\x00" + r.Key }

func (s *Store) commit(w http.ResponseWriter, r *http.Request) {
	var call struct {
		Expected []row `json:"expected_revision"`
		Puts     []row `json:"puts"`
		Remove   []row `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, change := range append(append([]row(nil), call.Puts...), call.Remove...) {
		if change.Table == "op" || change.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var current []row
	conflict := false
	for _, expected := range call.Expected {
		held := s.rows[expected.place()]
		if held.Removed {
			held = row{}
		}
		if held.Version != expected.Version {
			conflict = true
		}
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
		put.Version, put.Removed = s.version, false
		s.rows[put.place()] = put
	}
	for _, removed := range call.Remove {
		removed.Version, removed.Removed, removed.Value = s.version, true, nil
		s.rows[removed.place()] = removed
	}
	s.answer(w, http.StatusOK, nil, false)
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	const mostRows = 500
	query := r.URL.Query()
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil || limit > mostRows {
		limit = mostRows
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := s.find(func(held row) bool {
		return !held.Removed && held.Table == query.Get("table") && held.Part == query.Get("part") &&
			held.Key >= query.Get("from") && (query.Get("to") == "" || held.Key < query.Get("to"))
	})
	sort.Slice(rows, func(a, b int) bool { return rows[a].Key < rows[b].Key })
	s.answer(w, http.StatusOK, rows[:min(limit, len(rows))], len(rows) > limit)
}

func (s *Store) parts(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write([]byte(`{"parts":[""],"more_pages":false}`))
}

func (s *Store) feed(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after_revision"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	deadline := time.Now().Add(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		if after > s.version {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		rows := s.find(func(held row) bool { return held.Table == query.Get("table") && held.Version > after })
		if len(rows) > 0 || !time.Now().Before(deadline) || r.Context().Err() != nil {
			sort.Slice(rows, func(a, b int) bool { return rows[a].Version < rows[b].Version })
			s.answer(w, http.StatusOK, rows, false)
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		time.Sleep(feedPoll)
	}
}

// find returns the rows that match. The lock must be held.
func (s *Store) find(match func(row) bool) (rows []row) {
	for _, held := range s.rows {
		if match(held) {
			rows = append(rows, held)
		}
	}
	return rows
}

// answer writes rows. The lock must be held.
func (s *Store) answer(w http.ResponseWriter, status int, rows []row, more bool) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if rows == nil {
		rows = []row{}
	}
	_ = json.NewEncoder(w).Encode(map[string]any{
		"rows": rows, "more_pages": more, "schema_version": s.version, "now_ms": time.Since(s.started).Milliseconds(),
	})
}

func (s *Store) duty(w http.ResponseWriter, r *http.Request) {
	var body json.RawMessage
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	fence, _ := strconv.ParseUint(r.Header.Get("Banyanshift-Fencing-Token"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.duties = append(s.duties, Duty{At: time.Now(), Path: r.URL.Path, Holder: r.Header.Get("Banyanshift-Duty-Holder"), Fence: fence, Body: string(body)})
	w.WriteHeader(http.StatusOK)
}
