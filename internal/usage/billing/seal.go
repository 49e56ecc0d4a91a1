package billing

import (
	"context"
	"errors"
	"maps"
	"strconv"

	"github.com/sirupsen/logrus"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/banyanshift/banyanshift/coord/packed"
	"github.com/banyanshift/banyanshift/coord/table"
	"github.com/banyanshift/banyanshift/internal/usage/tally"
)

// windowPrefix starts the keys of the rows of sealed windows.
const windowPrefix = "Usage/Window/"

// errNotConfirmed means that the row of a window was written and must be read again.
var errNotConfirmed = errors.New("billing: seal is not confirmed yet")

// sealRow is the row of a window whose content is decided.
type sealRow struct {
	Number int64
	Counts map[string]int64
	// Unconfirmed is set until a holder has read the row in the era in which its content was
	// decided. Only confirmed rows are reported. Era is that era.
	Unconfirmed bool   `msgpack:",omitempty"`
	Era         uint64 `msgpack:",omitempty"`
}

func (r sealRow) window() Window {
	return Window{Number: r.Number, Counts: r.Counts}
}

// seal returns the sealed window. It seals the window if no daemon has done so yet; a window
// without counts gets no row, and one that is left out has no counts.
func (t *termRun) seal(ctx context.Context, number int64) (window Window, err error) {
	window, err = t.advanceSeal(ctx, number)
	if errors.Is(err, errNotConfirmed) {
		return t.advanceSeal(ctx, number)
	}
	return window, err
}

// advanceSeal reads the row of a window, and writes or confirms it if needed.
func (t *termRun) advanceSeal(ctx context.Context, number int64) (window Window, err error) {
	ctx, cancel := context.WithTimeout(ctx, (2 * callTimeout).Duration())
	defer cancel()
	row, err := t.config.Table.Get(ctx, windowPrefix+strconv.FormatInt(number, 10))
	if err != nil {
		return Window{}, err
	}
	if row.Version != 0 {
		return t.readSeal(ctx, row, number)
	}
	if err := t.learnEra(ctx, row.Era); err != nil {
		return Window{}, err
	}
	window, certain := t.finalCounts(number)
	if !certain {
		return t.leaveOut(window), nil
	}
	if len(window.Counts) == 0 {
		return window, nil
	}
	return t.propose(ctx, row, window)
}

// readSeal returns the window that a row seals. If daemons know it with other counts, either
// may have been reported.
func (t *termRun) readSeal(ctx context.Context, row table.Row, number int64) (window Window, err error) {
	var sealed sealRow
	if err := packed.Unmarshal(row.Value, &sealed); err != nil {
		return Window{}, err
	}
	window = sealed.window()
	seal, known := t.config.Tally.Sealed(number)
	switch {
	case known && !maps.Equal(seal.Counts, window.Counts):
		return t.leaveOut(window), nil
	case !sealed.Unconfirmed:
		t.config.Tally.AddSeal(tally.Seal{Window: number, Counts: window.Counts})
		return window, nil
	case sealed.Era != row.Era && !known:
		return t.leaveOut(window), nil
	}
	return window, t.confirm(ctx, row, window)
}

// propose writes the row of a window, which was missing when it was read.
func (t *termRun) propose(ctx context.Context, missing table.Row, window Window) (Window, error) {
	err := t.writeSeal(ctx, missing, sealRow{Number: window.Number, Counts: window.Counts, Unconfirmed: true, Era: missing.Era})
	if err != nil {
		return Window{}, err
	}
	return Window{}, errNotConfirmed
}

// confirm writes the final row of a window. From then on it may be reported.
func (t *termRun) confirm(ctx context.Context, row table.Row, window Window) error {
	if err := t.writeSeal(ctx, row, sealRow{Number: window.Number, Counts: window.Counts}); err != nil {
		return err
	}
	t.config.Tally.AddSeal(tally.Seal{Window: window.Number, Counts: window.Counts})
	eventSealed.Log(t.config.Logger, logrus.Fields{"Window": window.Number, "Fence": t.fence, "Counts": window.Counts})
	return nil
}

// writeSeal replaces the row of a window, if neither it nor the lease has changed.
func (t *termRun) writeSeal(ctx context.Context, read table.Row, sealed sealRow) error {
	condition, err := t.config.Guard(ctx, t.fence)
	if err != nil {
		return err
	}
	value, err := msgpack.Marshal(sealed)
	if err != nil {
		return err
	}
	return t.config.Table.Commit(ctx, table.Txn{
		Conditions: []table.Condition{condition, {Key: read.Key, Version: read.Version}},
		Writes:     []table.Write{{Key: read.Key, Value: value}},
		Era:        read.Era,
	})
}

// finalCounts returns the content to seal a window with that has no row. A window that was
// sealed before the table lost its row gets the same content again. The content is not certain
// if the window may have been sealed with another one.
func (t *termRun) finalCounts(number int64) (window Window, certain bool) {
	if seal, known := t.config.Tally.Sealed(number); known {
		return Window{Number: number, Counts: seal.Counts}, true
	}
	return Window{Number: number, Counts: t.config.Tally.Sum(number)}, number >= t.era.First
}

// leaveOut records that a window is not reported. It returns the window without counts.
func (t *termRun) leaveOut(window Window) Window {
	leftOutWindows.Add(1)
	eventLeftOut.Log(t.config.Logger, logrus.Fields{
		"Window": window.Number, "Fence": t.fence, "Counts": window.Counts, "Era": t.era.Era, "FirstCertain": t.era.First,
	})
	return Window{Number: window.Number}
}
