package entry

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"io"
	"net"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/settings/ini"
)

// TestSilentTLSConnectionDoesNotHoldUpAShutdown guards against a shutdown that waits for the first
// request of a caller who has connected over TLS and sends none.
func TestSilentTLSConnectionDoesNotHoldUpAShutdown(t *testing.T) {
	t.Parallel()
	certified := httptest.NewTLSServer(nil)
	defer certified.Close()
	roots := x509.NewCertPool()
	roots.AddCert(certified.Certificate())
	serverTLS := &tls.Config{Certificates: certified.TLS.Certificates, MinVersion: tls.VersionTLS12}
	s := startTLSServer(t, ini.Caller{ReadTimeout: 20 * clock.Second}, serverTLS, alwaysReady, func(x *Exchange) error { return x.Write([]byte("ok")) })
	conn, err := net.Dial("tcp", s.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if err := tls.Client(conn, &tls.Config{RootCAs: roots, ServerName: "example.com"}).Handshake(); err != nil {
		t.Fatal(err)
	}
	started := time.Now()
	if err := s.Shutdown(context.Background()); err != nil {
		t.Error(err)
	}
	if took := time.Since(started); took > 10*time.Second {
		t.Errorf("the shutdown took %s", took)
	}
}

// TestFullServerThatShutsDownTakesNoConnections guards against callers that connect and are never
// served, because a server with as many connections as it may have goes on listening.
func TestFullServerThatShutsDownTakesNoConnections(t *testing.T) {
	t.Parallel()
	release := make(chan struct{})
	s := startTLSServer(t, ini.Caller{MaxConnections: 1}, nil, alwaysReady, func(x *Exchange) error {
		<-release
		return x.Write([]byte("ok"))
	})
	conn, err := net.Dial("tcp", s.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_, _ = io.WriteString(conn, "GET /x HTTP/1.1\r\nHost: x\r\n\r\n")
	time.Sleep(100 * time.Millisecond)
	done := make(chan error, 1)
	go func() { done <- s.Shutdown(context.Background()) }()
	refused := false
	for started := time.Now(); !refused && time.Since(started) < 5*time.Second; time.Sleep(50 * time.Millisecond) {
		late, err := net.Dial("tcp", s.Address())
		if refused = err != nil; !refused {
			_ = late.Close()
		}
	}
	if !refused {
		t.Error("the server still takes connections 5 s after the shutdown began")
	}
	close(release)
	if err := <-done; err != nil {
		t.Error(err)
	}
}
