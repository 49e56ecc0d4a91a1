// Package journal keeps the orders of a region in the table, each written before
// it is sent, so that a successor can complete what its predecessor began.
//
// The holder of the region's lease opens the journal under its fencing number.
// Every transaction is conditional on the row of the lease, so nobody writes to
// the journal once the lease has passed on, however late a transaction arrives.
//
// Entries are numbered without gaps. The number is the order's ID, so an order
// that is sent again, by whomever, is the same order.
//
// # Usage
//
//	j := journal.New(journal.Config{Table: client, Scope: "sask-central", Holder: "vm-3", Guard: guard, Keep: 1000})
//	entries, err := j.Open(ctx, fence)
//	// complete those of state journal.Open first, then:
//	entries, err = j.Append(ctx, orders)
//	// send them, then:
//	err = j.Close(ctx, entries)
package journal

import (
	"context"
	"errors"
	"fmt"
	"strings"

	"github.com/samber/oops"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/coord/table"
	"github.com/banyanshift/banyanshift/internal/platform/order"
)

// KeyPrefix starts the keys of all entries' rows.
const KeyPrefix = "Order/"

const (
	scanPage = 500
	// deletePage is how many entries are deleted in one transaction.
	deletePage = 100
	// maxWriteTries is how often a transaction that conflicts is tried.
	maxWriteTries = 3
)

// ErrNotOpen says that Open has not succeeded.
var ErrNotOpen = errors.New("journal: not open")

// State says how far an order has come.
type State string

// The states of an entry.
const (
	// Open says that the order may have been sent and was not confirmed.
	Open State = "Open"
	// Done says that the order was carried out.
	Done State = "Done"
	// Refused says that the order was not carried out and will not be.
	Refused State = "Refused"
)

// Entry is one order in the journal.
type Entry struct {
	Number uint64
	Order  order.Order
	State  State
	// Reason says why the order was refused.
	Reason string
	// Written is when it was journalled, in Unix milliseconds, for people.
	Written clock.Millis
}

// Config configures a Journal. All fields must be set.
type Config struct {
	Table table.Client
	Clock clock.Clock
	// Scope is the region.
	Scope string
	// Holder names this daemon.
	Holder string
	// Guard returns a condition that holds as long as the lease with this
	// fencing number has not passed on, or an error if it has.
	Guard func(ctx context.Context, fence uint64) (table.Condition, error)
	// Keep is how many entries are kept at least.
	Keep uint64
}

// Journal is the journal of one scope as seen by one holder. Its methods must
// not be called concurrently.
type Journal struct {
	cfg    Config
	fence  uint64
	last   uint64
	oldest uint64
}

// New returns a Journal that is not open.
func New(cfg Config) *Journal {
	return &Journal{cfg: cfg}
}

// RowKey returns the key of an entry's row.
func RowKey(scope string, number uint64) string {
	return fmt.Sprintf("%s%s/%020d", KeyPrefix, scope, number)
}

// Open begins to write under a fencing number and returns the entries of the
// journal. Transactions of earlier holders can no longer take effect, since the
// lease's row has changed.
func (j *Journal) Open(ctx context.Context, fence uint64) (entries []Entry, err error) {
	defer func() { err = oops.Wrapf(err, "open journal of %s", j.cfg.Scope) }()
	j.fence = 0
	if _, err := j.cfg.Guard(ctx, fence); err != nil {
		return nil, err
	}
	entries, err = Entries(ctx, j.cfg.Table, j.cfg.Scope)
	if err != nil {
		return nil, err
	}
	j.last, j.oldest = 0, 1
	if len(entries) > 0 {
		j.oldest = entries[0].Number
		j.last = entries[len(entries)-1].Number
	}
	j.fence = fence
	return entries, nil
}

// Entries reads the journal of a scope.
func Entries(ctx context.Context, client table.Client, scope string) (entries []Entry, err error) {
	defer func() { err = oops.Wrapf(err, "read orders of %s", scope) }()
	after := ""
	for {
		rows, err := client.Scan(ctx, KeyPrefix+scope+"/", after, scanPage)
		if err != nil {
			return nil, err
		}
		for _, row := range rows {
			var entry Entry
			if err := msgpack.Unmarshal(row.Value, &entry); err != nil {
				return nil, err
			}
			entries = append(entries, entry)
		}
		if len(rows) < scanPage {
			return entries, nil
		}
		after = rows[len(rows)-1].Key
	}
}

// Append journals new orders in one transaction. It sets their ID, Scope, Fence
// and Holder, and the EndpointID of starts that have none to a name that is never
// used again. After an error none of them may be sent. Unless the error is
// table.ErrUnavailable the journal must be opened again, since they may have been
// written, or may yet be; they are then found open now or by the next holder.
func (j *Journal) Append(ctx context.Context, orders []order.Order) (entries []Entry, err error) {
	defer func() { err = oops.Wrapf(err, "journal orders of %s", j.cfg.Scope) }()
	if j.fence == 0 {
		return nil, ErrNotOpen
	}
	now := j.cfg.Clock.Wall()
	for i, given := range orders {
		number := j.last + uint64(i) + 1
		given.ID = fmt.Sprintf("%s/%d", j.cfg.Scope, number)
		given.Scope = j.cfg.Scope
		if given.Kind == order.Start && given.EndpointID == "" {
			given.EndpointID = endpointName(given.Backend, j.cfg.Scope, number)
		}
		given.Fence = j.fence
		given.Holder = j.cfg.Holder
		entries = append(entries, Entry{Number: number, Order: given, State: Open, Written: now})
	}
	if err := j.write(ctx, entries, true); err != nil {
		return nil, err
	}
	j.last += uint64(len(entries))
	return entries, nil
}

// endpointName returns a name that can stand in a path and a host name.
func endpointName(backend, scope string, number uint64) string {
	plain := strings.NewReplacer("/", "-", ":", "-").Replace(backend)
	return fmt.Sprintf("%s-%s-%d", plain, scope, number)
}

// Close records what became of orders, in one transaction.
func (j *Journal) Close(ctx context.Context, entries []Entry) (err error) {
	defer func() { err = oops.Wrapf(err, "close orders of %s", j.cfg.Scope) }()
	if j.fence == 0 {
		return ErrNotOpen
	}
	return j.write(ctx, entries, false)
}

// write executes one transaction. It is repeated when it conflicted, since the
// lease's row also changes with each renewal.
func (j *Journal) write(ctx context.Context, entries []Entry, absent bool) (err error) {
	for range maxWriteTries {
		err = j.writeOnce(ctx, entries, absent)
		if !errors.Is(err, table.ErrConflict) {
			break
		}
	}
	return err
}

func (j *Journal) writeOnce(ctx context.Context, entries []Entry, absent bool) error {
	guard, err := j.cfg.Guard(ctx, j.fence)
	if err != nil {
		return err
	}
	txn := table.Txn{Conditions: []table.Condition{guard}}
	for _, entry := range entries {
		value, err := msgpack.Marshal(entry)
		if err != nil {
			return err
		}
		key := RowKey(j.cfg.Scope, entry.Number)
		if absent {
			txn.Conditions = append(txn.Conditions, table.Condition{Key: key})
		}
		txn.Writes = append(txn.Writes, table.Write{Key: key, Value: value})
	}
	return j.cfg.Table.Commit(ctx, txn)
}

// Prune deletes the oldest entries beyond Keep, as far as they are not open.
func (j *Journal) Prune(ctx context.Context) (err error) {
	defer func() { err = oops.Wrapf(err, "prune orders of %s", j.cfg.Scope) }()
	if j.fence == 0 || j.last < j.oldest+j.cfg.Keep+deletePage {
		return nil
	}
	rows, err := j.cfg.Table.Scan(ctx, KeyPrefix+j.cfg.Scope+"/", "", deletePage)
	if err != nil {
		return err
	}
	var txn table.Txn
	for _, row := range rows {
		var entry Entry
		if err := msgpack.Unmarshal(row.Value, &entry); err != nil {
			return err
		}
		if entry.State == Open || entry.Number+j.cfg.Keep > j.last {
			break
		}
		txn.Conditions = append(txn.Conditions, table.Condition{Key: row.Key, Version: row.Version})
		txn.Writes = append(txn.Writes, table.Write{Key: row.Key, Delete: true})
		j.oldest = entry.Number + 1
	}
	if len(txn.Writes) == 0 {
		return nil
	}
	return j.cfg.Table.Commit(ctx, txn)
}
