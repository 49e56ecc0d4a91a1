// Package journal stores the orders of a region in the table. Each order is
// written before it is sent, so that the next holder of the region's lease can
// complete the orders that the previous one started.
//
// The holder opens the journal under its fencing number. Every transaction is
// conditional on the row of the lease, so a former holder cannot write to the
// journal after the lease was acquired by another, however late its transaction
// arrives.
//
// Entries are numbered without gaps. The order's ID consists of the scope and the
// number, so an order has the same ID whichever daemon sends it again.
//
// # Usage
//
//	j := journal.New(journal.Config{Table: client, Scope: "sask-central", Holder: "vm-3", Guard: guard, Keep: 1000})
//	entries, err := j.Open(ctx, fence)
//	// complete the entries of state journal.Open first, then:
//	entries, err = j.Append(ctx, orders)
//	// send the orders and set the State of their entries, then:
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
	"github.com/banyanshift/banyanshift/coord/packed"
	"github.com/banyanshift/banyanshift/coord/table"
	"github.com/banyanshift/banyanshift/internal/platform/order"
)

// KeyPrefix starts the keys of all entries' rows.
const KeyPrefix = "Order/"

const (
	scanPageSize = 500
	// pruneBatch is the maximum number of entries deleted in one transaction.
	pruneBatch = 100
	// maxWriteTries limits the tries of a transaction that conflicts.
	maxWriteTries = 3
)

// ErrNotOpen means that Open has not succeeded.
var ErrNotOpen = errors.New("journal: not open")

// State is the state of an order.
type State string

// The states of an entry.
const (
	// Open means that the order may have been sent and has no confirmed result.
	Open State = "Open"
	// Done means that the order was carried out.
	Done State = "Done"
	// Refused means that the order was not carried out and will not be.
	Refused State = "Refused"
)

// Entry is one order in the journal.
type Entry struct {
	Number uint64
	Order  order.Order
	State  State
	// Reason is the cause of a refusal.
	Reason string
	// Written is the time of the entry in Unix milliseconds. It is only for
	// people to read.
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
	// Guard returns a condition that holds while the lease has this fencing
	// number, or an error if it has another.
	Guard func(ctx context.Context, fence uint64) (table.Condition, error)
	// Keep is the number of newest entries that Prune never deletes.
	Keep uint64
}

// Journal gives one holder access to the journal of one scope. Its methods must
// not be called concurrently.
type Journal struct {
	cfg Config
	// fence is the fencing number of Open; 0 if the journal is not open.
	fence uint64
	// newest and oldest are the numbers of the newest and oldest entries.
	newest uint64
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

// Open opens the journal for writing under a fencing number and returns its
// entries. Transactions of earlier holders can no longer take effect, since the
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
	j.newest, j.oldest = 0, 1
	if len(entries) > 0 {
		j.oldest = entries[0].Number
		j.newest = entries[len(entries)-1].Number
	}
	j.fence = fence
	return entries, nil
}

// Entries returns all entries of a scope's journal, oldest first.
func Entries(ctx context.Context, client table.Client, scope string) (entries []Entry, err error) {
	defer func() { err = oops.Wrapf(err, "read orders of %s", scope) }()
	after := ""
	for {
		rows, err := client.Scan(ctx, KeyPrefix+scope+"/", after, scanPageSize)
		if err != nil {
			return nil, err
		}
		for _, row := range rows {
			var entry Entry
			if err := packed.Unmarshal(row.Value, &entry); err != nil {
				return nil, err
			}
			entries = append(entries, entry)
		}
		if len(rows) < scanPageSize {
			return entries, nil
		}
		after = rows[len(rows)-1].Key
	}
}

// Append journals new orders in one transaction. It sets their ID, Scope, Fence
// and Holder, and gives start orders without an EndpointID a unique one. After an
// error, the caller must not send any of the orders. Unless the error is
// table.ErrUnavailable, the caller must also open the journal again, since the
// transaction may have taken effect or may yet do so. The orders are then found
// open by this holder or the next.
func (j *Journal) Append(ctx context.Context, orders []order.Order) (entries []Entry, err error) {
	defer func() { err = oops.Wrapf(err, "journal orders of %s", j.cfg.Scope) }()
	if j.fence == 0 {
		return nil, ErrNotOpen
	}
	now := j.cfg.Clock.Wall()
	for i, ord := range orders {
		number := j.newest + uint64(i) + 1
		ord.ID = fmt.Sprintf("%s/%d", j.cfg.Scope, number)
		ord.Scope = j.cfg.Scope
		if ord.Kind == order.Start && ord.EndpointID == "" {
			ord.EndpointID = endpointName(ord.Backend, j.cfg.Scope, number)
		}
		ord.Fence = j.fence
		ord.Holder = j.cfg.Holder
		entries = append(entries, Entry{Number: number, Order: ord, State: Open, Written: now})
	}
	if err := j.write(ctx, entries, true); err != nil {
		return nil, err
	}
	j.newest += uint64(len(entries))
	return entries, nil
}

// endpointName returns a name that is valid in a URL path and in a host name.
func endpointName(backend, scope string, number uint64) string {
	plain := strings.NewReplacer("/", "-", ":", "-").Replace(backend)
	return fmt.Sprintf("%s-%s-%d", plain, scope, number)
}

// Close writes the final states of entries in one transaction.
func (j *Journal) Close(ctx context.Context, entries []Entry) (err error) {
	defer func() { err = oops.Wrapf(err, "close orders of %s", j.cfg.Scope) }()
	if j.fence == 0 {
		return ErrNotOpen
	}
	return j.write(ctx, entries, false)
}

// write commits entries in one transaction; mustBeNew requires that none exists
// yet. It retries conflicts, since each renewal also changes the lease's row.
func (j *Journal) write(ctx context.Context, entries []Entry, mustBeNew bool) (err error) {
	for range maxWriteTries {
		err = j.writeOnce(ctx, entries, mustBeNew)
		if !errors.Is(err, table.ErrConflict) {
			break
		}
	}
	return err
}

func (j *Journal) writeOnce(ctx context.Context, entries []Entry, mustBeNew bool) error {
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
		if mustBeNew {
			txn.Conditions = append(txn.Conditions, table.Condition{Key: key})
		}
		txn.Writes = append(txn.Writes, table.Write{Key: key, Value: value})
	}
	return j.cfg.Table.Commit(ctx, txn)
}

// Prune deletes up to pruneBatch of the oldest entries beyond Keep. It stops
// at the first open entry.
func (j *Journal) Prune(ctx context.Context) (err error) {
	defer func() { err = oops.Wrapf(err, "prune orders of %s", j.cfg.Scope) }()
	if j.fence == 0 || j.newest < j.oldest+j.cfg.Keep+pruneBatch {
		return nil
	}
	rows, err := j.cfg.Table.Scan(ctx, KeyPrefix+j.cfg.Scope+"/", "", pruneBatch)
	if err != nil {
		return err
	}
	var txn table.Txn
	for _, row := range rows {
		var entry Entry
		if err := packed.Unmarshal(row.Value, &entry); err != nil {
			return err
		}
		if entry.State == Open || entry.Number+j.cfg.Keep > j.newest {
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
