package entry

import (
	"bufio"
	"context"
	"crypto/tls"
	"crypto/x509"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/banyanshift/banyanshift/internal/settings/ini"
)

// TestRequestThatHasBegunIsAnsweredInAShutdown guards against a kept connection that is closed as
// idle while a request is arriving on it, and against an answer that does not announce the end.
func TestRequestThatHasBegunIsAnsweredInAShutdown(t *testing.T) {
	certified := httptest.NewTLSServer(nil)
	defer certified.Close()
	roots := x509.NewCertPool()
	roots.AddCert(certified.Certificate())
	serverTLS := &tls.Config{Certificates: certified.TLS.Certificates, MinVersion: tls.VersionTLS12}
	for name, settings := range map[string]struct {
		caller ini.Caller
		tls    *tls.Config
	}{
		"plain":                    {},
		"limited connections":      {caller: ini.Caller{MaxConnections: 2}},
		"TLS":                      {tls: serverTLS},
		"TLS, limited connections": {caller: ini.Caller{MaxConnections: 2}, tls: serverTLS},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := startTLSServer(t, settings.caller, settings.tls, alwaysReady, func(x *Exchange) error { return x.Write([]byte("ok")) })
			conn, err := net.Dial("tcp", s.Address())
			if err != nil {
				t.Fatal(err)
			}
			if settings.tls != nil {
				conn = tls.Client(conn, &tls.Config{RootCAs: roots, ServerName: "example.com"})
			}
			defer func() { _ = conn.Close() }()
			_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
			reader := bufio.NewReader(conn)
			_, _ = io.WriteString(conn, "GET /x HTTP/1.1\r\nHost: x\r\n\r\n")
			if first := readAnswer(t, reader); first.Close {
				t.Error("the first answer announces the end of the connection")
			}
			_, _ = io.WriteString(conn, "GET /x HTTP/1.1\r\nHo")
			time.Sleep(50 * time.Millisecond)
			done := make(chan error, 1)
			go func() { done <- s.Shutdown(context.Background()) }()
			time.Sleep(50 * time.Millisecond)
			_, _ = io.WriteString(conn, "st: x\r\n\r\n")
			if second := readAnswer(t, reader); !second.Close {
				t.Error("the answer of a server that shuts down does not announce the end of the connection")
			}
			if err := <-done; err != nil {
				t.Error(err)
			}
		})
	}
}

func readAnswer(t *testing.T, reader *bufio.Reader) *http.Response {
	t.Helper()
	answer, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}
	defer func() { _ = answer.Body.Close() }()
	if body, err := io.ReadAll(answer.Body); err != nil || string(body) != "ok" {
		t.Errorf("got body %q, error %v", body, err)
	}
	return answer
}
