package crashnews

import (
	"context"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/caller/relay"
	"github.com/banyanshift/banyanshift/internal/decide/quarantine"
	"github.com/banyanshift/banyanshift/internal/peer/link"
	"github.com/banyanshift/banyanshift/internal/peer/message"
)

const (
	// maxTrialWait is how long a request under suspicion may wait until it is cleared or
	// tried, and maxWaitShare the share of its time left.
	maxTrialWait = 1200 * clock.Millisecond
	maxWaitShare = 4
	// checkInterval is the time between two looks of a request at what is known, and
	// askInterval that between two questions of a daemon for a trial of the same digests.
	checkInterval = 25 * clock.Millisecond
	askInterval   = 100 * clock.Millisecond
	// ownerTimeout limits the wait for the answer of an owner, and maxOwnersAsked the
	// owners that are asked for one trial.
	ownerTimeout   = 150 * clock.Millisecond
	maxOwnersAsked = 3
	// newsTime is how long a trial without an answer goes on, so that the news of a crash
	// reaches the owner before the next trial begins.
	newsTime = 200 * clock.Millisecond
)

// Admit decides whether a request may be sent, and waits for its trial if it is under
// suspicion.
func (e *Exchange) Admit(ctx context.Context, digests []quarantine.Digest, timeLeft clock.Millis) relay.Admission {
	deadline := e.config.Clock.Now() + min(maxTrialWait, timeLeft/maxWaitShare)
	for {
		now := e.config.Clock.Now()
		decision := e.decide(now, digests)
		if len(decision.Suspects) == 0 {
			return relay.Admission{Granted: true}
		}
		if now+decision.Wait > deadline {
			return e.refuse(decision)
		}
		if decision.Wait == 0 {
			if t := e.beginTrial(ctx, decision.Suspects, timeLeft); t != nil {
				admissions.Add("Tried", 1)
				return relay.Admission{Granted: true, Suspects: decision.Suspects, Release: t.end}
			}
		}
		if err := e.config.Clock.Sleep(ctx, max(decision.Wait, checkInterval)); err != nil {
			return e.refuse(decision)
		}
	}
}

func (e *Exchange) decide(now clock.Millis, digests []quarantine.Digest) quarantine.Decision {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.book.Decide(now, digests)
}

// refuse refuses a request. It may come again if its trial is near.
func (e *Exchange) refuse(decision quarantine.Decision) relay.Admission {
	if decision.Wait > maxTrialWait {
		admissions.Add("Stopped", 1)
		return relay.Admission{Suspects: decision.Suspects, Refusal: relay.Refusal{
			Reason: "endpoints have crashed under requests like this one: it is not sent to any, do not send it again", Final: true,
		}}
	}
	admissions.Add("Refused", 1)
	e.mu.Lock()
	defer e.mu.Unlock()
	wait := decision.Wait + checkInterval
	return relay.Admission{Suspects: decision.Suspects, Refusal: relay.Refusal{
		Reason: "another request like this one is tried first", RetryAfter: wait + clock.Millis(e.rng.Int64N(int64(maxTrialWait/2))),
	}}
}

// trial is a request under suspicion that is sent.
type trial struct {
	exchange *Exchange
	digests  []quarantine.Digest
	// owner is the daemon that has permitted it, "" if none could be asked.
	owner string
}

// beginTrial asks the owner of the first digest for a trial. It returns nil if another one is
// under way. If no owner answers, a trial at a time of this daemon goes on without one.
func (e *Exchange) beginTrial(ctx context.Context, digests []quarantine.Digest, lifetime clock.Millis) *trial {
	if !e.begin(e.own, digests, lifetime) {
		return nil
	}
	t := &trial{exchange: e, digests: digests}
	owners := e.config.Owners("Crash/" + digests[0].String())
	for _, owner := range owners[:min(len(owners), maxOwnersAsked)] {
		granted, err := e.askOwner(ctx, owner, trialRequest{Digests: digests, Lifetime: lifetime})
		if err != nil {
			e.config.Logger.WithError(err).WithField("Address", owner).Debug("owner of a digest could not be asked for a trial")
			continue
		}
		if !granted {
			e.pauseOwn(digests)
			return nil
		}
		t.owner = owner
		return t
	}
	return t
}

// begin begins a trial in one of the two lists.
func (e *Exchange) begin(trials *quarantine.Trials, digests []quarantine.Digest, lifetime clock.Millis) bool {
	now := e.config.Clock.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	return trials.Begin(now, digests, lifetime+newsTime)
}

func (e *Exchange) askOwner(ctx context.Context, owner string, request trialRequest) (granted bool, err error) {
	if owner == e.config.Self {
		return e.permitTrial(request), nil
	}
	ctx, cancel := context.WithTimeout(ctx, ownerTimeout.Duration())
	defer cancel()
	answer, err := link.Call[trialRequest, trialAnswer](ctx, e.config.Link, link.Peer{Address: owner}, message.CrashTrial, request)
	return answer.Granted, err
}

// permitTrial decides on a trial as the owner.
func (e *Exchange) permitTrial(request trialRequest) bool {
	if e.decide(e.config.Clock.Now(), request.Digests).Wait > 0 {
		return false
	}
	return e.begin(e.owned, request.Digests, request.Lifetime)
}

// end ends the trial, later if it was not answered.
func (t *trial) end(answered bool) {
	if answered {
		t.finish()
		return
	}
	go t.run()
}

// run waits for the news of a crash before it ends the trial.
func (t *trial) run() {
	// The clock ends only with the process.
	_ = t.exchange.config.Clock.Sleep(context.Background(), newsTime)
	t.finish()
}

func (t *trial) finish() {
	e := t.exchange
	e.endOwn(t.digests)
	switch t.owner {
	case "":
	case e.config.Self:
		e.endOwned(t.digests)
	default:
		if err := link.Send(e.config.Link, link.Peer{Address: t.owner}, message.CrashTrialEnd, trialEnd{Digests: t.digests}); err != nil {
			e.config.Logger.WithError(err).WithField("Address", t.owner).Debug("owner of a digest could not be told of the end of a trial")
		}
	}
}

func (e *Exchange) endOwn(digests []quarantine.Digest) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.own.End(digests)
}

// pauseOwn lets this daemon ask for the next trial after askInterval.
func (e *Exchange) pauseOwn(digests []quarantine.Digest) {
	now := e.config.Clock.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.own.End(digests)
	e.own.Begin(now, digests, askInterval)
}

func (e *Exchange) endOwned(digests []quarantine.Digest) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.owned.End(digests)
}

func (e *Exchange) serveTrial(_ context.Context, _ string, request trialRequest) (trialAnswer, error) {
	return trialAnswer{Granted: e.permitTrial(request)}, nil
}

func (e *Exchange) serveTrialEnd(_ context.Context, _ string, ended trialEnd) (struct{}, error) {
	e.endOwned(ended.Digests)
	return struct{}{}, nil
}
