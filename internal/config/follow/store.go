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
	// relaysPerDomain is how many daemons of a failure domain read the store.
	relaysPerDomain = 2
	// tailPage is how many changes one read of the store returns.
	tailPage = 500
	// ownPollOneIn is the part of its intervals in which a stale daemon that
	// is no relay reads the store.
	ownPollOneIn = 4
	// startDelay is the delay between attempts to load the configuration.
	startDelay = 300 * clock.Millisecond
	// loadTimeout bounds one read of a whole snapshot.
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

// loopPoll reads the store while this daemon is a relay or its evidence is too
// old.
func (f *Follower) loopPoll(ctx context.Context) error {
	reachable := true
	for {
		if err := f.wait(ctx, f.jitter(f.config.Timing.PollInterval), nil); err != nil {
			return err
		}
		if !f.mustPoll() {
			continue
		}
		err := f.poll(ctx)
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

func (f *Follower) mustPoll() bool {
	if f.isRelay() {
		return true
	}
	age, known := f.Age()
	if known && age <= f.config.Timing.StaleAge {
		return false
	}
	return f.chance(ownPollOneIn)
}

// poll applies all changes that the store has.
func (f *Follower) poll(ctx context.Context) (err error) {
	defer func() { err = oops.Wrapf(err, "read configuration log") }()
	ctx, cancel := context.WithTimeout(ctx, f.config.Timing.StoreCallTimeout.Duration())
	defer cancel()
	begun := f.clock.Now()
	news := 0
	for {
		metricPolls.Add(1)
		changes, err := f.config.Log.Tail(ctx, f.state.Sequence(), tailPage)
		if err != nil {
			return err
		}
		applied, err := f.apply(changes)
		if err != nil && !errors.Is(err, state.ErrSequenceGap) {
			f.logUnusable(err)
			return err
		}
		news += applied
		if len(changes) < tailPage && err == nil {
			break
		}
	}
	f.mu.Lock()
	f.freshness.addStoreAnswer(begun)
	f.mu.Unlock()
	if news > 0 {
		signal(f.pushNow)
	}
	return nil
}

// storeAnswers reports whether this daemon itself has read the store lately.
func (f *Follower) storeAnswers() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.freshness.hasStoreAnswered && f.clock.Now()-f.freshness.storeAnswered <= f.config.Timing.IsolationAge
}

// start loads the configuration from the store or, while that does not answer,
// from the peers.
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
		if err := f.clock.Sleep(ctx, f.jitter(startDelay)); err != nil {
			return err
		}
	}
	eventStarted.Log(f.config.Logger, logrus.Fields{"Sequence": f.state.Sequence()})
	return nil
}

func (f *Follower) startFromStore(ctx context.Context) error {
	loading, cancel := context.WithTimeout(ctx, loadTimeout.Duration())
	defer cancel()
	snapshot, err := f.config.Log.LoadSnapshot(loading)
	if err == nil {
		err = f.load(snapshot)
	}
	if err != nil && !errors.Is(err, context.Canceled) {
		// The whole log is as good, only longer.
		eventSnapshotFailed.Log(f.config.Logger, logrus.Fields{"Error": err.Error()})
	}
	if err := f.poll(ctx); err != nil {
		return err
	}
	f.adoptDenials(ctx)
	return nil
}

// loopSnapshot saves a snapshot when enough changes have come since the last.
// One daemon does it for the fleet.
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
	if !f.storeAnswers() {
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
