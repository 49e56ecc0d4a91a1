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

// world runs machines against one row. Messages take random times, answers
// are lost, writes land long after their sender gave up, processes are paused,
// and clocks start anywhere and run at different rates.
type world struct {
	rng     *rand.Rand
	now     clock.Millis
	row     Row
	version uint64
	procs   []*proc
	queue   eventQueue
	faults  bool
	problem string
	// fences holds who was seen valid under each fence.
	fences map[uint64]string
	takes  int
}

type proc struct {
	world   *world
	name    string
	machine *Machine
	offset  clock.Millis
	// rate is in millionths faster than true time.
	rate        int64
	pausedUntil clock.Millis
}

type event struct {
	at    clock.Millis
	order int
	do    func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func newWorld(seed uint64, procs int) *world {
	w := &world{rng: rand.New(rand.NewPCG(seed, 1)), faults: true, fences: make(map[uint64]string)}
	for i := range procs {
		name := fmt.Sprint("p", i)
		p := &proc{
			world:   w,
			name:    name,
			machine: NewMachine(name, testTTL, rand.New(rand.NewPCG(seed, uint64(i+2)))),
			offset:  clock.Millis(w.rng.Int64N(1000000)),
			rate:    w.rng.Int64N(40000) - 20000,
		}
		w.procs = append(w.procs, p)
		w.after(0, p.step)
	}
	return w
}

func (w *world) after(d clock.Millis, do func()) {
	heap.Push(&w.queue, event{at: w.now + d, order: w.rng.Int(), do: do})
}

func (p *proc) clock() clock.Millis {
	return p.offset + p.world.now + clock.Millis(int64(p.world.now)*p.rate/1000000)
}

// awake runs do when the process is not paused.
func (p *proc) awake(do func()) {
	if p.pausedUntil > p.world.now {
		p.world.after(p.pausedUntil-p.world.now, func() { p.awake(do) })
		return
	}
	do()
}

func (w *world) delay() clock.Millis {
	if w.faults && w.rng.IntN(12) == 0 {
		return clock.Millis(w.rng.Int64N(int64(3 * testTTL)))
	}
	return 1 + clock.Millis(w.rng.Int64N(20))
}

func (w *world) lost() bool { return w.faults && w.rng.IntN(6) == 0 }

func (p *proc) step() {
	p.awake(func() {
		if p.world.faults && p.world.rng.IntN(30) == 0 {
			p.pausedUntil = p.world.now + clock.Millis(p.world.rng.Int64N(int64(3*testTTL)))
		}
		action := p.machine.Next(p.clock())
		switch action.Kind {
		case Wait:
			p.world.after(max(1, action.Until-p.clock()), p.step)
		case Read:
			p.read()
		case Write:
			p.write(action)
		}
	})
}

// exchange sends a message and calls back once: with its answer, or with
// failed after a timeout.
func (p *proc) exchange(serve func(), answered, failed func()) {
	w := p.world
	done := false
	once := func(do func()) func() {
		return func() {
			p.awake(func() {
				if !done {
					done = true
					do()
					p.step()
				}
			})
		}
	}
	w.after(testTTL/renewalsPerTTL, once(failed))
	if w.lost() {
		return
	}
	w.after(w.delay(), func() {
		serve()
		if !w.lost() {
			w.after(w.delay(), once(answered))
		}
	})
}

func (p *proc) read() {
	var row Row
	var version uint64
	p.exchange(
		func() { row, version = p.world.row, p.world.version },
		func() { p.machine.OnRead(p.clock(), row, version) },
		func() { p.machine.OnReadFailed(p.clock()) },
	)
}

func (p *proc) write(action Action) {
	result := Conflicted
	p.exchange(
		func() {
			w := p.world
			if w.version == action.Version {
				if action.Row.Fence > w.row.Fence {
					w.takes++
				}
				w.version++
				w.row = action.Row
				result = Written
			}
		},
		func() { p.machine.OnWrite(p.clock(), action.Row, result) },
		func() { p.machine.OnWrite(p.clock(), action.Row, Unknown) },
	)
}

// check finds two processes that are valid at the same time, or a fence that
// two processes have used. Validity only grows at events, so that checking
// after each is enough.
func (w *world) check() {
	holder := ""
	for _, p := range w.procs {
		fence, _, ok := p.machine.Valid(p.clock())
		if !ok {
			continue
		}
		if holder != "" {
			w.problem = fmt.Sprintf("at %v both %s and %s are valid", w.now, holder, p.name)
		}
		holder = p.name
		if user, used := w.fences[fence]; used && user != p.name {
			w.problem = fmt.Sprintf("at %v fence %d of %s is used by %s", w.now, fence, user, p.name)
		}
		w.fences[fence] = p.name
	}
}

func (w *world) run(until clock.Millis) {
	for len(w.queue) > 0 && w.queue[0].at <= until && w.problem == "" {
		next := heap.Pop(&w.queue).(event)
		w.now = next.at
		next.do()
		w.check()
	}
	w.now = until
}

func (w *world) valid() string {
	for _, p := range w.procs {
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
	all.Property("at most one holder, and one again when faults end", prop.ForAll(func(seed uint64, procs int) string {
		w := newWorld(seed, procs)
		w.run(20 * clock.Minute)
		w.faults = false
		w.run(w.now + 6*testTTL)
		if w.problem == "" && w.valid() == "" {
			w.problem = "nobody holds the lease"
		}
		if w.problem == "" && w.takes < 3 {
			w.problem = "the faults did not make the lease change hands"
		}
		return w.problem
	}, gen.UInt64(), gen.IntRange(2, 5)))
	all.TestingRun(t)
}

// The margin is what makes clocks of different rates safe: with rates further
// apart than it covers, the same world finds two holders. This shows that the
// check above can fail.
func TestRatesBeyondTheMarginAreFound(t *testing.T) {
	for seed := range uint64(200) {
		w := newWorld(seed, 3)
		for i, p := range w.procs {
			p.rate = int64(i) * 400000
		}
		w.run(20 * clock.Minute)
		if w.problem != "" {
			return
		}
	}
	t.Error("no seed found two holders")
}

func newMachine() *Machine {
	return NewMachine("a", testTTL, rand.New(rand.NewPCG(1, 1)))
}

// take lets the machine take a released lease at the instant now.
func take(t *testing.T, m *Machine, now clock.Millis) Row {
	t.Helper()
	m.OnRead(now, Row{Fence: 4, Beat: 9}, 7)
	action := m.Next(now)
	if action.Kind != Write || action.Row.Holder != "a" || action.Row.Fence != 5 || action.Version != 7 {
		t.Fatalf("got %+v", action)
	}
	return action.Row
}

func TestValidityCountsFromBeforeTheRenewal(t *testing.T) {
	m := newMachine()
	row := take(t, m, 1000)
	m.OnWrite(3000, row, Written)
	fence, until, ok := m.Valid(3000)
	if want := 1000 + testTTL - testTTL/marginPart; !ok || fence != 5 || until != want {
		t.Errorf("fence %d until %v %v, want 5 until %v", fence, until, ok, want)
	}
	if _, _, ok := m.Valid(until); ok {
		t.Error("valid at its end")
	}
}

// A holder that is stopped for longer than the TTL, right after a check, finds
// its lease lapsed, and a renewal that it had under way counts from its start.
func TestPausedHolder(t *testing.T) {
	m := newMachine()
	m.OnWrite(0, take(t, m, 0), Written)
	m.OnRead(10, Row{Holder: "a", Fence: 5, Beat: 10}, 8)
	renewal := m.Next(testTTL / 3)
	if renewal.Kind != Write {
		t.Fatalf("got %+v", renewal)
	}
	resumed := testTTL/3 + clock.Minute
	if _, _, ok := m.Valid(resumed); ok {
		t.Error("valid after a pause of a minute")
	}
	m.OnWrite(resumed, renewal.Row, Written)
	if _, _, ok := m.Valid(resumed); ok {
		t.Error("an old renewal made the lease valid")
	}
	m.OnRead(resumed, Row{Holder: "b", Fence: 6, Beat: 30}, 40)
	if action := m.Next(resumed + testTTL/2); action.Kind != Read {
		t.Errorf("got %+v, want to read again", action)
	}
}

func TestCandidateWaitsForTheTTL(t *testing.T) {
	m := newMachine()
	m.OnRead(0, Row{Holder: "b", Fence: 3, Beat: 3}, 5)
	for now := clock.Millis(0); now < testTTL; now += 100 {
		if action := m.Next(now); action.Kind == Write {
			t.Fatalf("took over at %v", now)
		}
		m.OnRead(now, Row{Holder: "b", Fence: 3, Beat: 3}, 5)
	}
	m.OnRead(testTTL-1, Row{Holder: "b", Fence: 3, Beat: 4}, 6)
	if action := m.Next(testTTL + testTTL/2); action.Kind == Write {
		t.Error("took over though the row had changed")
	}
	if action := m.Next(2*testTTL + 1000); action.Kind != Write || action.Row.Fence != 4 {
		t.Errorf("got %+v, want to take over", action)
	}
}

func TestReleaseIsNotValidAndHandsOver(t *testing.T) {
	m := newMachine()
	m.OnWrite(0, take(t, m, 0), Written)
	m.Resign()
	if _, _, ok := m.Valid(1); ok {
		t.Error("valid after Resign")
	}
	if action := m.Next(1); action.Kind != Read {
		t.Fatalf("got %+v", action)
	}
	m.OnRead(2, Row{Holder: "a", Fence: 5, Beat: 10}, 8)
	action := m.Next(2)
	if action.Kind != Write || action.Row.Holder != "" || action.Row.Fence != 5 {
		t.Fatalf("got %+v", action)
	}
	m.OnWrite(3, action.Row, Written)
	if !m.Released() {
		t.Error("not released")
	}
	next := newMachine()
	next.OnRead(3, action.Row, 9)
	if action := next.Next(3); action.Kind != Write || action.Row.Fence != 6 {
		t.Errorf("candidate does %+v with a released lease", action)
	}
}
