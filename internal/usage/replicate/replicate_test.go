package replicate

import (
	"context"
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus/hooks/test"

	"github.com/banyanshift/banyanshift/coord/batch"
	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/coord/member"
	"github.com/banyanshift/banyanshift/coord/table"
	"github.com/banyanshift/banyanshift/internal/peer/link"
	"github.com/banyanshift/banyanshift/internal/platform/usage"
	"github.com/banyanshift/banyanshift/internal/usage/meter"
)

// daemon is a Replicator with a loopback link and a manual clock.
type daemon struct {
	*Replicator
	meter *meter.Meter
	link  *link.Link
}

type fleet struct {
	memory  *table.Memory
	manual  *clock.Manual
	daemons []*daemon
	view    []member.Member
	dead    [8]atomic.Bool
}

func newFleet(t *testing.T, domains ...string) *fleet {
	t.Helper()
	f := &fleet{memory: table.NewMemory(), manual: clock.NewManual(1)}
	logger, _ := test.NewNullLogger()
	for i, domain := range domains {
		l := link.New(link.Config{ID: fmt.Sprint("vm-", i), Listen: "127.0.0.1:0"}, clock.System(), logger)
		self := member.Member{ID: fmt.Sprint("vm-", i), Region: "r", FailureDomain: domain, State: member.Alive}
		m := meter.New()
		d := &daemon{meter: m, link: l, Replicator: New(Config{
			Link: l, Clock: f.manual.Clock(), Logger: logger, Table: f.memory.Client(), Self: self,
			Incarnation: Incarnation(self, "1"), View: f.live, TakePayload: m.TakePayload,
		})}
		if err := l.Start(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { l.Close() })
		self.Address = l.Address()
		f.view = append(f.view, self)
		f.daemons = append(f.daemons, d)
	}
	return f
}

func (f *fleet) live() []member.Member {
	view := append([]member.Member(nil), f.view...)
	for i := range view {
		if f.dead[i].Load() {
			view[i].State = member.Dead
		}
	}
	return view
}

func (f *fleet) saved(t *testing.T) (sum usage.Line) {
	t.Helper()
	rows, err := f.memory.Client().Scan(context.Background(), BatchPrefix, "", 1000)
	if err != nil {
		t.Fatal(err)
	}
	for _, row := range rows {
		lines, err := meter.Decode(row.Value)
		if err != nil {
			t.Fatal(err)
		}
		for _, line := range lines {
			sum.Requests += line.Requests
			sum.OutputTokens += line.OutputTokens
		}
	}
	return sum
}

func testContext(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	t.Cleanup(cancel)
	return ctx
}

func TestCopiesSurviveOwnerAndOneHolder(t *testing.T) {
	f := newFleet(t, "a", "b", "c")
	ctx := testContext(t)
	f.daemons[0].meter.Record(meter.Usage{Team: "t", Class: "c", Backend: "b", OutputTokens: 7})
	f.daemons[0].owner.CutAndCopy(ctx)
	f.dead[0].Store(true)
	f.dead[1].Store(true) // a second failure domain is lost as well
	f.manual.Advance(rescueGrace)
	f.daemons[2].copies.SaveOrphans(ctx)
	if got := f.saved(t); got.Requests != 1 || got.OutputTokens != 7 {
		t.Fatalf("got saved usage %+v", got)
	}
}

func TestEveryHolderMayRescue(t *testing.T) {
	f := newFleet(t, "a", "b", "c")
	ctx := testContext(t)
	for range 3 {
		f.daemons[0].meter.Record(meter.Usage{Team: "t", OutputTokens: 1})
		f.daemons[0].owner.CutAndCopy(ctx)
	}
	if _, err := f.daemons[0].owner.Save(ctx); err != nil {
		t.Fatal(err)
	}
	f.manual.Advance(rescueSilence)
	f.daemons[1].copies.SaveOrphans(ctx)
	f.daemons[2].copies.SaveOrphans(ctx)
	if got := f.saved(t); got.Requests != 3 {
		t.Fatalf("got saved usage %+v", got)
	}
}

func TestPeersAreInOtherDomains(t *testing.T) {
	f := newFleet(t, "a", "a", "a", "b", "b", "c")
	domains := map[string]string{}
	for _, m := range f.view {
		domains[m.ID] = m.FailureDomain
	}
	for i, d := range f.daemons {
		peers := d.peers()
		if len(peers) != copyCount || domains[peers[0]] == domains[peers[1]] {
			t.Fatalf("daemon %d: got peers %v, want copyCount peers in different failure domains", i, peers)
		}
		for _, peer := range peers {
			if domains[peer] == f.view[i].FailureDomain {
				t.Errorf("daemon %d: own failure domain %s also has the peer %s", i, f.view[i].FailureDomain, peer)
			}
		}
	}
	alone := newFleet(t, "a", "a")
	if peers := alone.daemons[0].peers(); len(peers) != 1 || peers[0] != "vm-1" {
		t.Fatalf("got peers %v in a single failure domain, want [vm-1]", peers)
	}
}

func TestFlushLeavesNothingBehind(t *testing.T) {
	f := newFleet(t, "a", "b", "c")
	ctx := testContext(t)
	f.daemons[0].meter.Record(meter.Usage{Team: "t", OutputTokens: 1})
	f.daemons[0].owner.CutAndCopy(ctx)
	f.daemons[0].meter.Record(meter.Usage{Team: "t", OutputTokens: 1})
	if err := f.daemons[0].Flush(ctx); err != nil {
		t.Fatal(err)
	}
	if got := f.saved(t); got.Requests != 2 {
		t.Fatalf("got saved usage %+v", got)
	}
	for i, d := range f.daemons {
		if d.copies.Bytes() != 0 || d.owner.Bytes() != 0 {
			t.Errorf("daemon %d: got %d bytes of copies and %d bytes of its own batches, want 0", i, d.copies.Bytes(), d.owner.Bytes())
		}
	}
}

// TestRollingReplacementDuringAnOutage shuts down one daemon after another
// gracefully while the table is down. Each hands its copies on, and the last
// daemon writes them once the table is back.
func TestRollingReplacementDuringAnOutage(t *testing.T) {
	f := newFleet(t, "a", "b", "c", "a", "b", "c", "a")
	f.memory.SetFault(table.Fault{Down: true})
	for i, d := range f.daemons[:6] {
		d.meter.Record(meter.Usage{Team: "t", OutputTokens: 1})
		d.owner.CutAndCopy(testContext(t))
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		f.manual.Advance(maxFlushWait)
		go func() { // Flush retries the table until maxFlushWait has passed
			for ctx.Err() == nil {
				if f.manual.Sleepers() > 0 {
					f.manual.Advance(minInterval)
				}
				time.Sleep(time.Millisecond)
			}
		}()
		if err := d.Flush(ctx); err == nil {
			t.Fatal("Flush succeeded, want an error while the table is down")
		}
		cancel()
		f.dead[i].Store(true)
		d.link.Close()
	}
	f.memory.SetFault(table.Fault{})
	f.manual.Advance(rescueGrace)
	f.daemons[6].copies.SaveOrphans(testContext(t))
	if got := f.saved(t); got.Requests != 6 {
		t.Fatalf("got saved usage %+v", got)
	}
}

func TestLeavingDaemonKeepsNoCopies(t *testing.T) {
	f := newFleet(t, "a", "b", "c", "d")
	ctx := testContext(t)
	leavingPeer := f.daemons[0].peers()[0]
	for i, m := range f.view {
		if m.ID == leavingPeer {
			if err := f.daemons[i].Flush(ctx); err != nil {
				t.Fatal(err)
			}
		}
	}
	f.daemons[0].meter.Record(meter.Usage{Team: "t"})
	f.daemons[0].owner.CutAndCopy(ctx)
	f.daemons[0].owner.CutAndCopy(ctx)
	if peers := f.daemons[0].peers(); slices.Contains(peers, leavingPeer) || len(peers) != copyCount {
		t.Fatalf("got peers %v, want copyCount peers without the leaving one", peers)
	}
	holders := 0
	for _, d := range f.daemons {
		if d.copies.Bytes() > 0 {
			holders++
		}
	}
	if holders != copyCount {
		t.Fatalf("got %d daemons with copies, want copyCount", holders)
	}
}

// TestHandOverSkipsFailedPeers makes the first two hand-over peers fail: one is
// leaving and one was killed, but the view still lists both as alive.
func TestHandOverSkipsFailedPeers(t *testing.T) {
	f := newFleet(t, "a", "b", "c", "d", "e", "f")
	ctx := testContext(t)
	f.daemons[0].meter.Record(meter.Usage{Team: "t"})
	f.daemons[0].owner.CutAndCopy(ctx)
	owner := f.daemons[0].cfg.Incarnation
	f.dead[0].Store(true)
	f.memory.SetFault(table.Fault{Down: true})
	holder := f.find(t, f.daemons[0].peers()[0])
	failing := holder.handOverPeers(owner)
	f.find(t, failing[0]).leaving = true
	f.find(t, failing[1]).link.Close()
	if err := holder.copies.HandOver(ctx); err != nil {
		t.Fatal(err)
	}
	peers := holder.handOverPeers(owner)
	for _, peer := range peers {
		if slices.Contains(failing, peer) || f.find(t, peer).copies.Bytes() == 0 {
			t.Errorf("got hand-over peers %v after %v failed, and %s with %d bytes; want other peers that hold copies", peers, failing, peer, f.find(t, peer).copies.Bytes())
		}
	}
}

func (f *fleet) find(t *testing.T, id string) *daemon {
	t.Helper()
	for i, m := range f.view {
		if m.ID == id {
			return f.daemons[i]
		}
	}
	t.Fatalf("no daemon %s", id)
	return nil
}

func TestMalformedCopyRequestIsRejected(t *testing.T) {
	f := newFleet(t, "a", "b")
	for _, request := range []batch.CopyRequest{
		{Incarnation: "r/x.1", Sequences: []uint64{1}},
		{Incarnation: "nameless"},
	} {
		if _, err := f.daemons[0].handleCopyRequest(context.Background(), "vm-1", request); err == nil {
			t.Errorf("request %+v was accepted, want an error", request)
		}
	}
}

func TestOwnerID(t *testing.T) {
	self := member.Member{ID: "vm.3", Region: "sask-central"}
	for _, nonce := range []string{"81f2", "vm.3.81f2"} {
		if got := ownerID(Incarnation(self, nonce)); got != "vm.3" {
			t.Errorf("nonce %s: got %q, want vm.3", nonce, got)
		}
	}
}
