// Package batch keeps small batches of records safe between the moment at which
// a process makes them and the moment at which they are in a table, and brings
// each into the table exactly once.
//
// A batch is identified by the incarnation of the process that made it and a
// sequence number, which together are the key of its row. The owner keeps it in
// memory, sends copies to peers that are unlikely to fail together with it, and
// writes it to the table in transactions that carry several batches. When the
// owner dies, each peer that has copies writes them under the same identity.
// Whoever comes first writes the row; for the others it is there already. It
// does no harm when a peer wrongly takes the owner for dead. While the table does
// not answer, holders of a dead owner's copies pass them on to other peers, and a
// holder that ends passes on all that it has.
//
// Whoever consumes rows and deletes them must remember which identities it has
// consumed, since a batch may be written again after that. Package window does.
//
// What is lost when a process dies is what it has not yet cut into a batch and
// copied: at most the copy interval and one message.
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
//	// for each parcel that arrives from a peer:
//	err := copies.Put(parcel)
package batch

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// ErrFull says that the bound on the memory for copies is reached.
var ErrFull = errors.New("batch: no memory left for copies")

// Batch is one batch of records. Its payload is opaque.
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

// ParseRowKey returns the identity that a row's key stands for.
func ParseRowKey(prefix, key string) (incarnation string, sequence uint64, err error) {
	name, found := strings.CutPrefix(key, prefix)
	slash := strings.LastIndexByte(name, '/')
	if !found || slash < 0 {
		return "", 0, fmt.Errorf("batch: %q is no key of a batch", key)
	}
	sequence, err = strconv.ParseUint(name[slash+1:], 10, 64)
	return name[:slash], sequence, err
}

// CopyRequest is what an owner sends to a peer.
type CopyRequest struct {
	Incarnation string
	// SavedThrough says that all batches up to this sequence are in the
	// table, so that their copies can be forgotten.
	SavedThrough uint64
	// Sequences and Payloads are the batches to be copied.
	Sequences []uint64
	Payloads  [][]byte
}

func (p *CopyRequest) add(b Batch) {
	p.Sequences = append(p.Sequences, b.Sequence)
	p.Payloads = append(p.Payloads, b.Payload)
}
