package billing_test

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	logtest "github.com/sirupsen/logrus/hooks/test"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/coord/lease"
	"github.com/banyanshift/banyanshift/coord/table"
	"github.com/banyanshift/banyanshift/internal/order/leader"
	"github.com/banyanshift/banyanshift/internal/usage/billing"
	"github.com/banyanshift/banyanshift/internal/usage/tally"
)

// The lease of the simulated daemons, as gateways have it.
const (
	simLeaseKey       = "Lease/Duties"
	simLeaseTTL       = 2 * clock.Second
	simSettleTime     = 300 * clock.Millisecond
	simReacquireDelay = 3 * clock.Second
)

// simFleet is a fleet of daemons that bill usage. It runs on the fake clock of a synctest
// bubble, which starts at the time of day epoch.
type simFleet struct {
	t     *testing.T
	epoch time.Time
	table *table.Memory
	// lateWrites is how often a write is not answered and performed some seconds later.
	lateWrites float64

	mu      sync.Mutex
	rng     *rand.Rand
	vms     []*simDaemon
	reports map[int64]map[string]int64
	// holders holds the VM that used each fence.
	holders map[uint64]string
	history []string
	copies  []table.Copy
	away    bool
}

// simDaemon is one process of a VM.
type simDaemon struct {
	fleet  *simFleet
	vm     string
	skew   clock.Millis
	clock  clock.Clock
	tally  *tally.Tally
	eras   *billing.EraWatch
	lease  *lease.Lease
	runner *leader.Runner
	cancel context.CancelFunc
	tasks  sync.WaitGroup

	mu     sync.Mutex
	dead   bool
	frozen chan struct{}
	// cutOff is set while other daemons do not reach this one.
	cutOff bool
	// heardFence is the highest fence that another daemon told this one.
	heardFence uint64
}

var errDead = errors.New("the process has ended")

// simCopyInterval is the time between two copies of the table, and simMaxCopies how many are
// kept.
const (
	simCopyInterval = 100 * time.Millisecond
	simMaxCopies    = 80
)

// newSimFleet starts a fleet of VMs whose times of day are off by skews. A share of the writes
// to the table is late.
func newSimFleet(ctx context.Context, t *testing.T, seed uint64, lateWrites float64, skews ...clock.Millis) *simFleet {
	f := &simFleet{
		t: t, epoch: time.Now(), table: table.NewMemory(), rng: rand.New(rand.NewPCG(seed, 1)), lateWrites: lateWrites,
		reports: make(map[int64]map[string]int64), holders: make(map[uint64]string),
	}
	if seed%2 == 1 {
		f.table.Restore(f.table.Copy()) // The table counts its eras from 0 or from 1.
	}
	for n, skew := range skews {
		started := f.start(fmt.Sprint("vm-", n), skew, true)
		f.mu.Lock()
		f.vms = append(f.vms, started)
		f.mu.Unlock()
	}
	go f.keepCopies(ctx)
	return f
}

// start starts a process.
func (f *simFleet) start(vm string, skew clock.Millis, firstStart bool) *simDaemon {
	d := &simDaemon{fleet: f, vm: vm, skew: skew, frozen: make(chan struct{})}
	close(d.frozen)
	d.clock = clock.Clock{Now: f.now, Wall: func() clock.Millis { return f.wall() + skew }, Sleep: d.sleep}
	logger, log := logtest.NewNullLogger()
	log.Reset()
	incarnation := fmt.Sprintf("%s.%d", vm, f.now())
	d.tally = tally.New(incarnation, windowLength)
	d.eras = billing.NewEraWatch(d.clock, firstStart)
	client := table.Client{Get: d.get, Scan: d.scan, Commit: d.commit}.WithObserver(d.clock, func(c table.Call) { d.eras.Observe(c.Era) })
	d.lease = lease.New(lease.Config{
		Table: client, Clock: d.clock, Key: simLeaseKey, Holder: incarnation, TTL: simLeaseTTL,
		Rand: rand.New(rand.NewPCG(f.random(), 2)), KnownFence: d.knownFence,
	})
	biller := billing.New(billing.Config{
		Table: client, Clock: d.clock, Logger: logger, Tally: d.tally, CollectUsage: d.collect,
		Guard: func(ctx context.Context, fence uint64) (table.Condition, error) {
			return d.runner.Guard(client, simLeaseKey)(ctx, fence)
		},
		Eras: d.eras, Report: d.report,
	})
	d.runner = leader.New(leader.Config{
		Clock: d.clock, Logger: logger.WithField("VM", vm), Scope: simLeaseKey, Lease: d.lease.Valid,
		SettleTime: simSettleTime, ReacquireDelay: simReacquireDelay, Work: []leader.Work{biller.Work},
	})
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	f.note("%s starts", incarnation)
	for _, task := range []func(context.Context) error{d.lease.Run, d.runner.Run, d.serve, d.gossip, d.follow} {
		d.tasks.Go(func() { _ = task(ctx) })
	}
	return d
}

func (f *simFleet) now() clock.Millis  { return clock.FromDuration(time.Since(f.epoch)) }
func (f *simFleet) wall() clock.Millis { return f.now() + 100*windowLength }

func (f *simFleet) random() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rng.Uint64()
}

// chance is true with a probability.
func (f *simFleet) chance(p float64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rng.Float64() < p
}

// between returns a random duration.
func (f *simFleet) between(low, high time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return low + time.Duration(f.rng.Int64N(int64(high-low)+1))
}

func (f *simFleet) note(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.history = append(f.history, fmt.Sprintf("%7.3f %s", f.now().Seconds(), fmt.Sprintf(format, args...)))
}

// pass waits while the process stands still, and fails once it has ended.
func (d *simDaemon) pass() error {
	for {
		d.mu.Lock()
		dead, frozen := d.dead, d.frozen
		d.mu.Unlock()
		if dead {
			return errDead
		}
		select {
		case <-frozen:
			return nil
		default:
			<-frozen
		}
	}
}

func (d *simDaemon) sleep(ctx context.Context, duration clock.Millis) error {
	select {
	case <-time.After(duration.Duration()):
	case <-ctx.Done():
	}
	_ = d.pass()
	return ctx.Err()
}

// call performs a call of the table, which takes some milliseconds on its way there and back.
func (d *simDaemon) call(ctx context.Context, perform func() error) error {
	if err := d.pass(); err != nil {
		<-ctx.Done()
		return fmt.Errorf("%w: %w", table.ErrUnknown, err)
	}
	time.Sleep(d.fleet.between(time.Millisecond, 4*time.Millisecond))
	err := perform()
	time.Sleep(d.fleet.between(time.Millisecond, 4*time.Millisecond))
	if passErr := d.pass(); passErr != nil || ctx.Err() != nil {
		return fmt.Errorf("%w: %w", table.ErrUnknown, errors.Join(passErr, ctx.Err()))
	}
	return err
}

func (d *simDaemon) get(ctx context.Context, key string) (row table.Row, err error) {
	err = d.call(ctx, func() (err error) {
		row, err = d.fleet.table.Client().Get(context.Background(), key)
		return err
	})
	return row, err
}

func (d *simDaemon) scan(ctx context.Context, prefix, after string, limit int) (rows []table.Row, err error) {
	err = d.call(ctx, func() (err error) {
		rows, err = d.fleet.table.Client().Scan(context.Background(), prefix, after, limit)
		return err
	})
	return rows, err
}

func (d *simDaemon) commit(ctx context.Context, txn table.Txn) error {
	return d.call(ctx, func() error {
		if d.fleet.chance(d.fleet.lateWrites) {
			delay := d.fleet.between(time.Second, 6*time.Second)
			time.AfterFunc(delay, func() { _ = d.fleet.table.Client().Commit(context.Background(), txn) })
			return table.ErrUnknown
		}
		return d.fleet.table.Client().Commit(context.Background(), txn)
	})
}

// report sends a window over a connection that checks the lease.
func (d *simDaemon) report(_ context.Context, fence uint64, window billing.Window) error {
	if err := d.pass(); err != nil {
		return err
	}
	if held, _, ok := d.runner.Lease(); !ok || held != fence {
		return errLeaseLost
	}
	time.Sleep(d.fleet.between(time.Millisecond, 4*time.Millisecond))
	d.fleet.record(d.vm, fence, window)
	return d.pass()
}

// record checks a report like the platform.
func (f *simFleet) record(vm string, fence uint64, window billing.Window) {
	f.note("%s reports window %d under fence %d: %v", vm, window.Number, fence, window.Counts)
	f.mu.Lock()
	defer f.mu.Unlock()
	if known, found := f.reports[window.Number]; found && !maps.Equal(known, window.Counts) {
		f.t.Errorf("window %d was reported with %v and with %v", window.Number, known, window.Counts)
	}
	f.reports[window.Number] = window.Counts
	if holder, used := f.holders[fence]; used && holder != vm {
		f.t.Errorf("fence %d was used by %s and by %s", fence, holder, vm)
	}
	f.holders[fence] = vm
}

func (f *simFleet) reported(window int64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reports[window] != nil
}

// holder returns the daemon that holds the lease, once one does.
func (f *simFleet) holder() *simDaemon {
	for {
		f.mu.Lock()
		vms := slices.Clone(f.vms)
		f.mu.Unlock()
		for _, d := range vms {
			if _, _, ok := d.lease.Valid(); ok && d.answers() {
				return d
			}
		}
		time.Sleep(simCopyInterval)
	}
}

// slot returns the number of the VM.
func (d *simDaemon) slot() int {
	d.fleet.mu.Lock()
	defer d.fleet.mu.Unlock()
	return slices.Index(d.fleet.vms, d)
}

// serve counts requests.
func (d *simDaemon) serve(ctx context.Context) error {
	for {
		if err := d.sleep(ctx, clock.FromDuration(d.fleet.between(50*time.Millisecond, 300*time.Millisecond))); err != nil {
			return err
		}
		d.tally.Add("himal", d.clock.Wall())
	}
}

// follow reads the table now and then, as daemons do that follow its changes.
func (d *simDaemon) follow(ctx context.Context) error {
	for {
		if err := d.sleep(ctx, clock.FromDuration(simCopyInterval)); err != nil {
			return err
		}
		if row, err := d.get(ctx, simLeaseKey); err == nil {
			d.eras.Observe(row.Era)
		}
	}
}

// gossip tells this daemon what the others know.
func (d *simDaemon) gossip(ctx context.Context) error {
	const pingInterval = 600 * clock.Millisecond
	for {
		if err := d.sleep(ctx, pingInterval); err != nil {
			return err
		}
		for _, other := range d.reachable() {
			d.tally.MergeSeals(other.tally.Seals(0))
			d.hear(other.lease.HighestFence())
		}
	}
}

func (d *simDaemon) hear(fence uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.heardFence = max(d.heardFence, fence)
}

func (d *simDaemon) knownFence() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.heardFence
}

// collect is the CollectUsage of a daemon.
func (d *simDaemon) collect(_ context.Context, first int64) {
	for _, other := range d.reachable() {
		for _, snapshot := range other.tally.Snapshots(first) {
			_ = d.tally.MergeSnapshot(snapshot)
		}
		d.tally.MergeSeals(other.tally.Seals(first))
	}
}

// reachable returns the other daemons that answer.
func (d *simDaemon) reachable() (others []*simDaemon) {
	d.fleet.mu.Lock()
	vms := slices.Clone(d.fleet.vms)
	d.fleet.mu.Unlock()
	for _, other := range vms {
		if other != d && d.answers() && other.answers() {
			others = append(others, other)
		}
	}
	return others
}

func (d *simDaemon) answers() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	select {
	case <-d.frozen:
		return !d.dead && !d.cutOff
	default:
		return false
	}
}

// freeze lets a process stand still for a time. It does not wait.
func (d *simDaemon) freeze(duration time.Duration) {
	d.fleet.note("%s stands still for %s", d.vm, duration)
	thawed := make(chan struct{})
	d.mu.Lock()
	d.frozen = thawed
	d.mu.Unlock()
	time.AfterFunc(duration, func() {
		d.fleet.note("%s goes on", d.vm)
		close(thawed)
	})
}

// cut cuts a process off from the other daemons for a time. It does not wait.
func (d *simDaemon) cut(duration time.Duration) {
	d.fleet.note("%s is cut off for %s", d.vm, duration)
	d.setCut(true)
	time.AfterFunc(duration, func() { d.setCut(false) })
}

func (d *simDaemon) setCut(cut bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cutOff = cut
}

// kill ends the process of a VM. It starts again after a time.
func (f *simFleet) kill(n int, down time.Duration, firstStart bool) {
	f.mu.Lock()
	d := f.vms[n]
	f.mu.Unlock()
	if !d.end() {
		return
	}
	f.note("%s is killed", d.vm)
	time.AfterFunc(down, func() {
		started := f.start(d.vm, d.skew, firstStart)
		f.mu.Lock()
		defer f.mu.Unlock()
		f.vms[n] = started
	})
}

// end ends a process. It reports whether the process was running.
func (d *simDaemon) end() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.dead {
		return false
	}
	d.dead = true
	d.cancel()
	return true
}

// keepCopies copies the table now and then.
func (f *simFleet) keepCopies(ctx context.Context) {
	for ctx.Err() == nil {
		f.mu.Lock()
		f.copies = append(f.copies, f.table.Copy())
		f.copies = f.copies[max(len(f.copies)-simMaxCopies, 0):]
		f.mu.Unlock()
		time.Sleep(simCopyInterval)
	}
}

// restore takes the table away and brings it back from a copy of some age.
func (f *simFleet) restore(away, age time.Duration) {
	f.mu.Lock()
	n := max(len(f.copies)-1-int(age/simCopyInterval), 0)
	copied := f.copies[n]
	busy := f.away
	f.away = true
	f.mu.Unlock()
	if busy {
		return
	}
	f.note("the table is away for %s", away)
	f.table.SetFault(table.Fault{Down: true})
	time.AfterFunc(away, func() {
		f.table.Restore(copied)
		f.table.SetFault(table.Fault{})
		f.note("the table is back from a copy that was %s old", age)
		f.mu.Lock()
		defer f.mu.Unlock()
		f.away = false
	})
}

// stop ends all processes and waits for them.
func (f *simFleet) stop() {
	time.Sleep(10 * time.Second) // Processes that are down start, and those that stand still go on.
	f.mu.Lock()
	vms := slices.Clone(f.vms)
	f.mu.Unlock()
	for _, d := range vms {
		d.end()
	}
	time.Sleep(10 * time.Second)
	if f.t.Failed() {
		for _, line := range f.history {
			f.t.Log(line)
		}
	}
}
