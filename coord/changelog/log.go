package changelog

import (
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"

	"github.com/samber/oops"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/coord/packed"
	"github.com/banyanshift/banyanshift/coord/table"
)

// Bounds of the exponential backoff between the attempts of one Append.
const (
	firstRetryDelay = 5 * clock.Millisecond
	maxRetryDelay   = 500 * clock.Millisecond
)

// Config configures a Log.
type Config struct {
	Table table.Client
	Clock clock.Clock
	// Prefix is the prefix of the keys of all rows of this log.
	Prefix string
	// Objects stores the snapshots; it may be empty for a log without
	// snapshots.
	Objects ObjectStore
	// Rand adds jitter to retry delays; nil for a generator with a fixed seed.
	Rand *rand.Rand
}

// ObjectStore writes and reads the objects that hold snapshots.
type ObjectStore struct {
	Put func(ctx context.Context, name string, data []byte) error
	Get func(ctx context.Context, name string) ([]byte, error)
}

// Log is a change log in the table. It is safe for concurrent use. All its state
// is in the table, so any number of processes may use the same log.
type Log struct {
	config Config
	randMu sync.Mutex
}

// New returns the log whose row keys start with config.Prefix.
func New(config Config) *Log {
	if config.Rand == nil {
		config.Rand = rand.New(rand.NewPCG(1, 1))
	}
	return &Log{config: config}
}

// headRow is the value of the row with key Head.
type headRow struct {
	Sequence uint64
}

// requestRow is the value of a row with key Request/<id>.
type requestRow struct {
	Sequence uint64
	Digest   [sha256.Size]byte
}

func (l *Log) headKey() string              { return l.config.Prefix + "/Head" }
func (l *Log) changePrefix() string         { return l.config.Prefix + "/Change/" }
func (l *Log) changeKey(n uint64) string    { return fmt.Sprintf("%s%020d", l.changePrefix(), n) }
func (l *Log) entityKey(name string) string { return l.config.Prefix + "/Entity/" + name }
func (l *Log) requestKey(id string) string  { return l.config.Prefix + "/Request/" + id }

// Head returns the sequence number of the last change, 0 for none.
func (l *Log) Head(ctx context.Context) (sequence uint64, err error) {
	defer func() { err = oops.Wrapf(err, "read head") }()
	_, sequence, err = l.readHead(ctx)
	return sequence, err
}

func (l *Log) readHead(ctx context.Context) (table.Row, uint64, error) {
	row, err := l.config.Table.Get(ctx, l.headKey())
	if err != nil {
		return table.Row{}, 0, err
	}
	head, err := decodeRow[headRow](row)
	return row, head.Sequence, err
}

// Tail returns at most limit changes that follow the change with number after,
// in order and without gaps.
func (l *Log) Tail(ctx context.Context, after uint64, limit int) (changes []Change, err error) {
	defer func() { err = oops.Wrapf(err, "read changes after %d", after) }()
	rows, err := l.config.Table.Scan(ctx, l.changePrefix(), l.changeKey(after), limit)
	if err != nil {
		return nil, err
	}
	for _, row := range rows {
		change, err := decodeRow[Change](row)
		if err != nil {
			return nil, err
		}
		if expected := after + uint64(len(changes)) + 1; change.Sequence != expected {
			return nil, fmt.Errorf("%w: found %d in place of %d", ErrGap, change.Sequence, expected)
		}
		changes = append(changes, change)
	}
	return changes, nil
}

// FindByRequestID returns the change that was made under a request ID, if any.
func (l *Log) FindByRequestID(ctx context.Context, requestID string) (change Change, found bool, err error) {
	defer func() { err = oops.Wrapf(err, "look up request %s", requestID) }()
	row, err := l.config.Table.Get(ctx, l.requestKey(requestID))
	if err != nil || row.Version == 0 {
		return Change{}, false, err
	}
	change, err = l.changeOfRequest(ctx, row)
	return change, err == nil, err
}

func (l *Log) changeOfRequest(ctx context.Context, storedRequest table.Row) (Change, error) {
	request, err := decodeRow[requestRow](storedRequest)
	if err != nil {
		return Change{}, err
	}
	row, err := l.config.Table.Get(ctx, l.changeKey(request.Sequence))
	if err != nil {
		return Change{}, err
	}
	return decodeRow[Change](row)
}

// Append makes the proposed change, or returns the change that an earlier
// attempt with the same request ID made.
//
// On table.ErrUnavailable, ErrConflict, ErrRequestIDReused and ErrInvalid nothing
// was written and nothing will be. On table.ErrUnknown the change may have been
// made; appending the same proposal again returns the outcome. While the outcome
// is unknown, Append retries until the context ends.
func (l *Log) Append(ctx context.Context, proposal Proposal) (change Change, err error) {
	defer func() { err = oops.Wrapf(err, "append change %s", proposal.RequestID) }()
	attempt, err := l.newAttempt(proposal)
	if err != nil {
		return Change{}, err
	}
	for delay := firstRetryDelay; ; delay = min(2*delay, maxRetryDelay) {
		change, err := attempt.run(ctx)
		if err == nil {
			return change, nil
		}
		if !attempt.mayRetry(err) {
			return Change{}, err
		}
		if sleepErr := l.config.Clock.Sleep(ctx, l.jitter(delay)); sleepErr != nil {
			return Change{}, attempt.contextError(sleepErr)
		}
	}
}

func (l *Log) jitter(delay clock.Millis) clock.Millis {
	l.randMu.Lock()
	defer l.randMu.Unlock()
	return delay/2 + clock.Millis(l.config.Rand.Int64N(int64(delay)))
}

// attempt is the state of one Append across its retries.
type attempt struct {
	log      *Log
	proposal Proposal
	digest   [sha256.Size]byte
	// outcomeUnknown is set once a transaction was sent that may have taken
	// effect or may yet take effect.
	outcomeUnknown bool
}

func (l *Log) newAttempt(proposal Proposal) (*attempt, error) {
	if proposal.RequestID == "" {
		return nil, fmt.Errorf("%w: request id is missing", ErrInvalid)
	}
	if len(proposal.Writes) == 0 {
		return nil, fmt.Errorf("%w: nothing to write", ErrInvalid)
	}
	seen := make(map[string]bool, len(proposal.Writes))
	for _, write := range proposal.Writes {
		if write.Entity == "" || seen[write.Entity] {
			return nil, fmt.Errorf("%w: entity %q is missing or written twice", ErrInvalid, write.Entity)
		}
		seen[write.Entity] = true
	}
	encoded, err := msgpack.Marshal(proposal.Writes)
	if err != nil {
		return nil, err
	}
	return &attempt{log: l, proposal: proposal, digest: sha256.Sum256(encoded)}, nil
}

// errHeadMoved is returned when another change was appended concurrently.
var errHeadMoved = errors.New("changelog: head has moved")

func (a *attempt) mayRetry(err error) bool {
	switch {
	case errors.Is(err, errHeadMoved), errors.Is(err, table.ErrUnknown):
		return true
	case errors.Is(err, ErrConflict), errors.Is(err, ErrRequestIDReused):
		return false
	}
	return a.outcomeUnknown
}

// contextError returns the error of an attempt whose context ended.
func (a *attempt) contextError(cause error) error {
	if a.outcomeUnknown {
		return errors.Join(table.ErrUnknown, cause)
	}
	return errors.Join(table.ErrUnavailable, cause)
}

// run makes one attempt. The order of the reads matters: the head is read
// first, so that any change that is appended afterwards makes the transaction
// fail, and the request row is read before the entities.
func (a *attempt) run(ctx context.Context) (Change, error) {
	head, sequence, err := a.log.readHead(ctx)
	if err != nil {
		return Change{}, err
	}
	if change, found, err := a.earlierChange(ctx); found || err != nil {
		return change, err
	}
	change := Change{
		Sequence:  sequence + 1,
		Actor:     a.proposal.Actor,
		RequestID: a.proposal.RequestID,
		Wall:      a.log.config.Clock.Wall(),
	}
	txn := table.Txn{Conditions: []table.Condition{
		{Key: head.Key, Version: head.Version},
		{Key: a.log.requestKey(a.proposal.RequestID)},
	}}
	for _, write := range a.proposal.Writes {
		err := a.addWrite(ctx, write, &change, &txn)
		if errors.Is(err, ErrConflict) {
			return a.resolveConflict(ctx, err)
		}
		if err != nil {
			return Change{}, err
		}
	}
	if err := a.addRecords(change, &txn); err != nil {
		return Change{}, err
	}
	return change, a.commit(ctx, txn)
}

// earlierChange returns the change that an earlier attempt with the same request
// ID made.
func (a *attempt) earlierChange(ctx context.Context) (change Change, found bool, err error) {
	row, err := a.log.config.Table.Get(ctx, a.log.requestKey(a.proposal.RequestID))
	if err != nil || row.Version == 0 {
		return Change{}, false, err
	}
	request, err := decodeRow[requestRow](row)
	if err != nil {
		return Change{}, false, err
	}
	if request.Digest != a.digest {
		return Change{}, false, ErrRequestIDReused
	}
	change, err = a.log.changeOfRequest(ctx, row)
	return change, err == nil, err
}

// resolveConflict handles a revision mismatch. An earlier attempt whose answer
// was lost may have caused it; that attempt has then written the request row as
// well, and its change is returned. Otherwise no earlier attempt can take effect
// any more, since its condition on the entity does not hold.
func (a *attempt) resolveConflict(ctx context.Context, mismatch error) (Change, error) {
	change, found, err := a.earlierChange(ctx)
	if err != nil {
		return Change{}, err
	}
	if found {
		return change, nil
	}
	return Change{}, mismatch
}

// addWrite reads the entity, checks its revision and adds the write to the
// change and the transaction.
func (a *attempt) addWrite(ctx context.Context, write Write, change *Change, txn *table.Txn) error {
	row, err := a.log.config.Table.Get(ctx, a.log.entityKey(write.Entity))
	if err != nil {
		return err
	}
	entry, err := decodeRow[Entry](row)
	if err != nil {
		return err
	}
	expected := a.proposal.Expected[write.Entity]
	if expected != AnyRevision && expected != entry.Revision {
		return &ConflictError{Entity: write.Entity, Expected: expected, Actual: entry.Revision}
	}
	change.Writes = append(change.Writes, EntityWrite{
		Entity:   write.Entity,
		Revision: change.Sequence,
		Before:   entry.Value,
		Value:    write.Value,
		Deleted:  write.Deleted,
	})
	txn.Conditions = append(txn.Conditions, table.Condition{Key: row.Key, Version: row.Version})
	if write.Deleted {
		txn.Writes = append(txn.Writes, table.Write{Key: row.Key, Delete: true})
		return nil
	}
	value, err := msgpack.Marshal(Entry{Entity: write.Entity, Revision: change.Sequence, Value: write.Value})
	txn.Writes = append(txn.Writes, table.Write{Key: row.Key, Value: value})
	return err
}

// addRecords adds the rows of the change, the new head and the request to the
// transaction.
func (a *attempt) addRecords(change Change, txn *table.Txn) error {
	records := []struct {
		key   string
		value any
	}{
		{a.log.changeKey(change.Sequence), change},
		{a.log.headKey(), headRow{Sequence: change.Sequence}},
		{a.log.requestKey(change.RequestID), requestRow{Sequence: change.Sequence, Digest: a.digest}},
	}
	for _, record := range records {
		value, err := msgpack.Marshal(record.value)
		if err != nil {
			return err
		}
		txn.Writes = append(txn.Writes, table.Write{Key: record.key, Value: value})
	}
	return nil
}

// commit sends the transaction. The outcome is unknown after every error other
// than table.ErrConflict and table.ErrUnavailable.
func (a *attempt) commit(ctx context.Context, txn table.Txn) error {
	err := a.log.config.Table.Commit(ctx, txn)
	switch {
	case err == nil:
		return nil
	case errors.Is(err, table.ErrConflict):
		return errHeadMoved
	case errors.Is(err, table.ErrUnavailable):
		return err
	case errors.Is(err, table.ErrUnknown):
		a.outcomeUnknown = true
		return err
	}
	a.outcomeUnknown = true
	return errors.Join(table.ErrUnknown, err)
}

// decodeRow returns the decoded value of a row, or the zero value if the row
// does not exist.
func decodeRow[V any](row table.Row) (value V, err error) {
	if row.Version == 0 {
		return value, nil
	}
	err = packed.Unmarshal(row.Value, &value)
	return value, oops.Wrapf(err, "decode row %s", row.Key)
}
