package member

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/banyanshift/banyanshift/coord/clock"
)

// simulation runs many views in one process on a simulated clock. Messages take
// some milliseconds; links between members can be cut.
type simulation struct {
	t     testing.TB
	rng   *rand.Rand
	now   clock.Millis
	nodes map[string]*node
	ids   []string
	queue eventQueue
	order int
	// cut reports whether messages between two members are lost.
	cut func(a, b Member) bool
	// bytes counts the bytes that all members sent while measure is set.
	bytes   int
	measure bool
}

type node struct {
	sim  *simulation
	self Member
	view *View
	down bool
	// pausedUntil is when the paused process continues its work.
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

const callTimeout = 400 * clock.Millisecond

func newSimulation(t testing.TB, members []Member) *simulation {
	w := &simulation{
		t: t, rng: rand.New(rand.NewPCG(5, 6)), nodes: make(map[string]*node),
		cut: func(Member, Member) bool { return false },
	}
	for _, m := range members {
		w.ids = append(w.ids, m.ID)
		w.start(m)
	}
	w.list(members)
	return w
}

func (w *simulation) start(m Member) *node {
	n := &node{sim: w, self: m}
	n.view = New(Config{Self: m, Timing: DefaultTiming(), Rand: rand.New(rand.NewPCG(m.Incarnation, w.rng.Uint64()))})
	w.nodes[m.ID] = n
	w.after(clock.Millis(w.rng.Int64N(500)), n.tick)
	return n
}

// list passes the platform's list to all members.
func (w *simulation) list(members []Member) {
	var listed []ListedMember
	for _, m := range members {
		listed = append(listed, ListedMember{ID: m.ID, Address: m.Address, Region: m.Region, FailureDomain: m.FailureDomain})
	}
	for _, id := range w.ids {
		w.nodes[id].view.OnList(w.now, listed)
	}
}

func (w *simulation) after(d clock.Millis, do func()) {
	w.order++
	heap.Push(&w.queue, event{at: w.now + d, order: w.order, do: do})
}

func (w *simulation) run(d clock.Millis) {
	until := w.now + d
	for len(w.queue) > 0 && w.queue[0].at <= until {
		next := heap.Pop(&w.queue).(event)
		w.now = next.at
		next.do()
	}
	w.now = until
}

// runUntil runs in steps until the condition holds and returns how long that
// took.
func (w *simulation) runUntil(what string, limit clock.Millis, condition func() bool) clock.Millis {
	w.t.Helper()
	started := w.now
	step := 100 * clock.Millisecond
	if len(w.ids) > 100 {
		step = clock.Second
	}
	for !condition() {
		if w.now-started > limit {
			w.t.Fatalf("not reached within %v: %s", limit, what)
		}
		w.run(step)
	}
	return w.now - started
}

func (n *node) tick() {
	if n.sim.nodes[n.self.ID] != n || n.down {
		return
	}
	n.whenRunning(func() {
		n.send(n.view.Tick(n.sim.now))
		n.sim.after(DefaultTiming().ProbeInterval, n.tick)
	})
}

func (n *node) whenRunning(do func()) {
	if wait := n.pausedUntil - n.sim.now; wait > 0 {
		n.sim.after(wait, func() { n.whenRunning(do) })
		return
	}
	do()
}

func (n *node) send(actions []Action) {
	for _, action := range actions {
		path := []string{action.Target.ID}
		if action.Via != nil {
			path = []string{action.Via.ID, action.Target.ID}
		}
		n.probe(action, path)
	}
}

// probe sends a probe along the path, directly or through a helper, and reports
// the result to the view. Messages are counted once per hop.
func (n *node) probe(action Action, path []string) {
	w := n.sim
	acked, viaResponded := false, false
	w.after(callTimeout*clock.Millis(len(path)), func() {
		n.whenRunning(func() {
			if !acked {
				n.send(n.view.OnFailed(w.now, action, viaResponded))
			}
		})
	})
	w.count(len(path), action.Probe)
	route := make([]*node, 0, len(path))
	for _, id := range path {
		route = append(route, w.nodes[id])
	}
	w.hop(n, route, func(helper *node) {
		if w.canReach(helper, n) {
			w.after(2*callTimeout-50, func() { viaResponded = true })
		}
	}, func(target *node) {
		ack := target.view.OnProbe(w.now, n.self.ID, action.Probe)
		w.count(len(path), ack)
		back := append([]*node{n}, route[:len(route)-1]...)
		from := target
		for i := len(back) - 1; i >= 0; i-- {
			if !w.canReach(from, back[i]) {
				return
			}
			from = back[i]
		}
		w.after(2*clock.Millis(len(path)), func() {
			n.whenRunning(func() {
				acked = true
				n.send(n.view.OnAck(w.now, action, ack))
			})
		})
	})
}

func (w *simulation) canReach(from, to *node) bool {
	return to != nil && !to.down && !w.cut(from.self, to.self)
}

// hop delivers a message along the route, and calls passed at each helper and
// arrive at the target.
func (w *simulation) hop(from *node, route []*node, passed, arrive func(n *node)) {
	next := route[0]
	if !w.canReach(from, next) {
		return
	}
	w.after(1+clock.Millis(w.rng.Int64N(3)), func() {
		next.whenRunning(func() {
			if len(route) > 1 {
				passed(next)
				w.hop(next, route[1:], passed, arrive)
				return
			}
			arrive(next)
		})
	})
}

func (w *simulation) count(hops int, body any) {
	if !w.measure {
		return
	}
	encoder := msgpack.GetEncoder()
	defer msgpack.PutEncoder(encoder)
	counter := &byteCounter{}
	encoder.Reset(counter)
	encoder.UseCompactInts(true)
	encoder.SetOmitEmpty(true)
	if err := encoder.Encode(body); err != nil {
		w.t.Error(err)
	}
	const frameHeader = 16
	w.bytes += hops * (counter.bytes + frameHeader)
}

type byteCounter struct{ bytes int }

func (c *byteCounter) Write(data []byte) (int, error) {
	c.bytes += len(data)
	return len(data), nil
}

func (w *simulation) state(seenBy, of string) State {
	for _, m := range w.nodes[seenBy].view.Members() {
		if m.ID == of {
			return m.State
		}
	}
	return ""
}

// agree reports whether all running members for which who holds see the members
// for which of holds in the state.
func (w *simulation) agree(state State, who, of func(m Member) bool) bool {
	for _, observer := range w.ids {
		n := w.nodes[observer]
		if n.down || !who(n.self) {
			continue
		}
		for _, m := range n.view.Members() {
			if m.ID != observer && of(m) && m.State != state {
				return false
			}
		}
	}
	return true
}

// minority reports whether all running members for which who holds see at most
// half of the known members alive.
func (w *simulation) minority(who func(m Member) bool) bool {
	for _, id := range w.ids {
		n := w.nodes[id]
		if alive, known := n.view.MemberCounts(); who(n.self) && !n.down && 2*alive > known {
			return false
		}
	}
	return true
}

func anyMember(Member) bool { return true }

func only(id string) func(Member) bool { return func(m Member) bool { return m.ID == id } }

func TestDeathIsDetectedAndRestartAccepted(t *testing.T) {
	members := fleet(3, 3)
	w := newSimulation(t, members)
	w.run(10 * clock.Second)
	if !w.agree(Alive, anyMember, anyMember) {
		t.Fatal("not all alive at first")
	}
	victim := members[4]
	w.nodes[victim.ID].down = true
	took := w.runUntil("the member is dead in all views", 15*clock.Second, func() bool { return w.agree(Dead, anyMember, only(victim.ID)) })
	t.Logf("9 members: dead in all views after %v", took)
	if live, known := w.nodes[members[0].ID].view.MemberCounts(); live != 8 || known != 9 {
		t.Errorf("got %d of %d members alive, want 8 of 9", live, known)
	}
	again := victim
	again.Incarnation = 1000
	w.start(again)
	w.nodes[victim.ID].view.OnList(w.now, []ListedMember{{ID: members[0].ID, Address: members[0].Address, FailureDomain: members[0].FailureDomain}})
	w.runUntil("the member is alive in all views", 15*clock.Second, func() bool { return w.agree(Alive, anyMember, only(victim.ID)) })
	w.runUntil("the restarted member knows all members", 30*clock.Second, func() bool { return len(w.nodes[victim.ID].view.Members()) == 9 })
}

func TestLeavingIsSticky(t *testing.T) {
	members := fleet(3, 3)
	w := newSimulation(t, members)
	w.run(5 * clock.Second)
	leaver := members[2].ID
	w.nodes[leaver].view.Leave()
	w.runUntil("the member is leaving in all views", 10*clock.Second, func() bool { return w.agree(Leaving, anyMember, only(leaver)) })
	// The member still answers probes and refutes suspicions, but stays leaving.
	w.nodes[members[0].ID].view.merge(w.now, Member{ID: leaver, State: Alive, Incarnation: w.nodes[leaver].view.Self().Incarnation})
	w.run(20 * clock.Second)
	if !w.agree(Leaving, anyMember, only(leaver)) {
		t.Error("a leaving member is alive again")
	}
	if picked := Pick(w.nodes[members[0].ID].view.Members(), "key", 9); len(picked) != 8 {
		t.Errorf("%d members can be picked, want 8", len(picked))
	}
}

func TestListOnlyAdds(t *testing.T) {
	members := fleet(2, 2)
	w := newSimulation(t, members)
	w.run(5 * clock.Second)
	v := w.nodes[members[0].ID].view
	v.OnList(w.now, []ListedMember{
		{ID: members[1].ID, Leaving: true},
		{ID: "vm-new", Address: "10.9.9.9:7000", FailureDomain: "domain-00"},
	})
	if got := w.state(members[0].ID, members[1].ID); got != Leaving {
		t.Errorf("member listed as leaving is %s", got)
	}
	if got := w.state(members[0].ID, members[2].ID); got != Alive {
		t.Errorf("live member missing from the list is %s", got)
	}
	w.runUntil("the listed member that does not exist is dead", 20*clock.Second, func() bool {
		return w.state(members[0].ID, "vm-new") == Dead
	})
	v.OnList(w.now, nil)
	v.OnList(w.now+2*clock.Minute, nil)
	if got := w.state(members[0].ID, "vm-new"); got != "" {
		t.Errorf("dead unlisted member is still known as %s", got)
	}
}

func TestPartitionedDomainSeesItselfAsMinority(t *testing.T) {
	members := fleet(3, 3)
	w := newSimulation(t, members)
	w.run(5 * clock.Second)
	in := func(m Member) bool { return m.FailureDomain == "domain-02" }
	w.cut = func(a, b Member) bool { return in(a) != in(b) }
	took := w.runUntil("minority", 15*clock.Second, func() bool { return w.minority(in) })
	t.Logf("3 of 9 members know that they are a minority %v after they were cut off", took)
	w.run(2 * clock.Minute)
	w.cut = func(Member, Member) bool { return false }
	took = w.runUntil("healed", 15*clock.Second, func() bool { return w.agree(Alive, anyMember, anyMember) })
	t.Logf("9 members: all alive again %v after the domain came back", took)
}

// Two failure domains cannot reach each other. Probes through helpers in the third
// one keep all members alive.
func TestBrokenLinkBetweenTwoDomainsKillsNoMember(t *testing.T) {
	members := fleet(3, 3)
	w := newSimulation(t, members)
	w.run(5 * clock.Second)
	w.cut = func(a, b Member) bool {
		return a.FailureDomain == "domain-00" && b.FailureDomain == "domain-01" ||
			a.FailureDomain == "domain-01" && b.FailureDomain == "domain-00"
	}
	for range 600 {
		w.run(100)
		if !w.agree(Alive, anyMember, anyMember) {
			// A member may become suspect and refute it, but must not be declared dead.
			for _, id := range w.ids {
				for _, m := range w.nodes[id].view.Members() {
					if m.State == Dead {
						t.Fatalf("%s sees %s dead", id, m.ID)
					}
				}
			}
		}
	}
}

// A process that continues after a pause does not declare others dead, and becomes
// alive again in their views.
func TestPause(t *testing.T) {
	members := fleet(3, 3)
	w := newSimulation(t, members)
	w.run(5 * clock.Second)
	paused := w.nodes[members[0].ID]
	paused.pausedUntil = w.now + clock.Minute
	w.run(59 * clock.Second)
	if !w.agree(Dead, func(m Member) bool { return m.ID != paused.self.ID }, only(paused.self.ID)) {
		t.Error("a member that was paused for a minute is not dead in all other views")
	}
	for range 100 {
		w.run(100)
		for _, m := range paused.view.Members() {
			if m.State == Dead {
				t.Fatalf("after its pause the member sees %s dead", m.ID)
			}
		}
	}
	w.runUntil("paused member is alive again", 20*clock.Second, func() bool { return w.agree(Alive, anyMember, anyMember) })
}

// fleetOf370 returns a fleet of the planned size: 14 failure domains in 4 regions.
func fleetOf370() []Member {
	return fleet(14, 27)[:370]
}

func TestLargeFleetThroughPartition(t *testing.T) {
	members := fleetOf370()
	w := newSimulation(t, members)
	w.run(5 * clock.Second)
	victim := members[100]
	w.nodes[victim.ID].down = true
	took := w.runUntil("the member is dead in all views", clock.Minute, func() bool { return w.agree(Dead, anyMember, only(victim.ID)) })
	t.Logf("370 members: dead in all views after %v", took)

	inRegion := func(m Member) bool { return m.Region == "region-1" }
	outside := func(m Member) bool { return !inRegion(m) }
	w.cut = func(a, b Member) bool { return inRegion(a) != inRegion(b) }
	took = w.runUntil("the minority side sees itself as the minority", 30*clock.Second, func() bool { return w.minority(inRegion) })
	t.Logf("370 members: cut-off region sees itself as a minority after %v", took)
	took += w.runUntil("both sides see the other dead", 2*clock.Minute, func() bool {
		return w.agree(Dead, inRegion, outside) && w.agree(Dead, outside, inRegion)
	})
	t.Logf("370 members: cut-off region is dead in all views after %v", took)
	if live, known := w.nodes[members[27].ID].view.MemberCounts(); 2*live > known {
		t.Errorf("a member of the minority side sees %d of %d alive", live, known)
	}
	if live, known := w.nodes[members[0].ID].view.MemberCounts(); 2*live <= known {
		t.Errorf("a member of the majority side sees %d of %d alive", live, known)
	}
	w.run(90 * clock.Second)
	w.cut = func(Member, Member) bool { return false }
	others := func(m Member) bool { return m.ID != victim.ID }
	took = w.runUntil("healed", 2*clock.Minute, func() bool { return w.agree(Alive, anyMember, others) })
	t.Logf("370 members: all alive again %v after the region came back", took)
}

// BenchmarkBytes reports the bytes per second that each member sends for
// membership: idle, after three restarts, and in the minute after a region is cut
// off.
func BenchmarkBytes(b *testing.B) {
	for _, c := range []struct {
		name    string
		members []Member
	}{{"9", fleet(3, 3)}, {"64", fleet(8, 8)}, {"370", fleetOf370()}} {
		b.Run(c.name, func(b *testing.B) {
			for b.Loop() {
				w := newSimulation(b, c.members)
				w.run(30 * clock.Second)
				perSecond := func(d clock.Millis) float64 {
					w.measure, w.bytes = true, 0
					w.run(d)
					w.measure = false
					return float64(w.bytes) / d.Seconds() / float64(len(c.members))
				}
				b.ReportMetric(perSecond(20*clock.Second), "quiet-B/s")
				for i := range 3 {
					again := c.members[i]
					again.Incarnation += 1000
					w.start(again)
					w.nodes[again.ID].view.OnList(w.now, []ListedMember{{ID: c.members[3].ID, Address: c.members[3].Address}})
				}
				b.ReportMetric(perSecond(20*clock.Second), "3-restarts-B/s")
				w.cut = func(x, y Member) bool { return (x.Region == "region-1") != (y.Region == "region-1") }
				b.ReportMetric(perSecond(60*clock.Second), "region-cut-B/s")
			}
		})
	}
}

// BenchmarkTick measures the CPU time of one probe interval of a member.
func BenchmarkTick(b *testing.B) {
	w := newSimulation(b, fleetOf370())
	w.run(10 * clock.Second)
	v := w.nodes[w.ids[0]].view
	peer := w.nodes[w.ids[1]]
	b.ReportAllocs()
	now := w.now
	for b.Loop() {
		now += DefaultTiming().ProbeInterval
		for _, action := range v.Tick(now) {
			v.OnAck(now, action, peer.view.OnProbe(now, w.ids[0], action.Probe))
		}
	}
}

func Example() {
	self := Member{ID: "vm-1", Address: "10.0.0.1:7000", FailureDomain: "a", Incarnation: 1}
	view := New(Config{Self: self, Timing: DefaultTiming(), Rand: rand.New(rand.NewPCG(1, 1))})
	view.OnList(0, []ListedMember{{ID: "vm-2", Address: "10.0.0.2:7000", FailureDomain: "b"}})

	probe := view.Tick(0)[0]
	fmt.Println("probe", probe.Target.ID)
	view.OnFailed(500, probe, false) // there is no helper, so vm-2 becomes suspect
	fmt.Println(view.Members()[1].State)
	for now := clock.Millis(500); now < 3000; now += 500 {
		view.Tick(now)
	}
	fmt.Println(view.Members()[1].State)
	// Output:
	// probe vm-2
	// Suspect
	// Dead
}
