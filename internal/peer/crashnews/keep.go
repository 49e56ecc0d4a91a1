package crashnews

import (
	"context"

	"github.com/samber/oops"
	"github.com/sirupsen/logrus"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/coord/packed"
	"github.com/banyanshift/banyanshift/coord/table"
)

const (
	// keptRow is the row of the table that holds the evidence against the digests in
	// quarantine, so that it outlives the end of all daemons.
	keptRow = "Crashes/Known"
	// loadDelay is the time after the start at which the first maxLoaders daemons of the
	// fleet read the row for all, unless they read it at once. By then, they know their
	// place.
	loadDelay  = 600 * clock.Millisecond
	maxLoaders = 3
	// keepInterval is the time between two checks whether to write the row, and
	// rewriteInterval after how long it is written again, since the table may come back
	// from a copy without it.
	keepInterval    = 500 * clock.Millisecond
	rewriteInterval = 20 * clock.Second
	// retryInterval is the time after a call to the table that failed.
	retryInterval = 2 * clock.Second
	tableTimeout  = clock.Second
)

// keptCrashes is the value of the row. Written is the time of day at which the ages of the
// crashes count.
type keptCrashes struct {
	Written clock.Millis
	News    news
}

// keeper keeps the row while this daemon is the first one of the fleet.
type keeper struct {
	exchange *Exchange
	loaded   bool
	// stale is set if the row that was read may hold what has ended since.
	stale bool
	// written is the fingerprint of the row's evidence, and writtenAt when it was written.
	written   uint64
	writtenAt clock.Millis
}

// Run keeps the evidence in the table until ctx ends.
func (e *Exchange) Run(ctx context.Context) error {
	k := &keeper{exchange: e}
	return k.loop(ctx)
}

func (k *keeper) loop(ctx context.Context) error {
	clk := k.exchange.config.Clock
	delay := loadDelay
	if k.exchange.config.ReadsAtStart {
		delay = 0
	}
	for {
		if err := clk.Sleep(ctx, delay); err != nil {
			return err
		}
		delay = keepInterval
		if err := k.step(ctx); err != nil && ctx.Err() == nil {
			eventKeepFailed.Log(k.exchange.config.Logger, logrus.Fields{"Error": err.Error()})
			delay = retryInterval
		}
	}
}

// step reads the row once, and writes it when it is due.
func (k *keeper) step(ctx context.Context) (err error) {
	defer func() { err = oops.Wrapf(err, "keep the crashes in the table") }()
	e := k.exchange
	rank := e.config.Rank()
	mayLoad := e.config.ReadsAtStart || rank < maxLoaders
	if !mayLoad || k.loaded && rank > 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, tableTimeout.Duration())
	defer cancel()
	if !k.loaded {
		if err := k.load(ctx); err != nil {
			return err
		}
		k.loaded = true
	}
	if rank > 0 {
		return nil
	}
	return k.write(ctx)
}

// load reads the row and tells the other daemons.
func (k *keeper) load(ctx context.Context) error {
	e := k.exchange
	row, err := e.config.Table.Get(ctx, keptRow)
	if err != nil || len(row.Value) == 0 {
		return err
	}
	k.stale = true
	kept := e.decodeKept(row.Value)
	eventLoaded.Log(e.config.Logger, logrus.Fields{"Crashes": len(kept.News.Crashes)})
	since := max(e.config.Wall()-kept.Written, 0)
	for n := range kept.News.Crashes {
		kept.News.Crashes[n].Age += since
	}
	e.learnNews(kept.News)
	return nil
}

// decodeKept decodes the row. One that cannot be read holds nothing, and will be replaced.
func (e *Exchange) decodeKept(value []byte) keptCrashes {
	var kept keptCrashes
	err := packed.Unmarshal(value, &kept)
	if err == nil {
		return kept
	}
	eventKeepFailed.Log(e.config.Logger, logrus.Fields{"Error": "the row cannot be read: " + err.Error()})
	return keptCrashes{}
}

// write writes the row if its evidence has changed, is old or was written by others.
func (k *keeper) write(ctx context.Context) error {
	e := k.exchange
	now := e.config.Clock.Now()
	held := e.evidence()
	isOld := held.fingerprint != 0 && now-k.writtenAt >= rewriteInterval
	if held.fingerprint == k.written && !isOld && !k.stale {
		return nil
	}
	value, err := msgpack.Marshal(keptCrashes{Written: e.config.Wall(), News: held.news})
	if err != nil {
		return err
	}
	if err := e.config.Table.Commit(ctx, table.Txn{Writes: []table.Write{{Key: keptRow, Value: value}}}); err != nil {
		return err
	}
	k.written, k.writtenAt, k.stale = held.fingerprint, now, false
	return nil
}

// heldEvidence is the evidence against the digests in quarantine. Its fingerprint is 0 if
// there is none.
type heldEvidence struct {
	news        news
	fingerprint uint64
}

func (e *Exchange) evidence() (held heldEvidence) {
	now := e.config.Clock.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, c := range e.book.StopEvidence(now) {
		held.news.Crashes = append(held.news.Crashes, newCrash(now, c))
	}
	if len(held.news.Crashes) > 0 {
		held.fingerprint = e.book.Fingerprint(now)
	}
	return held
}
