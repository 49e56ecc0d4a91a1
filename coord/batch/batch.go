// Package batch replicates small batches of records to peers until they are
// stored in a table, and writes each batch to the table exactly once.
//
// A batch is identified by the incarnation of the process that made it and a
// sequence number, which together form the key of its row. The owner keeps the
// batch in memory, sends copies to peers that are unlikely to fail together with
// it, and writes several batches to the table per transaction. When the owner
// dies, each peer that holds copies writes them under the same identity. The
// first writer creates the row; later writers find that it exists. A peer that
// wrongly assumes that the owner is dead does no harm. While the table is
// unavailable, holders of a dead owner's copies forward them to other peers, and
// a holder that shuts down forwards all its copies.
//
// A consumer that deletes rows must remember the identities that it has
// consumed, since a batch may be written again afterwards. Package window does.
//
// A process that dies loses only the records that it has not yet cut into a
// batch and copied: those of at most one copy interval and one message.
//
// # Usage
//
//	owner := batch.NewOwner(batch.OwnerConfig{
//		Table: client, Clock: clk, Prefix: "Usage/Batch/", Incarnation: "sask-central/vm-3.81f2",
//		NextPayload: meter.TakePayload, Peers: peers, Copy: send, MinCutInterval: 250, BytesPerSecond: 1500, SaveInterval: 10 * clock.Second,
//	})
//	go owner.Run(ctx)
//
//	copies := batch.NewCopyStore(batch.CopyStoreConfig{Table: client, Clock: clk, Prefix: "Usage/Batch/", Alive: alive,
//		GracePeriod: 10 * clock.Second, SilenceTimeout: clock.Minute, MaxBytes: 16 << 20, MaxBatchesPerSave: 200, CallTimeout: 2 * clock.Second})
//	go copies.Run(ctx)
//	// for each copy request that arrives from a peer:
//	err := copies.Put(request)
package batch

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// ErrFull is returned when the memory limit for copies is reached.
var ErrFull = errors.New("batch: no memory left for copies")

// Batch is one batch of records with an opaque payload.
type Batch struct {
	Incarnation string
	// Sequence counts the batches of an incarnation from 1.
	Sequence uint64
	Payload  []byte
}

// RowKey returns the key of the batch's row.
func (b Batch) RowKey(prefix string) string {
	return fmt.Sprintf("%s%s/%020d", prefix, b.Incarnation, b.Sequence)
}

// ParseRowKey returns the identity of the batch that is stored under key.
func ParseRowKey(prefix, key string) (incarnation string, sequence uint64, err error) {
	name, found := strings.CutPrefix(key, prefix)
	slash := strings.LastIndexByte(name, '/')
	if !found || slash < 0 {
		return "", 0, fmt.Errorf("batch: %q is not the row key of a batch", key)
	}
	sequence, err = strconv.ParseUint(name[slash+1:], 10, 64)
	return name[:slash], sequence, err
}

// CopyRequest asks a peer to keep copies of an owner's batches.
type CopyRequest struct {
	Incarnation string
	// SavedThrough is the sequence up to which all batches are in the table,
	// so that their copies can be dropped.
	SavedThrough uint64
	// Sequences and Payloads describe the batches to copy.
	Sequences []uint64
	Payloads  [][]byte
}

func (p *CopyRequest) add(b Batch) {
	p.Sequences = append(p.Sequences, b.Sequence)
	p.Payloads = append(p.Payloads, b.Payload)
}
