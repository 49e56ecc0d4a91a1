package table

import (
	"context"
	"errors"
	"maps"
	"sort"
	"strings"
	"sync"
)

// Memory is an in-memory table for tests, examples and stand-ins. SetFault
// injects faults.
type Memory struct {
	mu          sync.Mutex
	rows        map[string]Row
	nextVersion uint64
	era         uint64
	fault       Fault
	commits     int
	reads       int
}

// Fault describes the faults that a Memory injects.
type Fault struct {
	// Down makes every call fail with ErrUnavailable.
	Down bool
	// LoseAnswers makes Commit take effect and return ErrUnknown.
	LoseAnswers bool
	// DropCommits makes Commit have no effect and return ErrUnknown.
	DropCommits bool
	// MaxValueBytes makes Commit fail with ErrTooLarge when a value is
	// longer; 0 means no limit.
	MaxValueBytes int
}

// ErrTooLarge is returned for a value that exceeds Fault.MaxValueBytes.
var ErrTooLarge = errors.New("value is too large")

// NewMemory returns an empty table.
func NewMemory() *Memory {
	return &Memory{rows: make(map[string]Row), nextVersion: 1}
}

// SetFault replaces the injected faults.
func (m *Memory) SetFault(fault Fault) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fault = fault
}

// Copy is what a Memory held at one time.
type Copy struct {
	rows        map[string]Row
	nextVersion uint64
}

// Copy returns a copy of the table.
func (m *Memory) Copy() Copy {
	m.mu.Lock()
	defer m.mu.Unlock()
	return Copy{rows: maps.Clone(m.rows), nextVersion: m.nextVersion}
}

// Restore brings the table back from a copy, in a later era. The first era is 0, in which
// readers take it for a table that never comes back.
func (m *Memory) Restore(c Copy) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.rows, m.nextVersion = maps.Clone(c.rows), c.nextVersion
	m.era++
}

// Counts returns how many transactions and reads the table has served.
func (m *Memory) Counts() (commits, reads int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.commits, m.reads
}

// Client returns a Client that uses m.
func (m *Memory) Client() Client {
	return Client{Get: m.get, Scan: m.scan, Commit: m.commit}
}

func (m *Memory) get(ctx context.Context, key string) (Row, error) {
	if err := ctx.Err(); err != nil {
		return Row{}, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.fault.Down {
		return Row{}, ErrUnavailable
	}
	m.reads++
	row := m.rows[key]
	row.Key, row.Era = key, m.era
	return row, nil
}

func (m *Memory) scan(ctx context.Context, prefix, after string, limit int) ([]Row, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.fault.Down {
		return nil, ErrUnavailable
	}
	m.reads++
	var rows []Row
	for key, row := range m.rows {
		if strings.HasPrefix(key, prefix) && key > after {
			rows = append(rows, row)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	if len(rows) > limit {
		rows = rows[:limit]
	}
	return rows, nil
}

func (m *Memory) commit(ctx context.Context, txn Txn) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.fault.Down {
		return ErrUnavailable
	}
	if m.fault.DropCommits {
		return ErrUnknown
	}
	for _, condition := range txn.Conditions {
		if m.rows[condition.Key].Version != condition.Version {
			return ErrConflict
		}
	}
	for _, write := range txn.Writes {
		if maxBytes := m.fault.MaxValueBytes; maxBytes > 0 && len(write.Value) > maxBytes {
			return ErrTooLarge
		}
	}
	for _, write := range txn.Writes {
		m.apply(write)
	}
	m.commits++
	switch {
	case m.fault.LoseAnswers:
		return ErrUnknown
	case len(txn.Conditions) > 0 && txn.Era != m.era:
		return ErrEraChanged
	}
	return nil
}

func (m *Memory) apply(write Write) {
	if write.Delete {
		delete(m.rows, write.Key)
		return
	}
	value := append([]byte(nil), write.Value...)
	m.rows[write.Key] = Row{Key: write.Key, Value: value, Version: m.nextVersion}
	m.nextVersion++
}
