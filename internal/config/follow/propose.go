package follow

import (
	"context"
	"errors"
	"fmt"
	"slices"

	"github.com/samber/oops"
	"github.com/sirupsen/logrus"

	"github.com/banyanshift/banyanshift/coord/changelog"
	"github.com/banyanshift/banyanshift/coord/table"
	"github.com/banyanshift/banyanshift/internal/config/entity"
	"github.com/banyanshift/banyanshift/internal/config/state"
)

// Errors returned by Propose, possibly wrapped.
var (
	// ErrConflict is returned if an entity has a different revision than
	// expected. The error is also a *changelog.ConflictError.
	ErrConflict = changelog.ErrConflict
	// ErrRequestIDReused is returned if the request ID was used for another
	// change.
	ErrRequestIDReused = changelog.ErrRequestIDReused
	// ErrInvalid is returned if the proposal is malformed.
	ErrInvalid = changelog.ErrInvalid
	// ErrUnavailable is returned if the store did not answer and nothing was
	// or will be written.
	ErrUnavailable = table.ErrUnavailable
	// ErrUnknown is returned if the change may or may not have been made.
	// Proposing it again with the same request ID resolves this.
	ErrUnknown = table.ErrUnknown
)

// Proposal describes one change. Use state.PutWrite and state.DeleteWrite to create its
// Writes. The keys of Expected are names from state.EntityName.
type Proposal = changelog.Proposal

// Outcome is the result of a proposal.
type Outcome struct {
	// Sequence is the sequence of the change in the log; 0 while it is
	// pending.
	Sequence uint64
	// Revisions holds the new revision of each entity.
	Revisions map[string]uint64
	// Confirmed are the daemons that confirmed that the change is in force.
	Confirmed []string
	// Unconfirmed are the other live daemons.
	Unconfirmed []string
	// Pending is set if a withdrawal is in force on the confirmed daemons and
	// will be written once the store answers.
	Pending bool
}

// Propose writes a change to the log and distributes it to all daemons. A
// proposal that only withdraws or deletes keys takes effect even if the store
// does not answer.
func (f *Follower) Propose(ctx context.Context, proposal Proposal) (outcome Outcome, err error) {
	defer func() { err = oops.Wrapf(err, "propose change %s", proposal.RequestID) }()
	if err := f.validate(proposal); err != nil {
		return Outcome{}, err
	}
	keys, keysOnly := withdrawnKeys(proposal)
	if len(keys) > 0 {
		return f.proposeWithdrawal(ctx, proposal, keysOnly)
	}
	change, err := f.config.Log.Append(ctx, proposal)
	if err != nil {
		return Outcome{}, classify(err)
	}
	return f.completeChange(ctx, change, nil), nil
}

// validate checks that the entities are valid and that no withdrawn key is
// readmitted.
func (f *Follower) validate(proposal Proposal) error {
	for _, write := range proposal.Writes {
		if write.Deleted {
			continue
		}
		decoded, err := state.Decode(write.Entity, write.Value)
		if err != nil {
			return fmt.Errorf("%w: %s: %w", ErrInvalid, write.Entity, err)
		}
		again, err := state.PutWrite(decoded)
		if err != nil {
			return fmt.Errorf("%w: %w", ErrInvalid, err)
		}
		if again.Entity != write.Entity {
			return fmt.Errorf("%w: %s holds %s", ErrInvalid, write.Entity, again.Entity)
		}
		key, isKey := decoded.(entity.Key)
		if !isKey || key.Withdrawn {
			continue
		}
		if current, found := f.state.Key(key.ID); found && current.Withdrawn {
			return fmt.Errorf("%w: key %s is withdrawn for ever", ErrInvalid, key.ID)
		}
	}
	return nil
}

// classify joins ErrUnavailable to every error that is none of the errors of
// Propose. Append guarantees that nothing was written unless it returns
// ErrUnknown.
func classify(err error) error {
	if refused(err) || errors.Is(err, ErrUnknown) || errors.Is(err, ErrUnavailable) {
		return err
	}
	return errors.Join(ErrUnavailable, err)
}

// refused reports whether err means that the proposal will never be in the log.
func refused(err error) bool {
	return errors.Is(err, ErrConflict) || errors.Is(err, ErrRequestIDReused) || errors.Is(err, ErrInvalid)
}

// proposeWithdrawal denies the keys on all daemons while it writes the
// withdrawal to the store.
func (f *Follower) proposeWithdrawal(ctx context.Context, proposal Proposal, keysOnly bool) (Outcome, error) {
	// The withdrawal continues if the operator's connection is lost.
	ctx = context.WithoutCancel(ctx)
	denial := Denial{Proposal: proposal}
	f.addDenial(denial, true)
	denying := &asyncBroadcast{follower: f, deny: Deny{Denials: []Denial{denial}}, confirmed: make(chan []string, 1)}
	go denying.run(ctx)

	appendCtx, cancel := context.WithTimeout(ctx, f.config.Timing.WithdrawalTimeout.Duration())
	defer cancel()
	change, err := f.config.Log.Append(appendCtx, proposal)
	switch {
	case err == nil:
		return f.completeChange(ctx, change, denying.confirmed), nil
	case keysOnly && !refused(err):
		return f.reportPending(ctx, denial, <-denying.confirmed), nil
	case refused(err) || !errors.Is(err, ErrUnknown):
		<-denying.confirmed
		f.settle(proposal.RequestID, false)
		f.broadcast(ctx, Deny{Settled: []string{proposal.RequestID}})
	}
	return Outcome{}, classify(err)
}

// reportPending marks the withdrawal as reported on all daemons, so that it is
// written in any case, and returns the pending outcome. denied are the daemons
// that already deny the keys.
func (f *Follower) reportPending(ctx context.Context, denial Denial, denied []string) Outcome {
	denial.Reported = true
	f.addDenial(denial, true)
	confirmed := f.broadcast(ctx, Deny{Denials: []Denial{denial}})
	confirmed = append(confirmed, denied...)
	eventPending.Log(f.config.Logger, logrus.Fields{"RequestID": denial.Proposal.RequestID, "Actor": denial.Proposal.Actor})
	outcome := f.newOutcome(confirmed)
	outcome.Pending = true
	return outcome
}

// completeChange applies an accepted change, distributes it and waits for the
// confirmations. alsoConfirmed, if not nil, delivers the daemons that confirmed
// the denial of its keys.
func (f *Follower) completeChange(ctx context.Context, change changelog.Change, alsoConfirmed <-chan []string) Outcome {
	f.applyAccepted(ctx, change)
	f.settleApplied(change.RequestID, change.Sequence)
	confirmed := f.distribute(context.WithoutCancel(ctx), change.Sequence)
	if alsoConfirmed != nil {
		confirmed = append(confirmed, <-alsoConfirmed...)
	}
	outcome := f.newOutcome(confirmed)
	outcome.Sequence = change.Sequence
	outcome.Revisions = make(map[string]uint64, len(change.Writes))
	for _, write := range change.Writes {
		outcome.Revisions[write.Entity] = write.Revision
	}
	eventChanged.Log(f.config.Logger, logrus.Fields{"Sequence": change.Sequence, "Actor": change.Actor, "RequestID": change.RequestID})
	return outcome
}

// applyAccepted applies a change that is in the log, reading earlier changes
// from the store if they are missing. This daemon is not ready until the change
// is applied.
func (f *Follower) applyAccepted(ctx context.Context, change changelog.Change) {
	f.mu.Lock()
	f.acknowledged = max(f.acknowledged, change.Sequence)
	f.mu.Unlock()
	if _, err := f.apply([]changelog.Change{change}); err == nil {
		return
	}
	// Earlier changes by other daemons are missing. If this read of the store
	// fails, the next poll or check delivers them.
	if err := f.poll(ctx); err != nil {
		signal(f.checkNow)
	}
}

func (f *Follower) newOutcome(confirmed []string) Outcome {
	slices.Sort(confirmed)
	outcome := Outcome{Confirmed: slices.Compact(confirmed)}
	for _, m := range f.config.View() {
		if _, found := slices.BinarySearch(outcome.Confirmed, m.ID); m.Live() && !found {
			outcome.Unconfirmed = append(outcome.Unconfirmed, m.ID)
		}
	}
	slices.Sort(outcome.Unconfirmed)
	return outcome
}

// asyncBroadcast runs a broadcast in its own goroutine.
type asyncBroadcast struct {
	follower  *Follower
	deny      Deny
	confirmed chan []string
}

func (b *asyncBroadcast) run(ctx context.Context) {
	b.confirmed <- b.follower.broadcast(ctx, b.deny)
}
