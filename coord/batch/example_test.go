package batch_test

import (
	"context"
	"fmt"

	"github.com/banyanshift/banyanshift/coord/batch"
	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/coord/table"
)

// The owner dies after it has copied a batch to a peer, and the peer writes it.
func Example() {
	ctx := context.Background()
	client := table.NewMemory().Client()
	manual := clock.NewManual(0)
	copies := batch.NewCopyStore(batch.CopyStoreConfig{
		Table: client, Clock: manual.Clock(), Prefix: "Usage/Batch/",
		Alive:       func(string) bool { return false },
		GracePeriod: 10 * clock.Second, SilenceTimeout: clock.Minute, MaxBytes: 1 << 20, MaxBatchesPerSave: 100, CallTimeout: clock.Second,
	})
	owner := batch.NewOwner(batch.OwnerConfig{
		Table: client, Clock: manual.Clock(), Prefix: "Usage/Batch/", Incarnation: "sask-central/vm-3.81f2",
		NextPayload:    func() ([]byte, bool) { return []byte("41 tokens"), true },
		Peers:          func() []string { return []string{"vm-5"} },
		Copy:           func(_ context.Context, _ string, request batch.CopyRequest) error { return copies.Put(request) },
		PeerLost:       func(string) bool { return false },
		MinCutInterval: 250, BytesPerSecond: 1500, SaveInterval: 10 * clock.Second, MaxBatchesPerSave: 100,
		MaxBytes: 1 << 20, CallTimeout: clock.Second, CopyTimeout: clock.Second,
	})
	owner.CutAndCopy(ctx) // the owner dies before it saves the batch

	manual.Advance(10 * clock.Second)
	copies.SaveOrphans(ctx)
	rows, _ := client.Scan(ctx, "Usage/Batch/", "", 10)
	fmt.Println(rows[0].Key, string(rows[0].Value))
	// Output: Usage/Batch/sask-central/vm-3.81f2/00000000000000000001 41 tokens
}
