package window

import (
	"slices"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/banyanshift/banyanshift/coord/batch"
	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/coord/packed"
	"github.com/banyanshift/banyanshift/coord/table"
)

// State records the last closed window and the batches that have been counted.
type State struct {
	// Number is the number of the last window.
	Number uint64
	// End is the end of the last window, in Unix milliseconds.
	End clock.Millis
	// Counted holds the counted batches by incarnation.
	Counted map[string]CountedSequences
}

// CountedSequences is a set of sequence numbers: all up to Through except Missing.
type CountedSequences struct {
	Through uint64
	Missing []uint64
	// Window is the number of the last window that counted a batch of the
	// incarnation.
	Window uint64
}

// Has reports whether a sequence number was counted.
func (c CountedSequences) Has(sequence uint64) bool {
	return sequence <= c.Through && !slices.Contains(c.Missing, sequence)
}

// With returns a copy of c with a sequence number added.
func (c CountedSequences) With(sequence uint64) CountedSequences {
	missing := slices.Clone(c.Missing)
	for next := c.Through + 1; next < sequence; next++ {
		missing = append(missing, next)
	}
	c.Missing = slices.DeleteFunc(missing, func(m uint64) bool { return m == sequence })
	c.Through = max(c.Through, sequence)
	return c
}

// closePlan holds the writes that close a window.
type closePlan struct {
	next State
	// payloads are the payloads of the batches that the window counts.
	payloads [][]byte
	// obsoleteKeys are the keys of the batch rows to delete once the window
	// is closed: those that it counts and those that were counted before.
	obsoleteKeys []string
}

// planClose selects the batch rows that the next window counts. It drops
// incarnations without a batch in the last retention windows.
func (s State) planClose(rows []table.Row, prefix string, end clock.Millis, retention uint64) closePlan {
	p := closePlan{next: State{Number: s.Number + 1, End: max(end, s.End), Counted: make(map[string]CountedSequences, len(s.Counted))}}
	for incarnation, counted := range s.Counted {
		if counted.Window+retention >= s.Number {
			p.next.Counted[incarnation] = counted
		}
	}
	for _, row := range rows {
		incarnation, sequence, err := batch.ParseRowKey(prefix, row.Key)
		if err != nil {
			continue
		}
		p.obsoleteKeys = append(p.obsoleteKeys, row.Key)
		counted := p.next.Counted[incarnation]
		if counted.Has(sequence) {
			continue
		}
		counted = counted.With(sequence)
		counted.Window = p.next.Number
		p.next.Counted[incarnation] = counted
		p.payloads = append(p.payloads, row.Value)
	}
	return p
}

func decodeState(value []byte) (state State, err error) {
	if value == nil {
		return State{}, nil
	}
	err = packed.Unmarshal(value, &state)
	return state, err
}

func encodeState(state State) ([]byte, error) {
	return msgpack.Marshal(state)
}
