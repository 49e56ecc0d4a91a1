package entry

import (
	"bufio"
	"context"
	"crypto/sha256"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/sirupsen/logrus"

	"github.com/banyanshift/banyanshift/coord/changelog"
	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/config/entity"
	"github.com/banyanshift/banyanshift/internal/config/state"
	"github.com/banyanshift/banyanshift/internal/decide/memory"
	"github.com/banyanshift/banyanshift/internal/settings/ini"
)

const secret = "bs_k1_0123456789abcdef"

func seededState(t *testing.T) *state.State {
	t.Helper()
	s := state.New()
	entities := []any{
		entity.Team{Name: "halvorsen", Weight: 1},
		entity.Key{ID: "k1", Team: "halvorsen", Hash: sha256.Sum256([]byte(secret)), Class: "summary"},
		entity.Class{Name: "quick", Tier: 0, FirstTokenTarget: 780, MaxWait: 5000},
		entity.Class{Name: "summary", Tier: 2, FirstTokenTarget: 780, MaxWait: 5000},
		entity.Class{Name: "unlisted", Tier: 1, FirstTokenTarget: 780, MaxWait: 5000},
		entity.Backend{Name: "m", Type: entity.Model, Model: "m", Slots: 4},
		entity.Route{Name: "own", Backend: "m", Classes: []string{"quick", "summary"}, Teams: []string{"halvorsen"}},
		entity.Route{Name: "open", Backend: "m", Classes: []string{"quick"}, OpenToAll: true},
	}
	for i, e := range entities {
		write, err := state.PutWrite(e)
		if err != nil {
			t.Fatal(err)
		}
		change := changelog.Change{Sequence: uint64(i + 1), Writes: []changelog.EntityWrite{{Entity: write.Entity, Value: write.Value}}}
		if err := s.Apply(change); err != nil {
			t.Fatal(err)
		}
	}
	return s
}

func startServer(t *testing.T, settings ini.Caller, ready func() error, handler Handler) *Server {
	t.Helper()
	return startTLSServer(t, settings, nil, ready, handler)
}

// startTLSServer starts a server. Its connections are not encrypted if tlsConfig
// is nil.
func startTLSServer(t *testing.T, settings ini.Caller, tlsConfig *tls.Config, ready func() error, handler Handler) *Server {
	t.Helper()
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	settings.Listen = "127.0.0.1:0"
	if settings.MaxBodyBytes == 0 {
		settings.MaxBodyBytes = 1 << 16
	}
	settings.MaxHeaderBytes = 1 << 14
	settings.IdleTimeout = clock.Minute
	if settings.ReadTimeout == 0 {
		settings.ReadTimeout = 10 * clock.Second
	}
	if settings.WriteStallTimeout == 0 {
		settings.WriteStallTimeout = 10 * clock.Second
	}
	s := New(Dependencies{
		Settings: settings, TLS: tlsConfig, Clock: clock.System(), Logger: logger, State: seededState(t),
		Ready: ready, NewID: func() string { return "r1" }, Memory: memory.New(64 << 20),
	})
	s.HandleUnmatched(handler)
	if err := s.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Shutdown(context.Background()) })
	return s
}

func alwaysReady() error { return nil }

func TestUnreadyDaemonRefusesRequests(t *testing.T) {
	s := startServer(t, ini.Caller{}, func() error { return errors.New("no configuration yet") }, func(*Exchange) error {
		t.Error("the handler was called although the daemon is not ready")
		return nil
	})
	resp, err := http.Get("http://" + s.Address() + "/v1/models")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Run") != "Not" || resp.Header.Get("Retry-After") == "" {
		t.Errorf("got status %d, header %v; want 503 with Run: Not and Retry-After", resp.StatusCode, resp.Header)
	}
}

func TestClassify(t *testing.T) {
	tests := []struct {
		name, route, key, class string
		status                  int
		want                    string
	}{
		{"the request names the class", "own", secret, "quick", http.StatusOK, "quick 0"},
		{"the key's class", "own", secret, "", http.StatusOK, "summary 2"},
		{"a class that the route does not allow", "own", secret, "unlisted", http.StatusForbidden, ""},
		{"a class that does not exist", "own", secret, "x", http.StatusForbidden, ""},
		{"no key on an open route", "open", "", "", http.StatusOK, "quick 0"},
		{"no key", "own", "", "", http.StatusUnauthorized, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := startServer(t, ini.Caller{}, alwaysReady, func(x *Exchange) error {
				route, _ := x.server.deps.State.Route(tt.route)
				if err := x.Classify(route); err != nil {
					return err
				}
				return x.Write([]byte(fmt.Sprintf("%s %d", x.Request.Class, x.Request.Tier)))
			})
			req, _ := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+s.Address()+"/x", http.NoBody)
			if tt.key != "" {
				req.Header.Set("Authorization", "Bearer "+tt.key)
			}
			if tt.class != "" {
				req.Header.Set("Class", tt.class)
			}
			resp, err := http.DefaultClient.Do(req)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = resp.Body.Close() }()
			body, _ := io.ReadAll(resp.Body)
			if resp.StatusCode != tt.status || (tt.want != "" && string(body) != tt.want) {
				t.Errorf("got status %d, body %s; want those of the test case", resp.StatusCode, body)
			}
		})
	}
}

// send writes raw bytes to a new connection and returns all bytes that the
// server sends.
func send(t *testing.T, s *Server, data string) string {
	t.Helper()
	conn, err := net.Dial("tcp", s.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if _, err := io.WriteString(conn, data); err != nil {
		t.Fatal(err)
	}
	answer, _ := io.ReadAll(conn)
	return string(answer)
}

func TestSlowAndMalformedRequestsAreRefused(t *testing.T) {
	tests := []struct {
		name, data string
		statuses   []string
	}{
		{"half a header", "POST /x HTTP/1.1\r\nHost: x\r\n", []string{""}},
		{"half a body", "POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nabc", []string{"400", "408"}},
		{"half a chunk", "POST /x HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n8\r\nabc", []string{"400", "408"}},
		{"two lengths", "POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", []string{"400"}},
		{"header over the limit", "GET /x HTTP/1.1\r\nHost: x\r\nA: " + strings.Repeat("a", 1<<16) + "\r\n\r\n", []string{"431"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := startServer(t, ini.Caller{ReadTimeout: 300}, alwaysReady, func(x *Exchange) error {
				if err := x.ReadBody(); err != nil {
					return err
				}
				t.Error("ReadBody succeeded, want an error")
				return nil
			})
			answer := send(t, s, tt.data)
			for _, status := range tt.statuses {
				if status == "" && answer == "" || status != "" && strings.HasPrefix(answer, "HTTP/1.1 "+status) {
					return
				}
			}
			t.Errorf("got answer %.200q, want another status", answer)
		})
	}
}

func TestWriteFailsWhenTheCallerStopsReading(t *testing.T) {
	ended := make(chan error, 1)
	s := startServer(t, ini.Caller{WriteStallTimeout: 300}, alwaysReady, func(x *Exchange) error {
		part := make([]byte, 1<<20)
		for {
			if err := x.Write(part); err != nil {
				ended <- err
				return err
			}
		}
	})
	conn, err := net.Dial("tcp", s.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_, _ = io.WriteString(conn, "GET /x HTTP/1.1\r\nHost: x\r\n\r\n")
	if err := <-ended; err == nil {
		t.Error("Write returned no error, want a timeout")
	}
}

func TestShutdownWaitsForStreams(t *testing.T) {
	resume := make(chan struct{})
	s := startServer(t, ini.Caller{}, alwaysReady, func(x *Exchange) error {
		if err := errors.Join(x.Write([]byte("first\n")), x.Flush()); err != nil {
			return err
		}
		<-resume
		return x.Write([]byte("last\n"))
	})
	resp, err := http.Get("http://" + s.Address() + "/x")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	reader := bufio.NewReader(resp.Body)
	if line, err := reader.ReadString('\n'); line != "first\n" {
		t.Fatalf("got %q, %v", line, err)
	}
	done := make(chan error, 1)
	go func() { done <- s.Shutdown(context.Background()) }()
	for !s.draining.Load() {
		// Waits until Shutdown has started.
		_ = clock.System().Sleep(t.Context(), 1)
	}
	select {
	case err := <-done:
		t.Fatalf("Shutdown returned %v while a stream was open", err)
	default:
	}
	close(resume)
	if rest, err := io.ReadAll(reader); string(rest) != "last\n" {
		t.Errorf("got the rest of the stream %q, error %v; want the last line", rest, err)
	}
	if err := <-done; err != nil {
		t.Error(err)
	}
}

func TestUnmatchedHandlerGetsAllMethods(t *testing.T) {
	s := startServer(t, ini.Caller{}, alwaysReady, func(x *Exchange) error { return x.Write([]byte(x.HTTP.Method)) })
	for _, method := range []string{http.MethodPut, http.MethodPatch, http.MethodDelete, http.MethodOptions} {
		req, _ := http.NewRequestWithContext(t.Context(), method, "http://"+s.Address()+"/any/path", http.NoBody)
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		body, _ := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if string(body) != method {
			t.Errorf("%s: got status %d, body %q; want the method as body", method, resp.StatusCode, body)
		}
	}
}
