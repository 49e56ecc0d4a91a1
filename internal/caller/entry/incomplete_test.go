package entry

import (
	"bufio"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/caller/request"
	"github.com/banyanshift/banyanshift/internal/settings/ini"
)

const firstLine = "first\n"

// rawCaller is a caller that can close its sending side and read on.
type rawCaller struct {
	conn   *net.TCPConn
	reader *bufio.Reader
}

func dial(t *testing.T, s *Server) *rawCaller {
	t.Helper()
	conn, err := net.Dial("tcp", s.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	return &rawCaller{conn: conn.(*net.TCPConn), reader: bufio.NewReader(conn)}
}

func (c *rawCaller) send(t *testing.T, data string) {
	t.Helper()
	if _, err := io.WriteString(c.conn, data); err != nil {
		t.Fatal(err)
	}
}

// receive reads an answer to its end.
func (c *rawCaller) receive() (status int, body string, err error) {
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data), err
}

const getRequest = "GET /x HTTP/1.1\r\nHost: x\r\n\r\n"

// writeFirstLine sends the start of an answer to the caller.
func writeFirstLine(x *Exchange) error {
	return errors.Join(x.Write([]byte(firstLine)), x.Flush())
}

func TestStreamOfAHalfClosedCallerDoesNotEndAsComplete(t *testing.T) {
	s := startServer(t, ini.Caller{}, alwaysReady, func(x *Exchange) error {
		if err := writeFirstLine(x); err != nil {
			return err
		}
		<-x.Context.Done()
		return x.Context.Err()
	})
	caller := dial(t, s)
	caller.send(t, getRequest)
	_ = caller.conn.CloseWrite()
	if status, body, err := caller.receive(); err == nil {
		t.Errorf("got status %d and the complete body %q, want a stream that breaks off", status, body)
	}
}

func TestHalfClosedCallerGetsNoEmptySuccess(t *testing.T) {
	s := startServer(t, ini.Caller{}, alwaysReady, func(x *Exchange) error {
		<-x.Context.Done()
		return x.Context.Err()
	})
	caller := dial(t, s)
	caller.send(t, getRequest)
	_ = caller.conn.CloseWrite()
	if status, body, err := caller.receive(); err == nil {
		t.Errorf("got status %d and body %q, want a connection that ends without an answer", status, body)
	}
}

func TestAnswerThatFailsMidwayDoesNotEndAsComplete(t *testing.T) {
	tests := []struct {
		name string
		err  error
	}{
		{"refusal", &request.Refusal{Status: http.StatusBadGateway, Code: request.CodeEndpointFailed, Run: request.RunUnknown}},
		{"other error", errors.New("something failed")},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := startServer(t, ini.Caller{}, alwaysReady, func(x *Exchange) error {
				return errors.Join(writeFirstLine(x), tt.err)
			})
			caller := dial(t, s)
			caller.send(t, getRequest)
			status, body, err := caller.receive()
			if status != http.StatusOK || body != firstLine || err == nil {
				t.Errorf("got status %d, body %q, error %v; want the first line, then a broken connection", status, body, err)
			}
		})
	}
}

func TestAnswerMayTakeLongerThanTheReadTimeout(t *testing.T) {
	const readTimeout = 300 * clock.Millisecond
	requests := map[string]string{
		"no body": getRequest,
		"body":    "POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbody",
	}
	for name, data := range requests {
		t.Run(name, func(t *testing.T) {
			s := startServer(t, ini.Caller{ReadTimeout: readTimeout}, alwaysReady, func(x *Exchange) error {
				if err := x.ReadBody(); err != nil {
					return err
				}
				if err := writeFirstLine(x); err != nil {
					return err
				}
				_ = clock.System().Sleep(x.Context, 3*readTimeout)
				return errors.Join(x.Context.Err(), x.Write([]byte("last\n")))
			})
			caller := dial(t, s)
			caller.send(t, data)
			if status, body, err := caller.receive(); status != http.StatusOK || body != firstLine+"last\n" || err != nil {
				t.Errorf("got status %d, body %q, error %v; want both lines", status, body, err)
			}
		})
	}
}

func TestKeptConnectionServesAfterTheWriteTimeoutOfItsLastAnswer(t *testing.T) {
	const writeTimeout = 200 * clock.Millisecond
	requests := map[string]string{
		"answer without a body":  "DELETE /x HTTP/1.1\r\nHost: x\r\n\r\n",
		"expects a continuation": "PUT /x HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n",
	}
	for name, data := range requests {
		t.Run(name, func(t *testing.T) {
			s := startServer(t, ini.Caller{WriteStallTimeout: writeTimeout}, alwaysReady, func(x *Exchange) error {
				if err := x.ReadBody(); err != nil {
					return err
				}
				if x.HTTP.Method == http.MethodGet {
					return x.Write([]byte(firstLine))
				}
				x.SendHeader(http.StatusNoContent)
				return nil
			})
			caller := dial(t, s)
			caller.send(t, getRequest)
			if status, _, err := caller.receive(); status != http.StatusOK || err != nil {
				t.Fatalf("first request: got status %d, error %v", status, err)
			}
			time.Sleep((3 * writeTimeout).Duration())
			caller.send(t, data)
			status, _, err := caller.receive()
			if status == http.StatusContinue {
				caller.send(t, "body")
				status, _, err = caller.receive()
			}
			if status != http.StatusNoContent || err != nil {
				t.Errorf("got status %d, error %v; want 204", status, err)
			}
		})
	}
}

func TestLongAnswerReachesACallerThatReadsSlowly(t *testing.T) {
	const writeTimeout = clock.Second
	answer := make([]byte, 16<<20)
	s := startServer(t, ini.Caller{WriteStallTimeout: writeTimeout}, alwaysReady, func(x *Exchange) error {
		return x.Write(answer)
	})
	caller := dial(t, s)
	_ = caller.conn.SetReadBuffer(64 << 10)
	caller.send(t, getRequest)
	resp, err := http.ReadResponse(caller.reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	received := 0
	part := make([]byte, 256<<10)
	for {
		n, err := io.ReadFull(resp.Body, part)
		received += n
		if err != nil {
			break
		}
		time.Sleep(40 * time.Millisecond)
	}
	if received != len(answer) {
		t.Errorf("got %d of %d bytes", received, len(answer))
	}
}

func TestCutAnswerDoesNotLookCompleteToAnHTTP10Caller(t *testing.T) {
	const writeTimeout = 300 * clock.Millisecond
	answer := make([]byte, 32<<20)
	ended := make(chan error, 1)
	s := startServer(t, ini.Caller{WriteStallTimeout: writeTimeout}, alwaysReady, func(x *Exchange) error {
		err := x.SendAnswer(http.StatusOK, answer)
		ended <- err
		return err
	})
	caller := dial(t, s)
	caller.send(t, "GET /x HTTP/1.0\r\n\r\n")
	if err := <-ended; err == nil {
		t.Fatal("SendAnswer returned no error, want a timeout")
	}
	if status, body, err := caller.receive(); err == nil {
		t.Errorf("got status %d and %d of %d bytes as a complete answer", status, len(body), len(answer))
	}
}

func TestFailedStreamDoesNotLookCompleteToAnHTTP10Caller(t *testing.T) {
	s := startServer(t, ini.Caller{MaxConnections: 2}, alwaysReady, func(x *Exchange) error {
		return errors.Join(writeFirstLine(x), errors.New("something failed"))
	})
	for range 3 {
		caller := dial(t, s)
		caller.send(t, "GET /x HTTP/1.0\r\n\r\n")
		if status, body, err := caller.receive(); status != http.StatusOK || err == nil {
			t.Errorf("got status %d, body %q, error %v; want 200 and a broken connection", status, body, err)
		}
	}
}

func TestFailedStreamOverTLSDoesNotLookCompleteToAnHTTP10Caller(t *testing.T) {
	certified := httptest.NewTLSServer(nil)
	defer certified.Close()
	serverConfig := &tls.Config{Certificates: certified.TLS.Certificates, MinVersion: tls.VersionTLS12}
	s := startTLSServer(t, ini.Caller{MaxConnections: 2}, serverConfig, alwaysReady, func(x *Exchange) error {
		return errors.Join(writeFirstLine(x), errors.New("something failed"))
	})
	roots := x509.NewCertPool()
	roots.AddCert(certified.Certificate())
	conn, err := tls.Dial("tcp", s.Address(), &tls.Config{RootCAs: roots, ServerName: "example.com"})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_, _ = io.WriteString(conn, "GET /x HTTP/1.0\r\n\r\n")
	if answer, err := io.ReadAll(conn); err == nil {
		t.Errorf("got the complete answer %q, want a broken connection", answer)
	}
}
