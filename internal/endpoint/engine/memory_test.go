package engine

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/banyanshift/banyanshift/internal/config/entity"
	"github.com/banyanshift/banyanshift/internal/decide/memory"
	"github.com/banyanshift/banyanshift/internal/endpoint/transport"
)

// TestReportsAreCounted guards against reports of engines in trouble that are read whole, however many
// engines there are.
func TestReportsAreCounted(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(`{"Running":1,"Note":"` + strings.Repeat("x", 300<<10) + `"}`))
	}))
	defer server.Close()
	endpoint := entity.Endpoint{ID: "e1", Address: server.Listener.Addr().String()}
	for _, test := range []struct {
		limit int64
		fits  bool
	}{{16 << 20, true}, {256 << 10, false}} {
		budget := memory.New(test.limit)
		report, err := New(transport.New(transport.Config{Memory: budget})).Load(t.Context(), endpoint)
		if (err == nil) != test.fits || test.fits && report.Running != 1 {
			t.Errorf("budget of %d bytes: got %+v, %v", test.limit, report, err)
		}
		if held := budget.State().Held; held != 0 {
			t.Errorf("%d bytes are counted after the report", held)
		}
	}
}
