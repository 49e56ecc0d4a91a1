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

// network simulates partitions by cutting connections between daemons.
type network struct {
	mu       sync.Mutex
	groupOf  map[string]int
	daemonAt map[string]string
	conns    []trackedConn
}

type trackedConn struct {
	net.Conn
	from, to string
}

var errPartitioned = errors.New("cut")

// dialer returns the dial function of one daemon.
func (n *network) dialer(from string) func(ctx context.Context, kind, address string) (net.Conn, error) {
	return func(ctx context.Context, kind, address string) (net.Conn, error) {
		n.mu.Lock()
		to := n.daemonAt[address]
		cut := n.groupOf[from] != n.groupOf[to]
		n.mu.Unlock()
		if cut {
			return nil, errPartitioned
		}
		conn, err := (&net.Dialer{}).DialContext(ctx, kind, address)
		if err != nil {
			return nil, err
		}
		n.mu.Lock()
		n.conns = append(n.conns, trackedConn{Conn: conn, from: from, to: to})
		n.mu.Unlock()
		return conn, nil
	}
}

// partition assigns each daemon to a group and cuts the connections between
// groups.
func (n *network) partition(groupOf map[string]int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.groupOf = groupOf
	for _, c := range n.conns {
		if groupOf[c.from] != groupOf[c.to] {
			_ = c.Close()
		}
	}
}

// faultFleet is a fleet with a controllable network and a separate view for
// each daemon. It counts the requests that run on each endpoint.
type faultFleet struct {
	*fleet
	network *network
	views   []atomic.Pointer[[]member.Member]

	statsMu     sync.Mutex
	runningNow  map[string]int
	maxRunning  map[string]int
	grantCounts map[string]int
	lastGrantAt map[string]time.Time
	longestGap  map[string]time.Duration
	cancelLoad  context.CancelFunc
	clients     sync.WaitGroup
}

func newFaultFleet(t *testing.T, n, replicas, slots int) *faultFleet {
	t.Helper()
	f := &faultFleet{
		fleet:      &fleet{t: t},
		network:    &network{groupOf: map[string]int{}, daemonAt: map[string]string{}},
		views:      make([]atomic.Pointer[[]member.Member], n),
		runningNow: map[string]int{}, maxRunning: map[string]int{}, grantCounts: map[string]int{},
		lastGrantAt: map[string]time.Time{}, longestGap: map[string]time.Duration{},
	}
	for i := range n {
		id := fmt.Sprintf("vm-%d", i)
		l := link.New(link.Config{ID: id, Listen: "127.0.0.1:0", Dial: f.network.dialer(id)}, clock.System(), discardLogger())
		d := deps(slots)
		d.Link = l
		d.View = func() []member.Member { return *f.views[i].Load() }
		b := New(Config{Self: id, Region: region, Seed: 7}, d)
		b.Register(l)
		if err := l.Start(); err != nil {
			t.Fatal(err)
		}
		f.network.daemonAt[l.Address()] = id
		f.brokers, f.links = append(f.brokers, b), append(f.links, l)
		f.view = append(f.view, member.Member{ID: id, Address: l.Address(), Region: region, State: member.Alive})
	}
	fullView := f.members()
	for i, b := range f.brokers {
		f.views[i].Store(&fullView)
		b.UpdateEndpoints(testEndpoints(replicas))
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

// startLoad runs clients that send requests to every daemon until stopLoad.
func (f *faultFleet) startLoad(perDaemon int) {
	ctx, stop := context.WithCancel(context.Background())
	f.cancelLoad = stop
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
	f.statsMu.Lock()
	defer f.statsMu.Unlock()
	f.runningNow[endpoint] += n
	f.maxRunning[endpoint] = max(f.maxRunning[endpoint], f.runningNow[endpoint])
	if daemon != "" {
		f.grantCounts[daemon]++
		f.longestGap[daemon] = max(f.longestGap[daemon], time.Since(f.lastGrantAt[daemon]))
		f.lastGrantAt[daemon] = time.Now()
	}
}

// measureUnderLoad calls disturb and lets the load run for measureDuration. It
// returns the longest time that one of the daemons went without a grant, and
// the most requests that ran concurrently on one endpoint.
func (f *faultFleet) measureUnderLoad(daemons []string, disturb func()) (gap time.Duration, peak int) {
	f.t.Helper()
	f.takePeak()
	f.statsMu.Lock()
	for _, daemon := range daemons {
		f.lastGrantAt[daemon], f.longestGap[daemon] = time.Now(), 0
	}
	f.statsMu.Unlock()
	disturb()
	time.Sleep(measureDuration)
	f.waitUntilServed(daemons...)
	f.statsMu.Lock()
	for _, daemon := range daemons {
		gap = max(gap, f.longestGap[daemon])
	}
	f.statsMu.Unlock()
	return gap, f.takePeak()
}

// measureDuration is how long the load runs after a disturbance.
const measureDuration = 1500 * time.Millisecond

// takePeak returns the most requests that ran concurrently on one endpoint
// since the last call.
func (f *faultFleet) takePeak() int {
	f.statsMu.Lock()
	defer f.statsMu.Unlock()
	maxRunning := 0
	for endpoint := range f.maxRunning {
		maxRunning = max(maxRunning, f.maxRunning[endpoint])
		f.maxRunning[endpoint] = f.runningNow[endpoint]
	}
	return maxRunning
}

// waitUntilServed waits until each of the daemons has received a grant and
// returns how long that took.
func (f *faultFleet) waitUntilServed(daemons ...string) time.Duration {
	f.t.Helper()
	f.statsMu.Lock()
	f.grantCounts = map[string]int{}
	f.statsMu.Unlock()
	start := time.Now()
	eventually(f.t, "every daemon has received a grant", func() bool {
		f.statsMu.Lock()
		defer f.statsMu.Unlock()
		for _, daemon := range daemons {
			if f.grantCounts[daemon] == 0 {
				return false
			}
		}
		return true
	})
	return time.Since(start)
}

func (f *faultFleet) stopLoad() {
	f.cancelLoad()
	f.clients.Wait()
}

// waitForSlotLimit waits until no endpoint runs more requests than slots.
func (f *faultFleet) waitForSlotLimit(slots int) time.Duration {
	f.t.Helper()
	start := time.Now()
	eventually(f.t, "no endpoint runs more requests than its slots", func() bool {
		f.takePeak()
		time.Sleep(100 * time.Millisecond)
		return f.takePeak() <= slots
	})
	return time.Since(start)
}

func daemonIDs(brokers []*Broker, except int) []string {
	var all []string
	for i, b := range brokers {
		if i != except {
			all = append(all, b.config.Self)
		}
	}
	return all
}

// checkPeak logs the effect of a disturbance and checks that no endpoint ran
// more requests than its slots for each decider. Deciders are the acting
// brokers (one or two); the local shares of all daemons together count as one
// more.
func (f *faultFleet) checkPeak(what string, slots, deciders int, gap time.Duration, peak int) {
	f.t.Helper()
	f.t.Logf("%s: longest time without a grant %v, at most %d on %d slots", what, gap, peak, slots)
	if peak > deciders*slots {
		f.t.Errorf("%s: %d requests ran concurrently on one endpoint of %d slots with %d deciders", what, peak, slots, deciders)
	}
}

// usedFallback reports whether any daemon has scheduled locally.
func (f *faultFleet) usedFallback() bool {
	for _, b := range f.brokers {
		b.mu.Lock()
		n := len(b.fallbackHosts)
		b.mu.Unlock()
		if n > 0 {
			return true
		}
	}
	return false
}

// newLoadedFleet returns a fleet under load after it has reached its steady
// state.
func newLoadedFleet(t *testing.T, slots int) *faultFleet {
	t.Helper()
	f := newFaultFleet(t, 4, 2, slots)
	f.startLoad(6)
	f.waitUntilServed(daemonIDs(f.brokers, -1)...)
	f.waitForSlotLimit(slots)
	gap, peak := f.measureUnderLoad(daemonIDs(f.brokers, -1), func() {})
	deciders := 1
	if f.usedFallback() { // a busy machine may miss the reply timeout
		deciders = 2
	}
	f.checkPeak("undisturbed", slots, deciders, gap, peak)
	return f
}

func TestPausedBroker(t *testing.T) {
	t.Parallel()
	const slots = 4
	f := newLoadedFleet(t, slots)
	paused := f.brokerOf(onlyCell)
	// While its mutex is locked, the broker answers no message.
	gap, peak := f.measureUnderLoad(daemonIDs(f.brokers, paused), f.brokers[paused].mu.Lock)
	f.checkPeak("broker paused", slots, 2, gap, peak)
	gap, peak = f.measureUnderLoad(daemonIDs(f.brokers, -1), f.brokers[paused].mu.Unlock)
	f.checkPeak("broker resumed", slots, 2, gap, peak)
	t.Logf("slot limit respected again after %v", f.waitForSlotLimit(slots))
	f.stopLoad()
}

func TestTwoBrokersForOneCell(t *testing.T) {
	t.Parallel()
	const slots = 4
	f := newLoadedFleet(t, slots)
	first := f.brokerOf(onlyCell)
	fullView := f.members()
	partialView := append([]member.Member(nil), fullView...)
	partialView[first].State = member.Dead
	gap, peak := f.measureUnderLoad(daemonIDs(f.brokers, -1), func() {
		for i := range f.brokers {
			if i != first && i != (first+1)%4 {
				f.views[i].Store(&partialView)
			}
		}
	})
	f.checkPeak("two brokers", slots, 3, gap, peak)
	gap, peak = f.measureUnderLoad(daemonIDs(f.brokers, -1), func() {
		for i := range f.brokers {
			f.views[i].Store(&fullView)
		}
	})
	f.checkPeak("views agree", slots, 3, gap, peak)
	t.Logf("slot limit respected again after %v", f.waitForSlotLimit(slots))
	f.stopLoad()
}

func TestPartition(t *testing.T) {
	t.Parallel()
	const slots = 4
	f := newLoadedFleet(t, slots)
	gap, peak := f.measureUnderLoad(daemonIDs(f.brokers, -1), func() {
		f.network.partition(map[string]int{"vm-0": 1, "vm-1": 1})
	})
	f.checkPeak("partition", slots, 2, gap, peak)
	gap, peak = f.measureUnderLoad(daemonIDs(f.brokers, -1), func() { f.network.partition(map[string]int{}) })
	f.checkPeak("healed", slots, 2, gap, peak)
	t.Logf("slot limit respected again after %v", f.waitForSlotLimit(slots))
	f.stopLoad()
}

func TestBrokerDiesUnderLoad(t *testing.T) {
	t.Parallel()
	const slots = 4
	f := newLoadedFleet(t, slots)
	dead := f.brokerOf(onlyCell)
	gap, peak := f.measureUnderLoad(daemonIDs(f.brokers, dead), f.links[dead].Close)
	f.checkPeak("broker dead", slots, 2, gap, peak)
	f.setState(dead, member.Dead)
	newView := f.members()
	gap, peak = f.measureUnderLoad(daemonIDs(f.brokers, dead), func() {
		for i := range f.brokers {
			f.views[i].Store(&newView)
		}
	})
	f.checkPeak("next broker", slots, 3, gap, peak)
	f.stopLoad()
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
	t.Logf("the slot of the dead entry was released after %v", time.Since(start))
}
