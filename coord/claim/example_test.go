package claim_test

import (
	"context"
	"fmt"

	"github.com/banyanshift/banyanshift/coord/claim"
	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/coord/table"
)

func Example() {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	store := claim.New(claim.Config{
		Table:       table.NewMemory().Client(),
		Clock:       clock.System(),
		Prefix:      "Claim/",
		EpochKey:    "ClaimEpoch",
		Owner:       "vm-3",
		Incarnation: "vm-3.81f2",
	})
	go store.Run(ctx)

	digest := [32]byte{1}
	first, _ := store.Claim(ctx, "halvorsen", "honorarium-118", digest)
	fmt.Println(first.Outcome)
	store.Finish(first.Claim, []byte("paid"))
	_ = store.Flush(ctx)

	second, _ := store.Claim(ctx, "halvorsen", "honorarium-118", digest)
	fmt.Println(second.Outcome, second.Record.State, string(second.Record.Answer))
	// Output:
	// Won
	// Existing Completed paid
}
