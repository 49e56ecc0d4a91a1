package metric_test

import (
	"encoding/json"
	"testing"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/observe/metric"
)

func TestHistogramsShowQuantilesByKey(t *testing.T) {
	h := metric.NewHistograms("Test.Durations", "Durations of a test.")
	for n := range 100 {
		h.Record("books", clock.Millis(n+1))
	}
	h.Record("books", clock.Hour)
	h.Record("desk", -5)
	var shown map[string]struct {
		Count    int64
		P50, Max int64
	}
	if err := json.Unmarshal([]byte(h.String()), &shown); err != nil {
		t.Fatal(err)
	}
	if b := shown["books"]; b.Count != 101 || b.P50 < 49 || b.P50 > 52 || b.Max < int64(clock.Minute)*99/100 {
		t.Errorf("got %+v, want 101 values with a median near 50 and a maximum near one minute", b)
	}
	if shown["desk"].Count != 1 {
		t.Errorf("got %+v, want one value for desk", shown)
	}
}
