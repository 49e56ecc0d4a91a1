package changelog

import (
	"bytes"
	"compress/flate"
	"context"
	"crypto/sha256"
	"errors"
	"fmt"

	"github.com/samber/oops"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/banyanshift/banyanshift/coord/table"
)

// tailPageSize is the number of changes that Load reads per call of Tail.
const tailPageSize = 500

// ErrSnapshotCorrupted is returned when the digest of a stored snapshot does not
// match.
var ErrSnapshotCorrupted = errors.New("changelog: snapshot is corrupted")

// snapshotRow is the value of the row that points to the newest snapshot.
type snapshotRow struct {
	Sequence uint64
	Object   string
	Digest   [sha256.Size]byte
}

func (l *Log) snapshotKey() string { return l.config.Prefix + "/Snapshot" }

// SaveSnapshot stores the snapshot and makes it the newest, unless the stored
// one is as new or newer. Several processes may save concurrently: object names contain
// a digest of the content, and the pointer to the newest only moves forward.
func (l *Log) SaveSnapshot(ctx context.Context, snapshot Snapshot) (err error) {
	defer func() { err = oops.Wrapf(err, "save snapshot %d", snapshot.Sequence) }()
	row, newest, err := l.readSnapshotRow(ctx)
	if err != nil {
		return err
	}
	if newest.Sequence >= snapshot.Sequence {
		return nil
	}
	data, err := EncodeSnapshot(snapshot)
	if err != nil {
		return err
	}
	pointer := snapshotRow{Sequence: snapshot.Sequence, Digest: sha256.Sum256(data)}
	pointer.Object = fmt.Sprintf("%s-%020d-%x", l.snapshotKey(), snapshot.Sequence, pointer.Digest[:8])
	if err := l.config.Objects.Put(ctx, pointer.Object, data); err != nil {
		return err
	}
	value, err := msgpack.Marshal(pointer)
	if err != nil {
		return err
	}
	return l.config.Table.Commit(ctx, table.Txn{
		Conditions: []table.Condition{{Key: row.Key, Version: row.Version}},
		Writes:     []table.Write{{Key: row.Key, Value: value}},
	})
}

// SnapshotSequence returns the sequence number of the newest snapshot, 0 for
// none.
func (l *Log) SnapshotSequence(ctx context.Context) (sequence uint64, err error) {
	defer func() { err = oops.Wrapf(err, "read snapshot pointer") }()
	_, newest, err := l.readSnapshotRow(ctx)
	return newest.Sequence, err
}

func (l *Log) readSnapshotRow(ctx context.Context) (table.Row, snapshotRow, error) {
	row, err := l.config.Table.Get(ctx, l.snapshotKey())
	if err != nil {
		return table.Row{}, snapshotRow{}, err
	}
	newest, err := decodeRow[snapshotRow](row)
	return row, newest, err
}

// LoadSnapshot returns the newest snapshot, or an empty one when there is none.
func (l *Log) LoadSnapshot(ctx context.Context) (snapshot Snapshot, err error) {
	defer func() { err = oops.Wrapf(err, "load snapshot") }()
	_, newest, err := l.readSnapshotRow(ctx)
	if err != nil || newest.Sequence == 0 {
		return Snapshot{}, err
	}
	data, err := l.config.Objects.Get(ctx, newest.Object)
	if err != nil {
		return Snapshot{}, err
	}
	if sha256.Sum256(data) != newest.Digest {
		return Snapshot{}, ErrSnapshotCorrupted
	}
	return DecodeSnapshot(data)
}

// EncodeSnapshot encodes a snapshot in the compressed form in which it is stored.
func EncodeSnapshot(snapshot Snapshot) (data []byte, err error) {
	defer func() { err = oops.Wrapf(err, "encode snapshot") }()
	var buf bytes.Buffer
	compressor, err := flate.NewWriter(&buf, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if err := msgpack.NewEncoder(compressor).Encode(snapshot); err != nil {
		return nil, err
	}
	if err := compressor.Close(); err != nil {
		return nil, err
	}
	return buf.Bytes(), nil
}

// DecodeSnapshot is the inverse of EncodeSnapshot.
func DecodeSnapshot(data []byte) (snapshot Snapshot, err error) {
	defer func() { err = oops.Wrapf(err, "decode snapshot") }()
	decompressor := flate.NewReader(bytes.NewReader(data))
	err = msgpack.NewDecoder(decompressor).Decode(&snapshot)
	return snapshot, err
}

// Load returns the newest snapshot and all changes that follow it. When the
// snapshot cannot be read, it returns an empty snapshot and the whole log.
func (l *Log) Load(ctx context.Context) (snapshot Snapshot, tail []Change, err error) {
	defer func() { err = oops.Wrapf(err, "load log") }()
	snapshot, err = l.LoadSnapshot(ctx)
	if err != nil {
		snapshot = Snapshot{}
	}
	after := snapshot.Sequence
	for {
		page, err := l.Tail(ctx, after, tailPageSize)
		if err != nil {
			return Snapshot{}, nil, err
		}
		tail = append(tail, page...)
		after += uint64(len(page))
		if len(page) < tailPageSize {
			return snapshot, tail, nil
		}
	}
}
