package batch

import (
	"runtime"
	"testing"
)

// BenchmarkUnsavedBatch reports the memory that an unsaved batch of 1,800 bytes
// takes at its owner and at one peer.
func BenchmarkUnsavedBatch(b *testing.B) {
	const count, payload = 4000, 1800
	for b.Loop() {
		var before, between, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		outbox := NewOutbox("region/a.1")
		for range count {
			outbox.Add(make([]byte, payload))
		}
		runtime.GC()
		runtime.ReadMemStats(&between)
		copies := &ownerCopies{payloads: make(map[uint64][]byte)}
		for sequence := range uint64(count) {
			copies.payloads[sequence] = make([]byte, payload)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(between.HeapAlloc-before.HeapAlloc)/count, "owner-bytes/batch")
		b.ReportMetric(float64(after.HeapAlloc-between.HeapAlloc)/count, "copy-bytes/batch")
		runtime.KeepAlive(outbox)
		runtime.KeepAlive(copies)
	}
}
