package claim

// CommitOutcome is the table's answer to a transaction.
type CommitOutcome int

// The outcomes of a transaction.
const (
	// Committed says that the transaction took effect.
	Committed CommitOutcome = iota
	// Conflicted says that a condition did not hold.
	Conflicted
	// NotApplied says that the transaction had no effect and will have none.
	NotApplied
	// Unanswered says that the transaction may have taken effect or may yet.
	Unanswered
)

// Action is what an Attempt asks its driver to do next.
type Action int

// The actions.
const (
	// ActionWrite asks for a transaction that writes Attempt.Record under
	// the condition that the row has Attempt.Version.
	ActionWrite Action = iota
	// ActionRead asks to read the row.
	ActionRead
	// ActionPause asks to wait a little and then to call Resume.
	ActionPause
	// ActionDone says that Attempt.Verdict is final.
	ActionDone
)

// Verdict is the result of an Attempt.
type Verdict int

// The verdicts.
const (
	// Undecided is the verdict of an attempt that goes on or was given up.
	Undecided Verdict = iota
	// Written says that the row holds the attempt's record.
	Written
	// Taken says that the row belongs to somebody else for good.
	Taken
)

// Attempt is the state machine that writes one record, of state Claimed or
// Released, so that it is known for certain whether it took effect. It does no
// input or output: the driver carries out its actions and tells it the result.
type Attempt struct {
	// Record is the record to be written.
	Record Record
	// Version is the version that the row must have.
	Version uint64
	// Verdict is final after ActionDone.
	Verdict Verdict
	// ExistingRecord is the record of the owner when the verdict is Taken.
	ExistingRecord Record
	// OutcomeUnknown says that a transaction of this attempt may still take effect.
	// An attempt to claim that is given up while doubtful must be released.
	OutcomeUnknown bool
	next           Action
}

// NewAttempt returns an attempt to write record, which starts with an optimistic
// write for a claim and with a read for a release.
func NewAttempt(record Record) *Attempt {
	return &Attempt{Record: record}
}

// Start returns the first action.
func (a *Attempt) Start() Action {
	if a.Record.State == Released {
		return ActionRead
	}
	return ActionWrite
}

// OnCommit takes the outcome of a write.
func (a *Attempt) OnCommit(outcome CommitOutcome) Action {
	switch outcome {
	case Committed:
		a.Verdict = Written
		a.OutcomeUnknown = false
		return ActionDone
	case Conflicted:
		return ActionRead
	case Unanswered:
		a.OutcomeUnknown = true
		return ActionRead
	default:
		a.next = ActionWrite
		return ActionPause
	}
}

// OnReadFailed takes the failure of a read.
func (a *Attempt) OnReadFailed() Action {
	a.next = ActionRead
	return ActionPause
}

// Resume continues after ActionPause.
func (a *Attempt) Resume() Action {
	return a.next
}

// OnRow takes the row that was read: its version, 0 when it is absent, and its
// record. An absent row or a tombstone does not settle a doubtful attempt, since
// its transaction may yet arrive; writing again settles it either way.
func (a *Attempt) OnRow(version uint64, record Record) Action {
	switch {
	case version == 0:
		return a.writeAt(version)
	case record.Nonce == a.Record.Nonce:
		return a.onOwnRow(version, record)
	case record.State == Released:
		return a.writeAt(version)
	default:
		a.Verdict = Taken
		a.ExistingRecord = record
		a.OutcomeUnknown = false
		return ActionDone
	}
}

func (a *Attempt) onOwnRow(version uint64, record Record) Action {
	if record.State == Claimed && a.Record.State == Released {
		return a.writeAt(version)
	}
	a.OutcomeUnknown = false
	if record.State == a.Record.State {
		a.Verdict = Written
		return ActionDone
	}
	a.Verdict = Taken
	a.ExistingRecord = record
	return ActionDone
}

func (a *Attempt) writeAt(version uint64) Action {
	a.Version = version
	return ActionWrite
}
