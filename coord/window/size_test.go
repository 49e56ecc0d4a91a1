package window

import (
	"fmt"
	"testing"

	"github.com/banyanshift/banyanshift/coord/batch"
	"github.com/banyanshift/banyanshift/coord/table"
)

// BenchmarkClose reports the size of the encoded State and the time to plan a
// window, for a region of 93 daemons that replaces 325 daemons a day and whose
// daemons each write 20 batches a minute.
func BenchmarkClose(b *testing.B) {
	state := State{Number: 100000, Counted: map[string]CountedSequences{}}
	for i := range 93 + 325 {
		state.Counted[fmt.Sprintf("sask-central/vm-%03d.81f2c0a9b3d4", i)] = CountedSequences{Through: 28800, Window: 99999}
	}
	var rows []table.Row
	for i := range 93 {
		for sequence := range uint64(20) {
			made := batch.Batch{Incarnation: fmt.Sprintf("sask-central/vm-%03d.81f2c0a9b3d4", i), Sequence: 28801 + sequence}
			rows = append(rows, table.Row{Key: made.RowKey("Usage/Batch/"), Value: []byte("payload"), Version: 1})
		}
	}
	size := 0
	b.ReportAllocs()
	for b.Loop() {
		p := state.planClose(rows, "Usage/Batch/", 1, 1440)
		if len(p.payloads) != 93*20 {
			b.Fatalf("got %d payloads, want 1860", len(p.payloads))
		}
		encoded, err := encodeState(p.next)
		if err != nil {
			b.Fatal(err)
		}
		size = len(encoded)
	}
	b.ReportMetric(float64(size), "bytes")
	b.ReportMetric(float64(len(rows)), "rows")
}
