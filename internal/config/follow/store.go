package follow

import (
	"context"
	"errors"

	"github.com/samber/oops"
	"github.com/sirupsen/logrus"

	"github.com/banyanshift/banyanshift/coord/changelog"
	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/coord/member"
	"github.com/banyanshift/banyanshift/internal/config/state"
)

const (
	// relaysPerDomain is the number of relays in a failure domain.
	relaysPerDomain = 2
	// tailPageSize is the maximum number of changes that one read of the store
	// returns.
	tailPageSize = 500
	// nonRelayOneIn is the average number of intervals between two uses of the
	// store by a daemon that is not a relay: reads while it is stale, and
	// writes of withdrawals that other daemons accepted.
	nonRelayOneIn = 4
	// startRetryDelay is the delay between attempts to load the configuration.
	startRetryDelay = 300 * clock.Millisecond
	// loadTimeout limits the time to load or save a snapshot.
	loadTimeout = 20 * clock.Second
)

// relays returns the members that read the store for a failure domain.
func relays(view []member.Member, failureDomain string) []member.Member {
	return member.Pick(member.InDomain(view, failureDomain), "Config/Relay/"+failureDomain, relaysPerDomain)
}

func (f *Follower) isRelay() bool {
	chosen := relays(f.config.View(), f.config.FailureDomain)
	for _, relay := range chosen {
		if relay.ID == f.config.ID {
			return true
		}
	}
	return len(chosen) == 0
}

// loopPoll reads the store at each interval while this daemon is a relay, and
// at random intervals while its state may be stale. The time of a read counts towards the
// interval, so that one that hung is followed by another at once.
func (f *Follower) loopPoll(ctx context.Context) error {
	reachable, took := true, clock.Millis(0)
	for {
		if err := f.wait(ctx, f.jitter(f.config.Timing.PollInterval)-took, nil); err != nil {
			return err
		}
		took = 0
		if !f.shouldPoll() {
			continue
		}
		began := f.clock.Now()
		err := f.poll(ctx)
		took = f.clock.Now() - began
		if (err == nil) != reachable {
			reachable = err == nil
			f.logReachable(err)
		}
	}
}

func (f *Follower) logReachable(err error) {
	if err != nil {
		eventStoreLost.Log(f.config.Logger, logrus.Fields{"Error": err.Error()})
		return
	}
	eventStoreBack.Log(f.config.Logger, logrus.Fields{"Sequence": f.state.Sequence()})
}

func (f *Follower) shouldPoll() bool {
	if f.isRelay() {
		return true
	}
	age, known := f.Age()
	if known && age <= f.config.Timing.StaleAge {
		return false
	}
	return f.chance(nonRelayOneIn)
}

// poll reads and applies all new changes in the store.
func (f *Follower) poll(ctx context.Context) (err error) {
	defer func() { err = oops.Wrapf(err, "read configuration log") }()
	ctx, cancel := context.WithTimeout(ctx, f.config.Timing.StoreCallTimeout.Duration())
	defer cancel()
	startedAt := f.clock.Now()
	appliedTotal := 0
	for {
		metricPolls.Add(1)
		changes, err := f.config.Log.Tail(ctx, f.state.Sequence(), tailPageSize)
		if err != nil {
			return err
		}
		applied, err := f.apply(changes)
		if err != nil && !errors.Is(err, state.ErrSequenceGap) {
			f.logUnusable(err)
			return err
		}
		appliedTotal += applied
		if len(changes) < tailPageSize && err == nil {
			break
		}
	}
	f.mu.Lock()
	f.freshness.recordStoreRead(startedAt)
	f.mu.Unlock()
	if appliedTotal > 0 {
		signal(f.pushNow)
	}
	return nil
}

// readStoreRecently reports whether this daemon itself has read the store within
// Timing.IsolationAge.
func (f *Follower) readStoreRecently() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.freshness.hasStoreRead && f.clock.Now()-f.freshness.storeReadAt <= f.config.Timing.IsolationAge
}

// start loads the configuration from the store or, if that fails, from peers.
// It retries until one of them succeeds.
func (f *Follower) start(ctx context.Context) error {
	for {
		storeErr := f.startFromStore(ctx)
		if storeErr == nil {
			break
		}
		peerErr := f.startFromPeers(ctx)
		if peerErr == nil {
			break
		}
		eventStoreLost.Log(f.config.Logger, logrus.Fields{"Error": storeErr.Error(), "PeerError": peerErr.Error()})
		if err := f.clock.Sleep(ctx, f.jitter(startRetryDelay)); err != nil {
			return err
		}
	}
	eventStarted.Log(f.config.Logger, logrus.Fields{"Sequence": f.state.Sequence()})
	return nil
}

func (f *Follower) startFromStore(ctx context.Context) error {
	loadCtx, cancel := context.WithTimeout(ctx, loadTimeout.Duration())
	defer cancel()
	snapshot, err := f.config.Log.LoadSnapshot(loadCtx)
	if err == nil {
		err = f.loadSnapshot(snapshot)
	}
	if err != nil && !errors.Is(err, context.Canceled) {
		// The poll below then reads the whole log, which takes longer.
		eventSnapshotFailed.Log(f.config.Logger, logrus.Fields{"Error": err.Error()})
	}
	if err := f.poll(ctx); err != nil {
		return err
	}
	f.adoptDenials(ctx)
	return nil
}

// loopSnapshot saves a snapshot after each SnapshotEvery changes. One daemon
// does so for the whole fleet.
func (f *Follower) loopSnapshot(ctx context.Context) error {
	for {
		if err := f.wait(ctx, f.jitter(10*f.config.Timing.PollInterval), nil); err != nil {
			return err
		}
		chosen := member.Pick(f.config.View(), "Config/Snapshot", 1)
		if len(chosen) > 0 && chosen[0].ID != f.config.ID {
			continue
		}
		if err := f.saveSnapshot(ctx); err != nil {
			eventSnapshotFailed.Log(f.config.Logger, logrus.Fields{"Error": err.Error()})
		}
	}
}

func (f *Follower) saveSnapshot(ctx context.Context) (err error) {
	defer func() { err = oops.Wrapf(err, "save configuration snapshot") }()
	if !f.readStoreRecently() {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, loadTimeout.Duration())
	defer cancel()
	last, err := f.config.Log.SnapshotSequence(ctx)
	if err != nil || f.state.Sequence() < last+f.config.SnapshotEvery {
		return err
	}
	var snapshot changelog.Snapshot
	snapshot, err = f.state.Snapshot()
	if err != nil {
		return err
	}
	if err := f.config.Log.SaveSnapshot(ctx, snapshot); err != nil {
		return err
	}
	eventSnapshot.Log(f.config.Logger, logrus.Fields{"Sequence": snapshot.Sequence})
	return nil
}
