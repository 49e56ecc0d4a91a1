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

// Limits for applying a large file. Each change takes one read of the store, so
// the transactions are spaced out to leave most of the store's read capacity to
// the fleet.
const (
	changesPerPart = 200
	partInterval   = 200 * clock.Millisecond
	retryDelay     = clock.Second
	maxAttempts    = 60
)

// applyParts applies the changes in several transactions, in the order of their
// dependencies.
func applyParts(ctx context.Context, opts *Options, c *client.Client, changes []*operatorv1.EntityChange) error {
	sortByDependency(changes)
	parts := slices.Collect(slices.Chunk(changes, changesPerPart))
	for i, part := range parts {
		requestID := fmt.Sprintf("%s.%d", opts.Change.EnsureRequestID(), i+1)
		if err := retryPart(ctx, opts, c, requestID, part); err != nil {
			return fmt.Errorf("part %d of %d: %w\nEarlier parts are in force. To continue, run the command again without --request-id", i+1, len(parts), err)
		}
		if err := opts.Clock.Sleep(ctx, partInterval); err != nil {
			return err
		}
	}
	return nil
}

// retryPart applies one part. It retries with the same request ID while the store
// is busy or down, or when the outcome is unknown.
func retryPart(ctx context.Context, opts *Options, c *client.Client, requestID string, part []*operatorv1.EntityChange) error {
	for attempt := 1; ; attempt++ {
		err := applyTransaction(ctx, opts, c, requestID, part)
		if errors.Is(err, exit.ErrPending) {
			return nil
		}
		if attempt == maxAttempts || !isRetryable(err) {
			return err
		}
		if err := opts.Clock.Sleep(ctx, retryDelay); err != nil {
			return err
		}
	}
}

func isRetryable(err error) bool {
	code := status.Code(err)
	return code == codes.Unavailable || code == codes.Unknown && exit.CodeOf(err) == exit.Unknown
}

// sortByDependency sorts changes so that no part breaks a reference. Writes come
// first, each entity after those that it refers to. Deletions follow, each entity
// before those that it refers to.
func sortByDependency(changes []*operatorv1.EntityChange) {
	slices.SortStableFunc(changes, func(a, b *operatorv1.EntityChange) int {
		return applyOrder(a) - applyOrder(b)
	})
}

func applyOrder(change *operatorv1.EntityChange) int {
	kind, _, _ := manifest.Unwrap(change.GetEntity())
	position := slices.Index(manifest.Kinds, kind)
	if change.GetDelete() {
		return 2*len(manifest.Kinds) - position
	}
	return position
}
