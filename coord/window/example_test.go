package window_test

import (
	"context"
	"fmt"

	"github.com/banyanshift/banyanshift/coord/batch"
	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/coord/table"
	"github.com/banyanshift/banyanshift/coord/window"
)

func Example() {
	ctx := context.Background()
	client := table.NewMemory().Client()
	made := batch.Batch{Incarnation: "sask-central/vm-3.81f2", Sequence: 1, Payload: []byte("41 tokens")}
	_ = batch.Save(ctx, client, "Usage/Batch/", []batch.Batch{made})

	sealer := window.New(window.Config{
		Table: client, Clock: clock.System(), Scope: "sask-central",
		BatchPrefix: "Usage/Batch/", WindowPrefix: "Usage/Window/", StatePrefix: "Usage/Sealed/", ReportedPrefix: "Usage/Reported/",
		Lease: func() (uint64, clock.Millis, bool) { return 1, 0, true },
		LeaseCondition: func(context.Context, uint64) (table.Condition, error) {
			return table.Condition{Key: "Lease/sask-central"}, nil
		},
		Fold: func(_ window.Header, payloads [][]byte) ([]byte, error) { return payloads[0], nil },
		Report: func(_ context.Context, _ uint64, sealed window.Sealed) error {
			fmt.Println("window", sealed.Number, string(sealed.Value))
			return nil
		},
		Interval: clock.Minute, MaxBatches: 1000, IncarnationRetention: 1440, CallTimeout: clock.Second,
	})
	sealer.CloseAll(ctx)
	sealer.ReportAll(ctx)
	sealer.ReportAll(ctx) // reports nothing: the window is already reported
	// Output: window 1 41 tokens
}
