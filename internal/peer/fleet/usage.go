package fleet

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/banyanshift/banyanshift/internal/peer/link"
	"github.com/banyanshift/banyanshift/internal/peer/message"
)

// CollectUsage merges the usage counts of all contacted daemons, starting with the
// window first. The roots among them have the counts of their failure domains.
func (f *Fleet) CollectUsage(ctx context.Context, first int64) {
	const collectTimeout = 500 * time.Millisecond
	ctx, cancel := context.WithTimeout(ctx, collectTimeout)
	defer cancel()
	var group sync.WaitGroup
	for _, address := range f.contacts() {
		group.Go(func() { f.collectUsageOf(ctx, address, first) })
	}
	group.Wait()
}

func (f *Fleet) collectUsageOf(ctx context.Context, address string, first int64) {
	answer, err := link.Call[usageRequest, usageAnswer](ctx, f.config.Link, link.Peer{Address: address}, message.FleetUsage, usageRequest{First: first})
	f.config.Tally.MergeSeals(answer.Seals)
	for _, sheet := range answer.Sheets {
		err = errors.Join(err, f.config.Tally.MergeSnapshot(sheet))
	}
	if err != nil {
		eventFetchFailed.Log(f.config.Logger, logrus.Fields{"Address": address, "What": "usage", "Error": err.Error()})
	}
}
