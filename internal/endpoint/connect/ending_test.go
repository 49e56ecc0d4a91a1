package connect_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/endpoint/connect"
	"github.com/banyanshift/banyanshift/internal/endpoint/http1"
)

func encodeReportCall(address string) []byte {
	return fmt.Appendf(nil, "GET /report HTTP/1.1\r\nHost: %s\r\n", address)
}

func decodeReport(status int, body []byte) (incarnation int64, known bool) {
	incarnation, err := strconv.ParseInt(string(body), 10, 64)
	return incarnation, status == http.StatusOK && err == nil
}

// stating returns a handler that answers the call for the report.
func stating(status int, text string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Unnamed", "1")
		w.WriteHeader(status)
		_, _ = io.WriteString(w, text)
	}
}

// aborts closes the connection without an answer.
func aborts(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// firstly returns a handler that answers the first request otherwise than the next ones.
func firstly(first, next http.HandlerFunc) http.HandlerFunc {
	var asked atomic.Int64
	return func(w http.ResponseWriter, r *http.Request) {
		if asked.Add(1) == 1 {
			first(w, r)
			return
		}
		next(w, r)
	}
}

// TestEndIsConfirmedByTheSameIncarnationOnly guards against an answer that counts as whole though
// its process has ended, since the next one accepts connections.
func TestEndIsConfirmedByTheSameIncarnationOnly(t *testing.T) {
	for name, test := range map[string]struct {
		report    http.HandlerFunc
		confirmed bool
	}{
		"Same":                   {stating(200, "7"), true},
		"Another":                {stating(200, "8"), false},
		"NotStated":              {stating(200, "{}"), true},
		"UnknownCall":            {stating(404, "8"), true},
		"Unavailable":            {stating(503, ""), false},
		"UnavailableAtFirst":     {firstly(stating(503, ""), stating(200, "7")), true},
		"UnavailableThenAnother": {firstly(stating(503, ""), stating(200, "8")), false},
		"AbortsAtFirst":          {firstly(aborts, stating(200, "7")), true},
		"AbortsThenAnother":      {firstly(aborts, stating(200, "8")), false},
		"Aborts":                 {aborts, false},
		"BreaksOff": {func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Unnamed", "1")
			w.Header().Set("Content-Length", "9")
			_, _ = io.WriteString(w, "7")
			aborts(w, r)
		}, false},
		"Silent": {func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := startDaemon(t, test.report)
			process := http1.Process{Key: "e", Address: strings.TrimPrefix(d.endpoint.URL, "http://"), Incarnation: 7}
			if err := d.connector.ConfirmEnd(t.Context(), process); (err == nil) != test.confirmed {
				t.Errorf("got error %v; want the end confirmed: %t", err, test.confirmed)
			}
			process.Incarnation = 0
			if err := d.connector.ConfirmEnd(t.Context(), process); err == nil && strings.HasPrefix(name, "Same") {
				t.Error("an incarnation that was not known before is confirmed")
			}
		})
	}
}

// TestEndOfAnUnreachableEndpointIsNotConfirmed guards against an answer that counts as whole at the
// end of its endpoint, since a peer still has a connection to it.
func TestEndOfAnUnreachableEndpointIsNotConfirmed(t *testing.T) {
	d := startDaemon(t, stating(200, "7"))
	process := http1.Process{Key: "e", Address: strings.TrimPrefix(d.endpoint.URL, "http://"), Incarnation: 7}
	if err := d.connector.ConfirmEnd(t.Context(), process); err != nil {
		t.Errorf("the end is not confirmed: %v", err)
	}
	d.resets.Store(true)
	if d.connector.ConfirmEnd(t.Context(), process) == nil {
		t.Error("an endpoint that refuses connections confirms the end")
	}
	d.resets.Store(false)
	d.silent.Store(true)
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	if d.connector.ConfirmEnd(ctx, process) == nil {
		t.Error("an endpoint that does not answer confirms the end")
	}
}

func TestEndpointBehindAProxyThatClosesConnectionsConfirmsNoEnd(t *testing.T) {
	connector := connect.New(connect.Config{
		Clock: clock.System(), Pool: newPool(nil), Rand: rand.New(rand.NewPCG(1, 1)), Report: connect.ReportCall{Encode: encodeReportCall, Decode: decodeReport},
	})
	proxy, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = proxy.Close() })
	go func() {
		for conn, err := proxy.Accept(); err == nil; conn, err = proxy.Accept() {
			time.Sleep(5 * time.Millisecond) // It dials the endpoint.
			_ = conn.Close()
		}
	}()
	if connector.ConfirmEnd(t.Context(), http1.Process{Key: "e", Address: proxy.Addr().String(), Incarnation: 7}) == nil {
		t.Error("an endpoint whose proxy closes connections confirms the end")
	}
}
