package apply

import (
	"context"
	"errors"
	"fmt"
	"slices"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/cli/client"
	"github.com/banyanshift/banyanshift/internal/cli/exit"
	"github.com/banyanshift/banyanshift/internal/cli/manifest"
	operatorv1 "github.com/banyanshift/banyanshift/proto/operator/v1"
)

// The pace of a large file leaves most of the store's reads, of which each
// change takes one, to the fleet.
const (
	partSize     = 200
	partInterval = 200 * clock.Millisecond
	retryDelay   = clock.Second
	maxAttempts  = 60
)

// applyParts applies the changes in several transactions, what others refer to
// first.
func applyParts(ctx context.Context, opts *Options, c *client.Client, changes []*operatorv1.EntityChange) error {
	sortForParts(changes)
	parts := slices.Collect(slices.Chunk(changes, partSize))
	for i, part := range parts {
		requestID := fmt.Sprintf("%s.%d", opts.Change.EnsureRequestID(), i+1)
		if err := retryPart(ctx, opts, c, requestID, part); err != nil {
			return fmt.Errorf("part %d of %d: %w\nThe parts before it are in force. Run the command again, without --request-id, to go on", i+1, len(parts), err)
		}
		if err := opts.Clock.Sleep(ctx, partInterval); err != nil {
			return err
		}
	}
	return nil
}

// retryPart applies one part. It tries again, under the same request ID, while
// the store is busy or down or the outcome is not known.
func retryPart(ctx context.Context, opts *Options, c *client.Client, requestID string, part []*operatorv1.EntityChange) error {
	for attempt := 1; ; attempt++ {
		err := applyPart(ctx, opts, c, requestID, part)
		if errors.Is(err, exit.ErrPending) {
			return nil
		}
		if attempt == maxAttempts || !mayRetry(err) {
			return err
		}
		if err := opts.Clock.Sleep(ctx, retryDelay); err != nil {
			return err
		}
	}
}

func mayRetry(err error) bool {
	code := status.Code(err)
	return code == codes.Unavailable || code == codes.Unknown && exit.CodeOf(err) == exit.Unknown
}

// sortForParts orders changes so that each can be made after those before it:
// first what is written, an entity after those that it refers to; then what is
// deleted, an entity before those that it refers to.
func sortForParts(changes []*operatorv1.EntityChange) {
	slices.SortStableFunc(changes, func(a, b *operatorv1.EntityChange) int {
		return rank(a) - rank(b)
	})
}

func rank(change *operatorv1.EntityChange) int {
	kind, _, _ := manifest.Unwrap(change.GetEntity())
	position := slices.Index(manifest.Kinds, kind)
	if change.GetDelete() {
		return 2*len(manifest.Kinds) - position
	}
	return position
}
