package fleet

import (
	"context"

	"github.com/samber/oops"
	"github.com/sirupsen/logrus"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/coord/packed"
	"github.com/banyanshift/banyanshift/coord/table"
	"github.com/banyanshift/banyanshift/internal/peer/topology"
)

const (
	rowPrefix = "VM/"
	// maxScannedRows and maxWrittenRows limit one call.
	maxScannedRows = 500
	maxWrittenRows = 50
	// tableCheckInterval is the time between two decisions whether to use the table.
	tableCheckInterval = 300 * clock.Millisecond
	// firstSyncDelay is the time after the start at which a root uses the table: by
	// then the daemons that started with it have found it.
	firstSyncDelay = 2500 * clock.Millisecond
	// syncInterval is the time between two accesses of a root.
	syncInterval = 20 * clock.Second
	// minLackDelay and maxLackDelay bound the growing time between two accesses of a
	// daemon that lacks contact.
	minLackDelay = 500 * clock.Millisecond
	maxLackDelay = 16 * clock.Second
)

// registrar decides when this daemon uses the table of daemons. Most daemons never
// do: they find others through their seeds, and the root of their failure domain
// writes their rows.
type registrar struct {
	startedAt clock.Millis
	lastSync  clock.Millis
	synced    bool
	// lackDelay is the current delay between accesses for lack of contact.
	lackDelay clock.Millis
}

// due reports whether to access the table now.
func (r *registrar) due(now clock.Millis, isRoot, lacksContact bool) bool {
	if !lacksContact {
		r.lackDelay = minLackDelay
	}
	since := now - max(r.startedAt, r.lastSync)
	switch {
	case lacksContact && since >= r.lackDelay:
		r.lackDelay = min(2*r.lackDelay, maxLackDelay)
		return true
	case !isRoot:
		return false
	case now-r.startedAt >= firstSyncDelay && r.lastSync < r.startedAt+firstSyncDelay:
		return since >= minLackDelay
	}
	return r.synced && since >= syncInterval
}

// tableLoop finds daemons in the table, and registers those that follow this one.
func (f *Fleet) tableLoop(ctx context.Context) error {
	now := f.config.Clock.Now()
	r := &registrar{startedAt: now, lackDelay: minLackDelay}
	for {
		if err := f.config.Clock.Sleep(ctx, tableCheckInterval); err != nil {
			return err
		}
		now = f.config.Clock.Now()
		f.mu.Lock()
		isRoot, lacks := f.view.IsRoot(now), f.view.LacksContact(now)
		f.mu.Unlock()
		if !r.due(now, isRoot, lacks) {
			continue
		}
		r.lastSync = now
		if err := f.syncTable(ctx); err != nil {
			eventRegisterFailed.Log(f.config.Logger, logrus.Fields{"Error": err.Error()})
			continue
		}
		r.synced = true
	}
}

// syncTable adds the daemons of the rows to the view. A root then writes the rows
// that are missing or differ, and deletes those of daemons that are gone.
func (f *Fleet) syncTable(ctx context.Context) (err error) {
	defer func() { err = oops.Wrapf(err, "synchronize the table of daemons") }()
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout.Duration())
	defer cancel()
	rows, err := f.scanRows(ctx)
	if err != nil {
		return err
	}
	f.addRows(rows)
	now := f.config.Clock.Now()
	f.mu.Lock()
	isRoot := f.view.IsRoot(now)
	writes := f.missingRows(rows)
	f.mu.Unlock()
	if !isRoot || len(writes) == 0 {
		return nil
	}
	return f.config.Table.Commit(ctx, table.Txn{Writes: writes})
}

// scanRows returns the VMs of all rows by key.
func (f *Fleet) scanRows(ctx context.Context) (vms map[string]topology.VM, err error) {
	vms = make(map[string]topology.VM)
	after := ""
	for {
		rows, err := f.config.Table.Scan(ctx, rowPrefix, after, maxScannedRows)
		if err != nil {
			return nil, err
		}
		for _, row := range rows {
			var vm topology.VM
			after = row.Key
			if err := packed.Unmarshal(row.Value, &vm); err != nil {
				f.config.Logger.WithError(err).WithField("Key", row.Key).Warn("row of a daemon could not be decoded")
				continue
			}
			vms[row.Key] = vm
		}
		if len(rows) < maxScannedRows {
			return vms, nil
		}
	}
}

// addRows adds the VMs in random order, so that daemons that keep only some of them
// keep different ones.
func (f *Fleet) addRows(rows map[string]topology.VM) {
	vms := make([]topology.VM, 0, len(rows))
	for _, vm := range rows {
		vms = append(vms, vm)
	}
	f.config.Rand.Shuffle(len(vms), func(i, j int) { vms[i], vms[j] = vms[j], vms[i] })
	now := f.config.Clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, vm := range vms {
		f.view.Add(now, vm)
	}
}

// missingRows returns the writes that bring the rows of this daemon's failure domain
// up to date, as many as fit into one call. The lock must be held.
func (f *Fleet) missingRows(rows map[string]topology.VM) (writes []table.Write) {
	for key, vm := range rows {
		if vm.FailureDomain == f.config.Self.FailureDomain && f.view.WasRemoved(vm.Address) && len(writes) < maxWrittenRows {
			writes = append(writes, table.Write{Key: key, Delete: true})
		}
	}
	for _, vm := range f.view.SubscribedVMs() {
		key := rowPrefix + vm.ID
		if rows[key] == vm || len(writes) >= maxWrittenRows {
			continue
		}
		value, err := msgpack.Marshal(vm)
		if err != nil {
			f.config.Logger.WithError(err).WithField("Key", key).Warn("row of a daemon could not be encoded")
			continue
		}
		writes = append(writes, table.Write{Key: key, Value: value})
	}
	return writes
}
