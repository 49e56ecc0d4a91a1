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
	for _, p := range f.contacts() {
		group.Go(func() { p.collectUsage(ctx, first) })
	}
	group.Wait()
}

func (p *peer) collectUsage(ctx context.Context, first int64) {
	f := p.fleet
	answer, err := link.Call[usageRequest, usageAnswer](ctx, f.config.Link, link.Peer{Address: p.address}, message.FleetUsage, usageRequest{First: first})
	for _, sheet := range answer.Sheets {
		err = errors.Join(err, f.config.Tally.MergeSnapshot(sheet))
	}
	if err != nil {
		eventFetchFailed.Log(f.config.Logger, logrus.Fields{"Address": p.address, "What": "usage", "Error": err.Error()})
	}
}
