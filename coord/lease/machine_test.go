package lease

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/banyanshift/banyanshift/coord/clock"
)

const testTTL = 9 * clock.Second

// simulation runs machines against one row with random message delays, lost
// answers, writes that arrive long after their sender timed out, paused
// processes, and clocks with different offsets and rates.
type simulation struct {
	rng     *rand.Rand
	now     clock.Millis
	row     Row
	version uint64
	// era is the number of times that the table came back from a copy.
	era     uint64
	procs   []*proc
	queue   eventQueue
	faults  bool
	problem string
	// fences maps each fence to the process that was valid with it.
	fences map[uint64]string
	// lastFence is the fence of the last valid process.
	lastFence uint64
	takeovers int
}

type proc struct {
	sim     *simulation
	name    string
	machine *Machine
	offset  clock.Millis
	// rate is how much faster than true time the clock runs, in parts per
	// million.
	rate        int64
	pausedUntil clock.Millis
}

type event struct {
	at       clock.Millis
	tieBreak int
	callback func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].tieBreak < q[j].tieBreak
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func newSimulation(seed uint64, procs int) *simulation {
	s := &simulation{rng: rand.New(rand.NewPCG(seed, 1)), faults: true, fences: make(map[uint64]string)}
	for i := range procs {
		name := fmt.Sprint("p", i)
		p := &proc{
			sim:     s,
			name:    name,
			machine: NewMachine(name, testTTL, rand.New(rand.NewPCG(seed, uint64(i+2)))),
			offset:  clock.Millis(s.rng.Int64N(1000000)),
			rate:    s.rng.Int64N(40000) - 20000,
		}
		s.procs = append(s.procs, p)
		s.after(0, p.step)
	}
	return s
}

func (s *simulation) after(d clock.Millis, do func()) {
	heap.Push(&s.queue, event{at: s.now + d, tieBreak: s.rng.Int(), callback: do})
}

func (p *proc) clock() clock.Millis {
	return p.offset + p.sim.now + clock.Millis(int64(p.sim.now)*p.rate/1000000)
}

// whenAwake runs do as soon as the process is not paused.
func (p *proc) whenAwake(do func()) {
	if p.pausedUntil > p.sim.now {
		p.sim.after(p.pausedUntil-p.sim.now, func() { p.whenAwake(do) })
		return
	}
	do()
}

func (s *simulation) delay() clock.Millis {
	if s.faults && s.rng.IntN(12) == 0 {
		return clock.Millis(s.rng.Int64N(int64(3 * testTTL)))
	}
	return 1 + clock.Millis(s.rng.Int64N(20))
}

func (s *simulation) loses() bool { return s.faults && s.rng.IntN(6) == 0 }

func (p *proc) step() {
	p.whenAwake(func() {
		if p.sim.faults && p.sim.rng.IntN(30) == 0 {
			p.pausedUntil = p.sim.now + clock.Millis(p.sim.rng.Int64N(int64(3*testTTL)))
		}
		p.machine.ObserveFence(p.sim.highestFence())
		action := p.machine.Next(p.clock())
		switch action.Kind {
		case Wait:
			p.sim.after(max(1, action.Until-p.clock()), p.step)
		case Read:
			p.read()
		case Write:
			p.write(action)
		}
	})
}

// exchange sends a message that serve handles. It then calls either answered or,
// after a timeout, failed.
func (p *proc) exchange(serve func(), answered, failed func()) {
	s := p.sim
	done := false
	once := func(do func()) func() {
		return func() {
			p.whenAwake(func() {
				if !done {
					done = true
					do()
					p.step()
				}
			})
		}
	}
	s.after(testTTL/renewalsPerTTL, once(failed))
	if s.loses() {
		return
	}
	s.after(s.delay(), func() {
		serve()
		if !s.loses() {
			s.after(s.delay(), once(answered))
		}
	})
}

func (p *proc) read() {
	var row Row
	var stored Stored
	p.exchange(
		func() { row, stored = p.sim.row, Stored{Version: p.sim.version, Era: p.sim.era} },
		func() { p.machine.OnRead(p.clock(), row, stored) },
		func() { p.machine.OnReadFailed(p.clock()) },
	)
}

func (p *proc) write(action Action) {
	result := Conflicted
	p.exchange(
		func() {
			s := p.sim
			if s.version == action.Version {
				if action.Row.Fence > s.row.Fence {
					s.takeovers++
				}
				s.version++
				s.row = action.Row
				result = Written
			}
			if s.era != action.Era {
				result = EraChanged
			}
		},
		func() { p.machine.OnWrite(p.clock(), action.Row, result) },
		func() { p.machine.OnWrite(p.clock(), action.Row, Unknown) },
	)
}

// highestFence returns the highest fence that any process has seen, which the processes
// tell each other.
func (s *simulation) highestFence() (highest uint64) {
	for _, p := range s.procs {
		highest = max(highest, p.machine.HighestFence())
	}
	return highest
}

// restoreSometimes brings the table back from copies, some seconds old, until the faults
// end. The versions of rows go back and are given out again.
func (s *simulation) restoreSometimes() {
	const maxCopyAge = 5 * clock.Second
	s.after(clock.Millis(s.rng.Int64N(int64(clock.Minute))), func() {
		if !s.faults {
			return
		}
		row, version := s.row, s.version
		s.after(clock.Millis(s.rng.Int64N(int64(maxCopyAge))), func() {
			s.row, s.version = row, version
			s.era++
			s.restoreSometimes()
		})
	})
}

// check detects two processes that are valid at the same time and a fence that
// two processes used. Validity is extended only by events, so it suffices to
// check after each event.
func (s *simulation) check() {
	holder := ""
	for _, p := range s.procs {
		fence, _, ok := p.machine.Valid(p.clock())
		if !ok {
			continue
		}
		if holder != "" {
			s.problem = fmt.Sprintf("at %v: %s and %s are both valid", s.now, holder, p.name)
		}
		holder = p.name
		if fence < s.lastFence {
			s.problem = fmt.Sprintf("at %v: fence %d of %s is lower than one used before", s.now, fence, p.name)
		}
		s.lastFence = fence
		if user, used := s.fences[fence]; used && user != p.name {
			s.problem = fmt.Sprintf("at %v: fence %d of %s is also used by %s", s.now, fence, user, p.name)
		}
		s.fences[fence] = p.name
	}
}

func (s *simulation) run(until clock.Millis) {
	for len(s.queue) > 0 && s.queue[0].at <= until && s.problem == "" {
		next := heap.Pop(&s.queue).(event)
		s.now = next.at
		next.callback()
		s.check()
	}
	s.now = until
}

func (s *simulation) validHolder() string {
	for _, p := range s.procs {
		if _, _, ok := p.machine.Valid(p.clock()); ok {
			return p.name
		}
	}
	return ""
}

func properties(t *testing.T) *gopter.Properties {
	t.Helper()
	parameters := gopter.DefaultTestParametersWithSeed(20)
	parameters.MinSuccessfulTests = 150
	return gopter.NewProperties(parameters)
}

func TestAtMostOneHolder(t *testing.T) {
	all := properties(t)
	all.Property("at most one holder, and exactly one after the faults end", prop.ForAll(func(seed uint64, procs int) string {
		s := newSimulation(seed, procs)
		s.run(20 * clock.Minute)
		s.faults = false
		s.run(s.now + 6*testTTL)
		if s.problem == "" && s.validHolder() == "" {
			s.problem = "no process holds the lease"
		}
		if s.problem == "" && s.takeovers < 3 {
			s.problem = "the faults caused fewer than 3 takeovers"
		}
		return s.problem
	}, gen.UInt64(), gen.IntRange(2, 5)))
	all.TestingRun(t)
}

// TestAtMostOneHolderOfARestoredTable guards against two holders, and against a fence that
// is used twice or goes back, when the table comes back from a copy.
func TestAtMostOneHolderOfARestoredTable(t *testing.T) {
	all := properties(t)
	all.Property("at most one holder, fences only grow, and one holds after the faults end", prop.ForAll(func(seed uint64, procs int) string {
		s := newSimulation(seed, procs)
		s.restoreSometimes()
		s.run(20 * clock.Minute)
		s.faults = false
		s.run(s.now + 6*testTTL)
		if s.problem == "" && s.validHolder() == "" {
			s.problem = "no process holds the lease"
		}
		return s.problem
	}, gen.UInt64(), gen.IntRange(2, 5)))
	all.TestingRun(t)
}

// Shows that the check of the simulation can fail: if the rates of the clocks
// differ by more than the margin covers, it finds two holders.
func TestRatesBeyondTheMarginAreFound(t *testing.T) {
	for seed := range uint64(200) {
		s := newSimulation(seed, 3)
		for i, p := range s.procs {
			p.rate = int64(i) * 400000
		}
		s.run(20 * clock.Minute)
		if s.problem != "" {
			return
		}
	}
	t.Error("no seed found two holders")
}

func newMachine() *Machine {
	return NewMachine("a", testTTL, rand.New(rand.NewPCG(1, 1)))
}

// take makes the machine take a released lease at the instant now.
func take(t *testing.T, m *Machine, now clock.Millis) Row {
	t.Helper()
	m.OnRead(now, Row{Fence: 4, Beat: 9}, Stored{Version: 7})
	action := m.Next(now)
	if action.Kind != Write || action.Row.Holder != "a" || action.Row.Fence != 5 || action.Version != 7 {
		t.Fatalf("got %+v, want a write with holder a, fence 5 and version 7", action)
	}
	return action.Row
}

func TestValidityCountsFromBeforeTheRenewal(t *testing.T) {
	m := newMachine()
	row := take(t, m, 1000)
	m.OnWrite(3000, row, Written)
	fence, until, ok := m.Valid(3000)
	if want := 1000 + testTTL - testTTL/marginDivisor; !ok || fence != 5 || until != want {
		t.Errorf("got fence %d, until %v, valid %v, want 5, %v, true", fence, until, ok, want)
	}
	if _, _, ok := m.Valid(until); ok {
		t.Error("lease is valid at the end of its validity")
	}
}

// Guards against a paused holder acting under an expired lease. A holder that is
// paused for longer than the TTL must find its lease expired, and a renewal in
// flight during the pause must count from when it was sent.
func TestPausedHolder(t *testing.T) {
	m := newMachine()
	m.OnWrite(0, take(t, m, 0), Written)
	m.OnRead(10, Row{Holder: "a", Fence: 5, Beat: 10}, Stored{Version: 8})
	renewal := m.Next(testTTL / 3)
	if renewal.Kind != Write {
		t.Fatalf("got %+v, want a write", renewal)
	}
	resumed := testTTL/3 + clock.Minute
	if _, _, ok := m.Valid(resumed); ok {
		t.Error("lease is valid after a pause of one minute")
	}
	m.OnWrite(resumed, renewal.Row, Written)
	if _, _, ok := m.Valid(resumed); ok {
		t.Error("a renewal sent before the pause made the lease valid")
	}
	m.OnRead(resumed, Row{Holder: "b", Fence: 6, Beat: 30}, Stored{Version: 40})
	if action := m.Next(resumed + testTTL/2); action.Kind != Read {
		t.Errorf("got %+v, want a read", action)
	}
}

// TestExpiredHolderDoesNotGoOnInALaterEra guards against a holder that stood still, whose row
// comes back with a copy although another process has held the lease meanwhile.
func TestExpiredHolderDoesNotGoOnInALaterEra(t *testing.T) {
	m := newMachine()
	m.OnWrite(0, take(t, m, 0), Written)
	m.OnRead(10, Row{Holder: "a", Fence: 5, Beat: 10}, Stored{Version: 8, Era: 1})
	resumed := 2 * testTTL
	m.OnRead(resumed, Row{Holder: "a", Fence: 5, Beat: 10}, Stored{Version: 8, Era: 2})
	if action := m.Next(resumed); action.Kind == Write {
		t.Errorf("got %+v, want no write before the TTL has passed", action)
	}
	if action := m.Next(resumed + 2*testTTL); action.Kind != Write || action.Row.Fence == 5 {
		t.Errorf("got %+v, want a takeover under another fence", action)
	}
}

// TestHolderGoesOnInALaterEraWhileItsLeaseIsValid guards against duties that rest for a TTL
// whenever the table comes back from a copy.
func TestHolderGoesOnInALaterEraWhileItsLeaseIsValid(t *testing.T) {
	m := newMachine()
	m.OnWrite(0, take(t, m, 0), Written)
	m.OnRead(10, Row{Holder: "a", Fence: 5, Beat: 10}, Stored{Version: 8, Era: 1})
	m.OnRead(testTTL/2, Row{Holder: "a", Fence: 5, Beat: 10}, Stored{Version: 8, Era: 2})
	if action := m.Next(testTTL / 2); action.Kind != Write || action.Row.Fence != 5 {
		t.Errorf("got %+v, want a renewal", action)
	}
}

func TestCandidateWaitsForTheTTL(t *testing.T) {
	m := newMachine()
	m.OnRead(0, Row{Holder: "b", Fence: 3, Beat: 3}, Stored{Version: 5})
	for now := clock.Millis(0); now < testTTL; now += 100 {
		if action := m.Next(now); action.Kind == Write {
			t.Fatalf("candidate took over at %v, before the TTL passed", now)
		}
		m.OnRead(now, Row{Holder: "b", Fence: 3, Beat: 3}, Stored{Version: 5})
	}
	m.OnRead(testTTL-1, Row{Holder: "b", Fence: 3, Beat: 4}, Stored{Version: 6})
	if action := m.Next(testTTL + testTTL/2); action.Kind == Write {
		t.Error("candidate took over although the row had changed")
	}
	if action := m.Next(2*testTTL + 1000); action.Kind != Write || action.Row.Fence != 4 {
		t.Errorf("got %+v, want a write with fence 4", action)
	}
}

func TestReleaseIsNotValidAndHandsOver(t *testing.T) {
	m := newMachine()
	m.OnWrite(0, take(t, m, 0), Written)
	m.Resign()
	if _, _, ok := m.Valid(1); ok {
		t.Error("lease is valid after Resign")
	}
	if action := m.Next(1); action.Kind != Read {
		t.Fatalf("got %+v, want a read", action)
	}
	m.OnRead(2, Row{Holder: "a", Fence: 5, Beat: 10}, Stored{Version: 8})
	action := m.Next(2)
	if action.Kind != Write || action.Row.Holder != "" || action.Row.Fence != 5 {
		t.Fatalf("got %+v, want a write with an empty holder and fence 5", action)
	}
	m.OnWrite(3, action.Row, Written)
	if !m.Released() {
		t.Error("got Released false after the release was written, want true")
	}
	next := newMachine()
	next.OnRead(3, action.Row, Stored{Version: 9})
	if action := next.Next(3); action.Kind != Write || action.Row.Fence != 6 {
		t.Errorf("candidate of a released lease: got %+v, want a write with fence 6", action)
	}
}
