package claim

// CommitOutcome is the result of committing a transaction.
type CommitOutcome int

// The outcomes of a transaction.
const (
	// Committed means that the transaction took effect.
	Committed CommitOutcome = iota
	// Conflicted means that a condition did not hold.
	Conflicted
	// NotApplied means that the transaction had no effect and never will.
	NotApplied
	// Unanswered means that the result is unknown: the transaction may have
	// taken effect or may still do so.
	Unanswered
)

// Action is the next step that an Attempt requires of its driver.
type Action int

// The actions.
const (
	// ActionWrite commits a transaction that writes Attempt.Record on
	// condition that the row has Attempt.Version.
	ActionWrite Action = iota
	// ActionRead reads the row.
	ActionRead
	// ActionPause waits for the retry delay and then calls Resume.
	ActionPause
	// ActionDone means that Attempt.Verdict is final.
	ActionDone
)

// Verdict is the result of an Attempt.
type Verdict int

// The verdicts.
const (
	// Undecided is the verdict of an attempt that is in progress or was
	// abandoned.
	Undecided Verdict = iota
	// Written means that the attempt's record was written.
	Written
	// Taken means that the row holds another record and that this attempt
	// will never write its own.
	Taken
)

// Attempt is the state machine that writes one record, of state Claimed or
// Released, and establishes for certain whether the write took effect. It does
// no I/O: the driver performs its actions and reports their results.
type Attempt struct {
	// Record is the record to write.
	Record Record
	// Version is the version that the row must have for the write to succeed.
	Version uint64
	// Verdict is final after ActionDone.
	Verdict Verdict
	// ExistingRecord is the record in the row when the verdict is Taken.
	ExistingRecord Record
	// OutcomeUnknown means that a transaction of this attempt may still take
	// effect. A claim attempt that is abandoned in this state must be released.
	OutcomeUnknown bool
	resumeAction   Action
}

// NewAttempt returns an attempt to write record. A claim starts with an
// optimistic write, a release with a read.
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

// OnCommit handles the outcome of a write and returns the next action.
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
		a.resumeAction = ActionWrite
		return ActionPause
	}
}

// OnReadFailed handles a failed read and returns the next action.
func (a *Attempt) OnReadFailed() Action {
	a.resumeAction = ActionRead
	return ActionPause
}

// Resume returns the action that follows ActionPause.
func (a *Attempt) Resume() Action {
	return a.resumeAction
}

// OnRow handles the row that was read and returns the next action. The version
// is 0 if the row is absent. An absent row or a tombstone does not resolve an
// unknown outcome, since the transaction may still arrive. Writing again does:
// success changes the row's version, so that the earlier transaction can no
// longer take effect, and a conflict causes another read.
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
