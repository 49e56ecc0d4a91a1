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

// daemon is one daemon with a link on loopback and a manual clock for batches.
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

func within(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	t.Cleanup(cancel)
	return ctx
}

func TestCopiesSurviveOwnerAndOneHolder(t *testing.T) {
	f := newFleet(t, "a", "b", "c")
	ctx := within(t)
	f.daemons[0].meter.Record(meter.Usage{Team: "t", Class: "c", Backend: "b", OutputTokens: 7})
	f.daemons[0].owner.CutAndCopy(ctx)
	f.dead[0].Store(true)
	f.dead[1].Store(true) // a second failure domain is lost as well
	f.manual.Advance(grace)
	f.daemons[2].copies.SaveOrphans(ctx)
	if got := f.saved(t); got.Requests != 1 || got.OutputTokens != 7 {
		t.Fatalf("saved %+v", got)
	}
}

func TestEveryHolderMayRescue(t *testing.T) {
	f := newFleet(t, "a", "b", "c")
	ctx := within(t)
	for range 3 {
		f.daemons[0].meter.Record(meter.Usage{Team: "t", OutputTokens: 1})
		f.daemons[0].owner.CutAndCopy(ctx)
	}
	if _, err := f.daemons[0].owner.Save(ctx); err != nil {
		t.Fatal(err)
	}
	f.manual.Advance(silence)
	f.daemons[1].copies.SaveOrphans(ctx)
	f.daemons[2].copies.SaveOrphans(ctx)
	if got := f.saved(t); got.Requests != 3 {
		t.Fatalf("saved %+v", got)
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
			t.Fatalf("daemon %d: peers %v", i, peers)
		}
		for _, peer := range peers {
			if domains[peer] == f.view[i].FailureDomain {
				t.Errorf("daemon %d of %s has copies in %s", i, f.view[i].FailureDomain, peer)
			}
		}
	}
	alone := newFleet(t, "a", "a")
	if peers := alone.daemons[0].peers(); len(peers) != 1 || peers[0] != "vm-1" {
		t.Fatalf("in a single domain: %v", peers)
	}
}

func TestFlushLeavesNothingBehind(t *testing.T) {
	f := newFleet(t, "a", "b", "c")
	ctx := within(t)
	f.daemons[0].meter.Record(meter.Usage{Team: "t", OutputTokens: 1})
	f.daemons[0].owner.CutAndCopy(ctx)
	f.daemons[0].meter.Record(meter.Usage{Team: "t", OutputTokens: 1})
	if err := f.daemons[0].Flush(ctx); err != nil {
		t.Fatal(err)
	}
	if got := f.saved(t); got.Requests != 2 {
		t.Fatalf("saved %+v", got)
	}
	for i, d := range f.daemons {
		if d.copies.Bytes() != 0 || d.owner.Bytes() != 0 {
			t.Errorf("daemon %d keeps %d and %d bytes", i, d.copies.Bytes(), d.owner.Bytes())
		}
	}
}

// TestRollingReplacementDuringAnOutage ends one daemon after another, each told to
// by a graceful shutdown, while the table is down.
func TestRollingReplacementDuringAnOutage(t *testing.T) {
	f := newFleet(t, "a", "b", "c", "a", "b", "c", "a")
	f.memory.SetFault(table.Fault{Down: true})
	for i, d := range f.daemons[:6] {
		d.meter.Record(meter.Usage{Team: "t", OutputTokens: 1})
		d.owner.CutAndCopy(within(t))
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		f.manual.Advance(patience)
		go func() { // the flush waits for the table as long as its patience
			for ctx.Err() == nil {
				if f.manual.Sleepers() > 0 {
					f.manual.Advance(minInterval)
				}
				time.Sleep(time.Millisecond)
			}
		}()
		if err := d.Flush(ctx); err == nil {
			t.Fatal("the outage was not brought about")
		}
		cancel()
		f.dead[i].Store(true)
		d.link.Close()
	}
	f.memory.SetFault(table.Fault{})
	f.manual.Advance(grace)
	f.daemons[6].copies.SaveOrphans(within(t))
	if got := f.saved(t); got.Requests != 6 {
		t.Fatalf("saved %+v", got)
	}
}

func TestLeavingDaemonKeepsNoCopies(t *testing.T) {
	f := newFleet(t, "a", "b", "c", "d")
	ctx := within(t)
	leaver := f.daemons[0].peers()[0]
	for i, m := range f.view {
		if m.ID == leaver {
			if err := f.daemons[i].Flush(ctx); err != nil {
				t.Fatal(err)
			}
		}
	}
	f.daemons[0].meter.Record(meter.Usage{Team: "t"})
	f.daemons[0].owner.CutAndCopy(ctx)
	f.daemons[0].owner.CutAndCopy(ctx)
	if peers := f.daemons[0].peers(); slices.Contains(peers, leaver) || len(peers) != copyCount {
		t.Fatalf("peers %v", peers)
	}
	holders := 0
	for _, d := range f.daemons {
		if d.copies.Bytes() > 0 {
			holders++
		}
	}
	if holders != copyCount {
		t.Fatalf("%d holders", holders)
	}
}

// TestHandOverGoesPastPeersThatEnd has both first heirs fail: one is leaving and
// one was killed, and the list of daemons does not tell yet.
func TestHandOverGoesPastPeersThatEnd(t *testing.T) {
	f := newFleet(t, "a", "b", "c", "d", "e", "f")
	ctx := within(t)
	f.daemons[0].meter.Record(meter.Usage{Team: "t"})
	f.daemons[0].owner.CutAndCopy(ctx)
	owner := f.daemons[0].cfg.Incarnation
	f.dead[0].Store(true)
	f.memory.SetFault(table.Fault{Down: true})
	holder := f.find(t, f.daemons[0].peers()[0])
	failing := holder.heirs(owner)
	f.find(t, failing[0]).ending = true
	f.find(t, failing[1]).link.Close()
	if err := holder.copies.HandOver(ctx); err != nil {
		t.Fatal(err)
	}
	heirs := holder.heirs(owner)
	for _, heir := range heirs {
		if slices.Contains(failing, heir) || f.find(t, heir).copies.Bytes() == 0 {
			t.Errorf("heirs %v, failing %v: %s has %d bytes", heirs, failing, heir, f.find(t, heir).copies.Bytes())
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

func TestMalformedParcelIsRefused(t *testing.T) {
	f := newFleet(t, "a", "b")
	for _, parcel := range []batch.CopyRequest{
		{Incarnation: "r/x.1", Sequences: []uint64{1}},
		{Incarnation: "nameless"},
	} {
		if _, err := f.daemons[0].take(context.Background(), "vm-1", parcel); err == nil {
			t.Errorf("taken: %+v", parcel)
		}
	}
}

func TestOwnerID(t *testing.T) {
	self := member.Member{ID: "vm.3", Region: "sask-central"}
	for _, nonce := range []string{"81f2", "vm.3.81f2"} {
		if got := ownerID(Incarnation(self, nonce)); got != "vm.3" {
			t.Errorf("nonce %s: got %q", nonce, got)
		}
	}
}
