package changelog_test

import (
	"context"
	"errors"
	"fmt"

	"github.com/banyanshift/banyanshift/coord/changelog"
	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/coord/table"
)

func Example() {
	ctx := context.Background()
	log := changelog.New(changelog.Config{
		Table:  table.NewMemory().Client(),
		Clock:  clock.System(),
		Prefix: "Config",
	})
	proposal := changelog.Proposal{
		Actor:     "ada",
		RequestID: "4b1c",
		Expected:  map[string]uint64{"Team/everest": 0},
		Writes:    []changelog.Write{{Entity: "Team/everest", Value: []byte("weight 1")}},
	}
	change, err := log.Append(ctx, proposal)
	fmt.Println(change.Sequence, err)

	// A retry after a lost answer returns the change of the first attempt.
	change, err = log.Append(ctx, proposal)
	fmt.Println(change.Sequence, err)

	// Another proposal is based on an old revision.
	proposal.RequestID = "77f0"
	_, err = log.Append(ctx, proposal)
	var conflict *changelog.ConflictError
	fmt.Println(errors.As(err, &conflict), conflict)
	// Output:
	// 1 <nil>
	// 1 <nil>
	// true Team/everest is at revision 1, expected 0
}
