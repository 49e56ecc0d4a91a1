//go:build review

package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// row is a row of the store, as it is on the wire.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"schema_version,omitempty"`
	Removed bool   `json:"removed,omitempty"`
}

func (r row) name() string {
	return r.Table + "\x00" + r.Part + "\x00" + r.Key
}

// dutyCall is a call that only the holder of a duty makes.
type dutyCall struct {
	at           time.Time
	path, holder string
	fence        string
	body         string
}

// storePlatform is the stand-in of the platform: its store, and its API for duties.
type storePlatform struct {
	rec           *record
	store, duties *http.Server
	storeAddress  string
	dutiesAddress string

	mu      sync.Mutex
	rows    map[string]row
	version uint64
	era     uint64
	// changed is closed when a row changes.
	changed chan struct{}
	calls   []dutyCall
	// away is set while the store answers nothing but 503.
	away bool
	// copies holds copies of the store, the newest last, if keepCopies runs.
	copies []storeCopy
	// written holds what the operator has written, which it writes again after a restore.
	written map[string]row
}

// storeCopy is a copy of the store.
type storeCopy struct {
	at      time.Time
	rows    map[string]row
	version uint64
}

func startPlatform(rec *record, ip string) (*storePlatform, error) {
	p := &storePlatform{rec: rec, rows: make(map[string]row), era: 1, changed: make(chan struct{}), written: make(map[string]row)}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /rows-tx", p.commit)
	mux.HandleFunc("GET /rows-get", p.get)
	mux.HandleFunc("GET /rows-feed", p.feed)
	mux.HandleFunc("GET /rows-parts", func(w http.ResponseWriter, _ *http.Request) {
		p.answer(w, http.StatusOK, map[string]any{"parts": []string{""}, "more_pages": false})
	})
	duties := http.NewServeMux()
	duties.HandleFunc("POST /usage", p.duty)
	duties.HandleFunc("POST /scale", p.duty)
	var err error
	if p.store, p.storeAddress, err = serveHTTP(ip, p.whileHere(mux)); err != nil {
		return nil, err
	}
	p.duties, p.dutiesAddress, err = serveHTTP(ip, duties)
	return p, err
}

// serveHTTP serves at a free port of an address.
func serveHTTP(ip string, handler http.Handler) (server *http.Server, address string, err error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, "", err
	}
	server = &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }()
	return server, listener.Addr().String(), nil
}

func (p *storePlatform) close() {
	_ = p.store.Close()
	_ = p.duties.Close()
}

// put writes a row like the operator or a replica.
func (p *storePlatform) put(table, key string, value any) {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	r := row{Table: table, Key: key, Value: encoded}
	if table == "op" {
		p.written[r.name()] = r
	}
	if p.away {
		return // The operator writes again after a restore, and replicas with their next heartbeat.
	}
	p.version++
	p.write(r)
}

// write writes a row at the newest version. The lock must be held.
func (p *storePlatform) write(r row) {
	r.Version = p.version
	p.rows[r.name()] = r
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *storePlatform) commit(w http.ResponseWriter, r *http.Request) {
	var call struct {
		On     []row `json:"expected_revision"`
		Puts   []row `json:"puts"`
		Remove []row `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(transactionTime)
	p.mu.Lock()
	defer p.mu.Unlock()
	var current []row
	conflict := false
	for _, on := range call.On {
		held := p.rows[on.name()]
		if held.Removed {
			held = row{}
		}
		conflict = conflict || held.Version != on.Version
		if held.Version != 0 {
			current = append(current, held)
		}
	}
	if conflict {
		p.answerLocked(w, http.StatusPreconditionFailed, map[string]any{"rows": current})
		return
	}
	p.version++
	for _, put := range call.Puts {
		p.write(row{Table: put.Table, Part: put.Part, Key: put.Key, Value: put.Value})
	}
	for _, gone := range call.Remove {
		p.write(row{Table: gone.Table, Part: gone.Part, Key: gone.Key, Removed: true})
	}
	p.answerLocked(w, http.StatusOK, map[string]any{"rows": []row{}})
}

// transactionTime is how long a transaction takes, and readTime a read.
const (
	transactionTime = 5 * time.Millisecond
	readTime        = 4 * time.Millisecond
	maxPageRows     = 500
)

func (p *storePlatform) get(w http.ResponseWriter, r *http.Request) {
	time.Sleep(readTime)
	query := r.URL.Query()
	limit := maxPageRows
	if n, err := strconv.Atoi(query.Get("limit")); err == nil && n > 0 {
		limit = min(limit, n)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	rows := p.find(func(r row) bool {
		return !r.Removed && r.Table == query.Get("table") && r.Part == query.Get("part") &&
			r.Key >= query.Get("from") && (query.Get("to") == "" || r.Key < query.Get("to"))
	})
	more := len(rows) > limit
	p.answerLocked(w, http.StatusOK, map[string]any{"rows": rows[:min(limit, len(rows))], "more_pages": more})
}

func (p *storePlatform) feed(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after_revision"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for waiting := true; ; {
		p.mu.Lock()
		if after > p.version {
			p.answerLocked(w, http.StatusGone, map[string]any{})
			p.mu.Unlock()
			return
		}
		rows := p.find(func(r row) bool { return r.Table == query.Get("table") && r.Version > after })
		if len(rows) > 0 || !waiting {
			slices.SortFunc(rows, func(a, b row) int { return int(a.Version) - int(b.Version) })
			p.answerLocked(w, http.StatusOK, map[string]any{"rows": rows})
			p.mu.Unlock()
			return
		}
		changed := p.changed
		p.mu.Unlock()
		select {
		case <-changed:
		case <-end:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

// find returns the rows that match, by key. The lock must be held.
func (p *storePlatform) find(match func(row) bool) []row {
	rows := []row{}
	for _, name := range slices.Sorted(maps.Keys(p.rows)) {
		if match(p.rows[name]) {
			rows = append(rows, p.rows[name])
		}
	}
	return rows
}

func (p *storePlatform) answer(w http.ResponseWriter, status int, body map[string]any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.answerLocked(w, status, body)
}

func (p *storePlatform) answerLocked(w http.ResponseWriter, status int, body map[string]any) {
	body["schema_version"], body["now_ms"] = p.version, time.Since(began).Milliseconds()
	w.Header().Set("Store-Era", strconv.FormatUint(p.era, 10))
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// duty records a call of the holder of a duty.
func (p *storePlatform) duty(_ http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	call := dutyCall{
		at: time.Now(), path: r.URL.Path, holder: r.Header.Get("Banyanshift-Duty-Holder"),
		fence: r.Header.Get("Banyanshift-Fencing-Token"), body: strings.TrimSpace(string(body)),
	}
	p.mu.Lock()
	p.calls = append(p.calls, call)
	p.mu.Unlock()
	p.rec.note("platform: %s of %s, fence %s: %s", call.path, call.holder, call.fence, call.body)
}

// began is when the rig started.
var began = time.Now()

// record writes what happens to a file, with the time since the start of the rig.
type record struct {
	mu sync.Mutex
	w  io.Writer
}

func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.w, "%7.3f "+format+"\n", append([]any{time.Since(began).Seconds()}, args...)...)
}

// whileHere answers 503 while the store is away: nothing was done.
func (p *storePlatform) whileHere(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p.mu.Lock()
		away := p.away
		p.mu.Unlock()
		if away {
			p.answer(w, http.StatusServiceUnavailable, map[string]any{})
			return
		}
		next.ServeHTTP(w, r)
	})
}

// copyInterval is the time between two copies of the store, and maxCopies how many are kept.
const (
	copyInterval = 200 * time.Millisecond
	maxCopies    = 50
)

// keepCopies copies the store now and then, until the rig ends.
func (p *storePlatform) keepCopies() {
	for range time.Tick(copyInterval) {
		p.mu.Lock()
		p.copies = append(p.copies, storeCopy{at: time.Now(), rows: maps.Clone(p.rows), version: p.version})
		p.copies = p.copies[max(len(p.copies)-maxCopies, 0):]
		p.mu.Unlock()
	}
}

// leave makes the store unavailable.
func (p *storePlatform) leave() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.away = true
	close(p.changed)
	p.changed = make(chan struct{})
	p.rec.note("platform: the store is away")
}

// restore brings the store back from the newest copy that was made before a time. The operator
// writes again what it has written.
func (p *storePlatform) restore(before time.Time) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, made := range slices.Backward(p.copies) {
		if made.at.After(before) {
			continue
		}
		p.rows, p.version = maps.Clone(made.rows), made.version
		p.era++
		p.away = false
		for _, r := range p.written {
			p.version++
			p.write(r)
		}
		p.rec.note("platform: the store is back from a copy that is %.1f s old, in era %d", time.Since(made.at).Seconds(), p.era)
		return nil
	}
	return errors.New("there is no copy of the store that is old enough")
}
