package fleet

import (
	"context"
	"time"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/peer/fanout"
	"github.com/banyanshift/banyanshift/internal/peer/link"
	"github.com/banyanshift/banyanshift/internal/peer/message"
)

const (
	// reportInterval is the time between two reports of a daemon that no other one
	// follows.
	reportInterval = 100 * clock.Millisecond
	// minRelayInterval is the least time between two messages of a daemon that
	// passes on the reports of others. relayIntervalPerSubscriber limits the number
	// of its messages to subscribers.
	minRelayInterval           = 25 * clock.Millisecond
	relayIntervalPerSubscriber = 2500 * time.Microsecond
)

// relayInterval returns the time between two messages of a daemon with a number of
// subscribers. It never exceeds the interval of other daemons.
func relayInterval(subscribers int) clock.Millis {
	interval := clock.Millis((time.Duration(subscribers) * relayIntervalPerSubscriber).Milliseconds())
	return min(max(interval, minRelayInterval), reportInterval)
}

// reportLoop sends reports through the tree.
func (f *Fleet) reportLoop(ctx context.Context) error {
	for {
		if err := f.config.Clock.Sleep(ctx, f.reportDelay()); err != nil {
			return err
		}
		f.sendReports()
	}
}

func (f *Fleet) reportDelay() clock.Millis {
	f.mu.Lock()
	defer f.mu.Unlock()
	subscribers := len(f.view.Subscribers())
	if subscribers == 0 && !f.view.IsRoot(f.config.Clock.Now()) {
		return reportInterval
	}
	return relayInterval(subscribers)
}

// sendReports sends what happened here and what arrived from others since the last
// call.
func (f *Fleet) sendReports() {
	now := f.config.Clock.Now()
	f.resendAfterTakeover(now)
	own := f.config.Scheduler.takeReport()
	own.Usage = newTeamCounts(f.config.Tally.TakeChanged())
	own.Seals = f.config.Tally.TakeNewSeals()
	f.mu.Lock()
	own.Leaving, f.newLeaving = f.newLeaving, nil
	own.Terms = f.permits.TakeNews(now)
	if !own.empty() {
		f.exchange.Add(own)
	}
	up, down := f.exchange.Take(fanout.Up), f.exchange.Take(fanout.Down)
	var across []fanout.Item[report]
	if !f.view.AwaitsRemoteRoots(now) {
		across = f.exchange.Take(fanout.Across)
	}
	roots, subscribers := f.view.RemoteRoots(now), f.view.Subscribers()
	var upstreams []string
	if upstream, found := f.view.Upstream(now); found {
		upstreams = []string{upstream}
	}
	f.mu.Unlock()
	f.sendItems(upstreams, fanout.Up, up)
	f.sendItems(roots, fanout.Across, across)
	f.sendItems(subscribers, fanout.Down, withoutUsage(down))
}

// resendAfterTakeover reports again what may not have been passed on, if another
// daemon has taken the place of the upstream, or the upstream follows another one.
func (f *Fleet) resendAfterTakeover(now clock.Millis) {
	f.mu.Lock()
	path := f.view.Path(now)
	changed := path != f.path
	f.path = path
	f.mu.Unlock()
	if changed {
		f.config.Scheduler.repeatRecentEnds()
		f.config.Tally.MarkAllChanged()
	}
}

func (f *Fleet) sendItems(addresses []string, direction fanout.Direction, items []fanout.Item[report]) {
	if len(items) > 0 {
		f.send(addresses, message.FleetReports, newReports(direction, items))
	}
}

// send queues a message to several daemons. A message that is lost is made up for by
// the next ping or by the expiry of jobs.
func (f *Fleet) send(addresses []string, t message.Type, body any) {
	receivers := make([]link.Peer, 0, len(addresses))
	for _, address := range addresses {
		receivers = append(receivers, link.Peer{Address: address})
	}
	if err := link.Broadcast(f.config.Link, receivers, t, body); err != nil {
		f.config.Logger.WithError(err).Debug("message could not be queued for every peer")
	}
}

// withoutUsage returns the items without usage and seals, which subscribers do not need.
func withoutUsage(items []fanout.Item[report]) (rest []fanout.Item[report]) {
	for _, item := range items {
		item.Report.Usage, item.Report.Seals = nil, nil
		if !item.Report.empty() {
			rest = append(rest, item)
		}
	}
	return rest
}

// serveReports applies the reports of others and queues them to be passed on.
func (f *Fleet) serveReports(_ context.Context, _ string, r reports) (struct{}, error) {
	f.mu.Lock()
	fresh := f.exchange.Receive(r.Direction, r.items())
	f.mu.Unlock()
	for _, item := range fresh {
		f.config.Scheduler.applyReport(item.Report)
		f.config.Tally.Merge(countsOf(item.Source, item.Report.Usage))
		f.config.Tally.MergeSeals(item.Report.Seals)
		f.applyLeaving(item.Report.Leaving)
		f.permits.ApplyNews(item.Report.Terms)
	}
	return struct{}{}, nil
}

// Flush sends the pending report and waits until it has probably been written.
func (f *Fleet) Flush() {
	f.sendReports()
	const flushTime = 50 * clock.Millisecond
	_ = f.config.Clock.Sleep(context.Background(), flushTime)
}
