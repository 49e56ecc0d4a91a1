package broker

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/coord/member"
	"github.com/banyanshift/banyanshift/internal/caller/request"
	"github.com/banyanshift/banyanshift/internal/peer/link"
)

// network lets connections between daemons be cut.
type network struct {
	mu    sync.Mutex
	group map[string]int
	names map[string]string
	conns []tracked
}

type tracked struct {
	net.Conn
	from, to string
}

var errCut = errors.New("cut")

// dialer returns the dialer of one daemon.
func (n *network) dialer(from string) func(ctx context.Context, kind, address string) (net.Conn, error) {
	return func(ctx context.Context, kind, address string) (net.Conn, error) {
		n.mu.Lock()
		to := n.names[address]
		cut := n.group[from] != n.group[to]
		n.mu.Unlock()
		if cut {
			return nil, errCut
		}
		conn, err := (&net.Dialer{}).DialContext(ctx, kind, address)
		if err != nil {
			return nil, err
		}
		n.mu.Lock()
		n.conns = append(n.conns, tracked{Conn: conn, from: from, to: to})
		n.mu.Unlock()
		return conn, nil
	}
}

// split puts each daemon into a group; connections between groups are cut.
func (n *network) split(group map[string]int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.group = group
	for _, c := range n.conns {
		if group[c.from] != group[c.to] {
			_ = c.Close()
		}
	}
}

// faultFleet is a fleet whose network and views can be disturbed, with
// endpoints that count what runs on them.
type faultFleet struct {
	*fleet
	network *network
	views   []atomic.Pointer[[]member.Member]

	running sync.Mutex
	now     map[string]int
	most    map[string]int
	served  map[string]int
	last    map[string]time.Time
	gap     map[string]time.Duration
	stop    context.CancelFunc
	clients sync.WaitGroup
}

func newFaultFleet(t *testing.T, n, replicas, slots int) *faultFleet {
	t.Helper()
	f := &faultFleet{
		fleet:   &fleet{t: t},
		network: &network{group: map[string]int{}, names: map[string]string{}},
		views:   make([]atomic.Pointer[[]member.Member], n),
		now:     map[string]int{}, most: map[string]int{}, served: map[string]int{},
		last: map[string]time.Time{}, gap: map[string]time.Duration{},
	}
	for i := range n {
		id := fmt.Sprintf("vm-%d", i)
		l := link.New(link.Config{ID: id, Listen: "127.0.0.1:0", Dial: f.network.dialer(id)}, clock.System(), quiet())
		d := deps(slots)
		d.Link = l
		d.View = func() []member.Member { return *f.views[i].Load() }
		b := New(Config{Self: id, Region: region, Seed: 7}, d)
		b.Register(l)
		if err := l.Start(); err != nil {
			t.Fatal(err)
		}
		f.network.names[l.Address()] = id
		f.brokers, f.links = append(f.brokers, b), append(f.links, l)
		f.view = append(f.view, member.Member{ID: id, Address: l.Address(), Region: region, State: member.Alive})
	}
	whole := f.members()
	for i, b := range f.brokers {
		f.views[i].Store(&whole)
		b.UpdateEndpoints(pool(replicas))
		b.Start()
	}
	t.Cleanup(func() {
		for i := range f.brokers {
			f.brokers[i].Close()
			f.links[i].Close()
		}
	})
	return f
}

// load keeps clients calling on every daemon until stopped.
func (f *faultFleet) load(perDaemon int) {
	ctx, stop := context.WithCancel(context.Background())
	f.stop = stop
	for i := range f.brokers {
		for c := range perDaemon {
			f.clients.Add(1)
			go f.client(ctx, i, c)
		}
	}
}

func (f *faultFleet) client(ctx context.Context, daemon, number int) {
	defer f.clients.Done()
	s := f.brokers[daemon].Scheduler()
	for i := 0; ctx.Err() == nil; i++ {
		grant, err := s.Acquire(ctx, newRequest(fmt.Sprintf("%d-%d-%d", daemon, number, i), fmt.Sprint("t", number), 1))
		if err != nil {
			continue
		}
		f.count(grant.Endpoint.ID, f.brokers[daemon].config.Self, 1)
		time.Sleep(10 * time.Millisecond)
		f.count(grant.Endpoint.ID, "", -1)
		s.Release(grant, request.Outcome{OutputTokens: 5})
	}
}

func (f *faultFleet) count(endpoint, daemon string, n int) {
	f.running.Lock()
	defer f.running.Unlock()
	f.now[endpoint] += n
	f.most[endpoint] = max(f.most[endpoint], f.now[endpoint])
	if daemon != "" {
		f.served[daemon]++
		f.gap[daemon] = max(f.gap[daemon], time.Since(f.last[daemon]))
		f.last[daemon] = time.Now()
	}
}

// watch lets the load run for a while after a disturbance. It returns the
// longest time that a daemon of those named went without a grant, and the most
// that ran on one endpoint.
func (f *faultFleet) watch(daemons []string, disturb func()) (gap time.Duration, peak int) {
	f.t.Helper()
	f.peak()
	f.running.Lock()
	for _, daemon := range daemons {
		f.last[daemon], f.gap[daemon] = time.Now(), 0
	}
	f.running.Unlock()
	disturb()
	time.Sleep(watchFor)
	f.progress(daemons...)
	f.running.Lock()
	for _, daemon := range daemons {
		gap = max(gap, f.gap[daemon])
	}
	f.running.Unlock()
	return gap, f.peak()
}

// watchFor is how long the load runs after a disturbance.
const watchFor = 1500 * time.Millisecond

// peak returns the most that ran on one endpoint since the last call.
func (f *faultFleet) peak() int {
	f.running.Lock()
	defer f.running.Unlock()
	most := 0
	for endpoint := range f.most {
		most = max(most, f.most[endpoint])
		f.most[endpoint] = f.now[endpoint]
	}
	return most
}

// progress waits until every named daemon has been served again and returns
// how long that took.
func (f *faultFleet) progress(daemons ...string) time.Duration {
	f.t.Helper()
	f.running.Lock()
	f.served = map[string]int{}
	f.running.Unlock()
	start := time.Now()
	eventually(f.t, "every daemon is served again", func() bool {
		f.running.Lock()
		defer f.running.Unlock()
		for _, daemon := range daemons {
			if f.served[daemon] == 0 {
				return false
			}
		}
		return true
	})
	return time.Since(start)
}

func (f *faultFleet) end() {
	f.stop()
	f.clients.Wait()
}

// settle waits until the slots are held again.
func (f *faultFleet) settle(slots int) time.Duration {
	f.t.Helper()
	start := time.Now()
	eventually(f.t, "the slots are held again", func() bool {
		f.peak()
		time.Sleep(100 * time.Millisecond)
		return f.peak() <= slots
	})
	return time.Since(start)
}

func names(brokers []*Broker, except int) []string {
	var all []string
	for i, b := range brokers {
		if i != except {
			all = append(all, b.config.Self)
		}
	}
	return all
}

// checkPeak reports what a disturbance did. Whatever it was, no more runs on an
// endpoint than its slots for each that decides: one or two brokers, and the
// local shares of the daemons, which count as one.
func (f *faultFleet) checkPeak(what string, slots, deciders int, gap time.Duration, peak int) {
	f.t.Helper()
	f.t.Logf("%s: longest time without a grant %v, at most %d on %d slots", what, gap, peak, slots)
	if peak > deciders*slots {
		f.t.Errorf("%s: %d ran on one endpoint of %d slots under %d deciders", what, peak, slots, deciders)
	}
}

// fellBack reports whether any daemon has decided by itself.
func (f *faultFleet) fellBack() bool {
	for _, b := range f.brokers {
		b.mu.Lock()
		n := len(b.fallbacks)
		b.mu.Unlock()
		if n > 0 {
			return true
		}
	}
	return false
}

// startLoaded returns a fleet under load in its steady state.
func startLoaded(t *testing.T, slots int) *faultFleet {
	t.Helper()
	f := newFaultFleet(t, 4, 2, slots)
	f.load(6)
	f.progress(names(f.brokers, -1)...)
	f.settle(slots)
	gap, peak := f.watch(names(f.brokers, -1), func() {})
	deciders := 1
	if f.fellBack() { // a machine too busy to answer in time
		deciders = 2
	}
	f.checkPeak("undisturbed", slots, deciders, gap, peak)
	return f
}

func TestPausedBroker(t *testing.T) {
	t.Parallel()
	const slots = 4
	f := startLoaded(t, slots)
	paused := f.brokerOf(onlyCell)
	// With its lock taken the broker answers no message.
	gap, peak := f.watch(names(f.brokers, paused), f.brokers[paused].mu.Lock)
	f.checkPeak("broker paused", slots, 2, gap, peak)
	gap, peak = f.watch(names(f.brokers, -1), f.brokers[paused].mu.Unlock)
	f.checkPeak("broker resumed", slots, 2, gap, peak)
	t.Logf("slots held again after %v", f.settle(slots))
	f.end()
}

func TestTwoBrokersForOneCell(t *testing.T) {
	t.Parallel()
	const slots = 4
	f := startLoaded(t, slots)
	first := f.brokerOf(onlyCell)
	whole := f.members()
	part := append([]member.Member(nil), whole...)
	part[first].State = member.Dead
	gap, peak := f.watch(names(f.brokers, -1), func() {
		for i := range f.brokers {
			if i != first && i != (first+1)%4 {
				f.views[i].Store(&part)
			}
		}
	})
	f.checkPeak("two brokers", slots, 3, gap, peak)
	gap, peak = f.watch(names(f.brokers, -1), func() {
		for i := range f.brokers {
			f.views[i].Store(&whole)
		}
	})
	f.checkPeak("views agree", slots, 3, gap, peak)
	t.Logf("slots held again after %v", f.settle(slots))
	f.end()
}

func TestPartition(t *testing.T) {
	t.Parallel()
	const slots = 4
	f := startLoaded(t, slots)
	gap, peak := f.watch(names(f.brokers, -1), func() {
		f.network.split(map[string]int{"vm-0": 1, "vm-1": 1})
	})
	f.checkPeak("partition", slots, 2, gap, peak)
	gap, peak = f.watch(names(f.brokers, -1), func() { f.network.split(map[string]int{}) })
	f.checkPeak("healed", slots, 2, gap, peak)
	t.Logf("slots held again after %v", f.settle(slots))
	f.end()
}

func TestBrokerDiesUnderLoad(t *testing.T) {
	t.Parallel()
	const slots = 4
	f := startLoaded(t, slots)
	dead := f.brokerOf(onlyCell)
	gap, peak := f.watch(names(f.brokers, dead), f.links[dead].Close)
	f.checkPeak("broker dead", slots, 2, gap, peak)
	f.setState(dead, member.Dead)
	after := f.members()
	gap, peak = f.watch(names(f.brokers, dead), func() {
		for i := range f.brokers {
			f.views[i].Store(&after)
		}
	})
	f.checkPeak("next broker", slots, 3, gap, peak)
	f.end()
}

func TestEntryDies(t *testing.T) {
	t.Parallel()
	f := newFaultFleet(t, 3, 1, 1)
	broker := f.brokerOf(onlyCell)
	entry := (broker + 1) % 3
	grant, err := f.brokers[entry].Scheduler().Acquire(t.Context(), newRequest("a", "t", 0))
	if err != nil || grant == nil {
		t.Fatal(err)
	}
	f.brokers[entry].Close()
	f.links[entry].Close()
	start := time.Now()
	if _, err := f.brokers[broker].Scheduler().Acquire(t.Context(), newRequest("b", "t", 0)); err != nil {
		t.Fatal(err)
	}
	t.Logf("the slot of a dead daemon was free again after %v", time.Since(start))
}
