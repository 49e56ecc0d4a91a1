package claim

import (
	"context"
	"crypto/rand"
	"fmt"
	"testing"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/coord/table"
)

// BenchmarkRowSize reports the size of a claim's row for several answer sizes.
func BenchmarkRowSize(b *testing.B) {
	record := Record{
		State: Claimed, Nonce: rand.Text(), Owner: "vm-117", Incarnation: "vm-117.81f2c0a9b3d4", Digest: [32]byte{1}, Epoch: 4711,
	}
	for _, size := range []int{0, 300, 4000} {
		b.Run(fmt.Sprint("answer=", size), func(b *testing.B) {
			record.Answer = make([]byte, size)
			bytes := 0
			for b.Loop() {
				bytes = len(RowKey("Claim/", "halvorsen", "honorarium-2026-0118")) + len(encode(record))
			}
			b.ReportMetric(float64(bytes), "bytes/row")
		})
	}
}

// BenchmarkClaimAndFinish reports the cost of claiming and finishing a key in
// one store, and the number of transactions per key under concurrent load.
func BenchmarkClaimAndFinish(b *testing.B) {
	memory := table.NewMemory()
	store := New(Config{
		Table: memory.Client(), Clock: clock.System(), Prefix: "Claim/", EpochKey: "ClaimEpoch", Owner: "a", Incarnation: "a.1",
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go store.Run(ctx)
	b.ReportAllocs()
	b.SetParallelism(16)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			result, err := store.Claim(ctx, "team", rand.Text(), [32]byte{1})
			if err != nil {
				b.Error(err)
				return
			}
			store.Finish(result.Claim, make([]byte, 300))
		}
	})
	_ = store.Flush(ctx)
	commits, _ := memory.Counts()
	b.ReportMetric(float64(commits)/float64(b.N), "transactions/op")
}
