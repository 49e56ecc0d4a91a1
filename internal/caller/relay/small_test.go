package relay_test

import (
	"net/http"
	"strings"
	"testing"

	"github.com/sirupsen/logrus"
)

// BenchmarkSmallRequest measures a small request with a body and a small answer, together with its
// caller and its endpoint.
func BenchmarkSmallRequest(b *testing.B) {
	f := newFixture(b, ok)
	f.logger.SetLevel(logrus.PanicLevel)
	f.logger.ReplaceHooks(make(logrus.LevelHooks))
	body := strings.Repeat("b", 90)
	start := processorTime(b)
	b.ReportAllocs()
	for b.Loop() {
		if got := f.sendBody("/pay/1", body); got.status != http.StatusOK {
			b.Fatal(got)
		}
	}
	b.ReportMetric(float64(processorTime(b)-start)/float64(b.N), "cpu-ns/op")
}
