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

// Errors of Propose, possibly wrapped.
var (
	// ErrConflict says that an entity has another revision than expected; the
	// error is also a *changelog.ConflictError.
	ErrConflict = changelog.ErrConflict
	// ErrRequestReused says that the request id was used for another change.
	ErrRequestReused = changelog.ErrRequestIDReused
	// ErrInvalid says that the proposal is malformed.
	ErrInvalid = changelog.ErrInvalid
	// ErrUnavailable says that the store did not answer and that nothing was
	// or will be written.
	ErrUnavailable = table.ErrUnavailable
	// ErrUnknown says that the change may have been made. Proposing it again
	// with the same request id settles it.
	ErrUnknown = table.ErrUnknown
)

// Proposal asks for one change. Writes are made with state.PutWrite and
// state.DeleteWrite, and Expected is keyed by state.EntityName.
type Proposal = changelog.Proposal

// Outcome says what became of a proposal.
type Outcome struct {
	// Sequence is the place of the change in the log; 0 while it is pending.
	Sequence uint64
	// Revisions holds the new revision of each entity.
	Revisions map[string]uint64
	// Confirmed are the daemons that said that the change is in force there.
	Confirmed []string
	// Unconfirmed are the other live daemons.
	Unconfirmed []string
	// Pending says that a withdrawal is in force in the confirmed daemons
	// and will be written when the store answers.
	Pending bool
}

// Propose makes a change and brings it to all daemons. A proposal that only
// withdraws or deletes keys takes hold even when the store does not answer.
func (f *Follower) Propose(ctx context.Context, proposal Proposal) (outcome Outcome, err error) {
	defer func() { err = oops.Wrapf(err, "propose change %s", proposal.RequestID) }()
	if err := f.validate(proposal); err != nil {
		return Outcome{}, err
	}
	keys, only := withdrawnKeys(proposal)
	if len(keys) > 0 {
		return f.proposeWithdrawal(ctx, proposal, only)
	}
	change, err := f.config.Log.Append(ctx, proposal)
	if err != nil {
		return Outcome{}, classify(err)
	}
	return f.finish(ctx, change, nil), nil
}

// validate checks the entities and that no withdrawn key comes back.
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

// classify makes every error that does not say otherwise an ErrUnavailable.
// Append promises that nothing was written unless it returns ErrUnknown.
func classify(err error) error {
	if refused(err) || errors.Is(err, ErrUnknown) || errors.Is(err, ErrUnavailable) {
		return err
	}
	return errors.Join(ErrUnavailable, err)
}

// refused reports that the log will never have the proposal.
func refused(err error) bool {
	return errors.Is(err, ErrConflict) || errors.Is(err, ErrRequestReused) || errors.Is(err, ErrInvalid)
}

// proposeWithdrawal denies the keys everywhere while the store is asked.
func (f *Follower) proposeWithdrawal(ctx context.Context, proposal Proposal, only bool) (Outcome, error) {
	// The withdrawal goes on when the operator's connection is lost.
	ctx = context.WithoutCancel(ctx)
	denial := Denial{Proposal: proposal}
	f.hold(denial, true)
	denying := &broadcasting{follower: f, deny: Deny{Denials: []Denial{denial}}, confirmed: make(chan []string, 1)}
	go denying.run(ctx)

	appending, cancel := context.WithTimeout(ctx, f.config.Timing.WithdrawalTimeout.Duration())
	defer cancel()
	change, err := f.config.Log.Append(appending, proposal)
	switch {
	case err == nil:
		return f.finish(ctx, change, denying.confirmed), nil
	case only && !refused(err):
		return f.reportPending(ctx, denial, <-denying.confirmed), nil
	case refused(err) || !errors.Is(err, ErrUnknown):
		<-denying.confirmed
		f.settle(proposal.RequestID, false)
		f.broadcast(ctx, Deny{Settled: []string{proposal.RequestID}})
	}
	return Outcome{}, classify(err)
}

// reportPending makes the withdrawal one that is written in any case.
func (f *Follower) reportPending(ctx context.Context, denial Denial, denied []string) Outcome {
	denial.Reported = true
	f.hold(denial, true)
	confirmed := f.broadcast(ctx, Deny{Denials: []Denial{denial}})
	confirmed = append(confirmed, denied...)
	eventPending.Log(f.config.Logger, logrus.Fields{"RequestID": denial.Proposal.RequestID, "Actor": denial.Proposal.Actor})
	outcome := f.outcome(confirmed)
	outcome.Pending = true
	return outcome
}

// finish applies an accepted change here, spreads it and waits for the
// confirmations. alsoConfirmed, if not nil, yields daemons that have confirmed
// it in another way.
func (f *Follower) finish(ctx context.Context, change changelog.Change, alsoConfirmed <-chan []string) Outcome {
	f.takeIn(ctx, change)
	f.settleApplied(change.RequestID, change.Sequence)
	confirmed := f.spread(context.WithoutCancel(ctx), change.Sequence)
	if alsoConfirmed != nil {
		confirmed = append(confirmed, <-alsoConfirmed...)
	}
	outcome := f.outcome(confirmed)
	outcome.Sequence = change.Sequence
	outcome.Revisions = make(map[string]uint64, len(change.Writes))
	for _, write := range change.Writes {
		outcome.Revisions[write.Entity] = write.Revision
	}
	eventChanged.Log(f.config.Logger, logrus.Fields{"Sequence": change.Sequence, "Actor": change.Actor, "RequestID": change.RequestID})
	return outcome
}

// takeIn applies an accepted change, after those before it. From here on this
// daemon is not ready below it.
func (f *Follower) takeIn(ctx context.Context, change changelog.Change) {
	f.mu.Lock()
	f.acknowledged = max(f.acknowledged, change.Sequence)
	f.mu.Unlock()
	if _, err := f.apply([]changelog.Change{change}); err == nil {
		return
	}
	// Others' changes came first. If the store does not give them now, the
	// next poll or check will.
	if err := f.poll(ctx); err != nil {
		signal(f.checkNow)
	}
}

func (f *Follower) outcome(confirmed []string) Outcome {
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

// broadcasting is a broadcast beside other work.
type broadcasting struct {
	follower  *Follower
	deny      Deny
	confirmed chan []string
}

func (b *broadcasting) run(ctx context.Context) {
	b.confirmed <- b.follower.broadcast(ctx, b.deny)
}
