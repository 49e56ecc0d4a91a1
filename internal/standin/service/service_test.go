package service

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/standin/host"
	"github.com/banyanshift/banyanshift/internal/standin/record"
)

func TestCallIsRecordedAndAnswered(t *testing.T) {
	tests := []struct {
		name  string
		fault host.Fault
		whole bool
		id    string
	}{
		{"plain", host.Fault{}, true, "r1"},
		{"crossed", host.Fault{Cross: 1}, false, "crossed"},
		{"truncated", host.Fault{Truncate: 1}, false, "r1"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			endpoint := New(Defaults(), host.Spec{Slots: 1}, clock.System())
			defer endpoint.Close()
			endpoint.SetFault(test.fault)
			server := httptest.NewServer(endpoint.Handler)
			defer server.Close()
			request, _ := http.NewRequest(http.MethodPost, server.URL+"/pay?nonce=n1&ms=1", strings.NewReader("body"))
			request.Header.Set("Request-Id", "r1")
			request.Header.Set("Idempotency-Key", "k1")
			response, err := http.DefaultClient.Do(request)
			if err != nil {
				t.Fatal(err)
			}
			defer response.Body.Close()
			data, err := io.ReadAll(response.Body)
			whole := err == nil && string(data) == Answer("POST", "/pay", "n1", []byte("body"))
			if whole != test.whole || response.Header.Get("Request-Id") != test.id {
				t.Errorf("got %q %v, id %s", data, err, response.Header.Get("Request-Id"))
			}
			var into record.Endpoint
			endpoint.FillRecord(&into)
			if len(into.Runs) != 1 || into.Runs[0].IdempotencyKey != "k1" || into.Runs[0].Nonce != "n1" {
				t.Errorf("recorded %+v, want one run with key k1 and nonce n1", into.Runs)
			}
		})
	}
}
