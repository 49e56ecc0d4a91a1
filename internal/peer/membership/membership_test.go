package membership

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/coord/member"
	"github.com/banyanshift/banyanshift/internal/peer/link"
	"github.com/banyanshift/banyanshift/internal/platform/vmlist"
)

// list is a platform's list that the test sets, so that it can be out of date.
type list struct {
	mu  sync.Mutex
	vms []vmlist.VM
}

func (l *list) set(vms ...vmlist.VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.vms = vms
}

func (l *list) read(context.Context) ([]vmlist.VM, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]vmlist.VM(nil), l.vms...), nil
}

type daemon struct {
	id         string
	link       *link.Link
	membership *Membership
	sequence   atomic.Uint64
	received   atomic.Uint64
	stop       func()
}

func start(t *testing.T, id, domain string, l *list) *daemon {
	t.Helper()
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	d := &daemon{id: id}
	d.link = link.New(link.Config{ID: id, Listen: "127.0.0.1:0"}, clock.System(), logger)
	timing := member.DefaultTiming()
	timing.ProbeInterval = 50 * clock.Millisecond
	timing.SuspicionTimeout = 500 * clock.Millisecond
	d.membership = New(Config{
		Self: member.Member{ID: id, Region: "sask-central", FailureDomain: domain},
		Link: d.link, List: vmlist.Client{List: l.read}, Clock: clock.System(), Logger: logger,
		Rand: rand.New(rand.NewPCG(1, uint64(len(id)))), Timing: timing,
		ConfigSequence: d.sequence.Load,
		HandleConfigSequence: func(sequence uint64) {
			for {
				old := d.received.Load()
				if sequence <= old || d.received.CompareAndSwap(old, sequence) {
					return
				}
			}
		},
	})
	if err := d.link.Start(); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = d.membership.Run(ctx)
	}()
	d.stop = sync.OnceFunc(func() {
		cancel()
		<-done
		d.link.Close()
	})
	t.Cleanup(d.stop)
	return d
}

func (d *daemon) vm(domain string) vmlist.VM {
	return vmlist.VM{ID: d.id, Address: d.link.Address(), Region: "sask-central", FailureDomain: domain}
}

func (d *daemon) stateOf(id string) member.State {
	for _, m := range d.membership.View() {
		if m.ID == id {
			return m.State
		}
	}
	return ""
}

func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(30 * time.Second)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting until %s", what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func all(daemons []*daemon, condition func(d *daemon) bool) func() bool {
	return func() bool {
		for _, d := range daemons {
			if !condition(d) {
				return false
			}
		}
		return true
	}
}

func startFleet(t *testing.T, l *list) []*daemon {
	t.Helper()
	var daemons []*daemon
	var vms []vmlist.VM
	for i := range 6 {
		domain := fmt.Sprint("domain-", i%3)
		d := start(t, fmt.Sprint("vm-", i), domain, l)
		daemons = append(daemons, d)
		vms = append(vms, d.vm(domain))
	}
	l.set(vms...)
	eventually(t, "all daemons know each other", all(daemons, func(d *daemon) bool {
		live, known := d.membership.MemberCounts()
		return live == 6 && known == 6
	}))
	return daemons
}

func TestDeathLeaveAndRestart(t *testing.T) {
	l := &list{}
	daemons := startFleet(t, l)
	changed := daemons[0].membership.Changed()
	daemons[5].stop()
	rest := daemons[:5]
	eventually(t, "the dead daemon is seen as dead", all(rest, func(d *daemon) bool { return d.stateOf("vm-5") == member.Dead }))
	<-changed

	daemons[4].membership.Leave()
	rest = daemons[:4]
	eventually(t, "the leaving daemon is seen as leaving", all(rest, func(d *daemon) bool { return d.stateOf("vm-4") == member.Leaving }))
	daemons[4].stop()

	// A new process with the ID of the dead daemon starts at another address,
	// which the list does not show yet.
	restarted := start(t, "vm-5", "domain-2", l)
	eventually(t, "the restarted daemon is seen as alive", all(rest, func(d *daemon) bool { return d.stateOf("vm-5") == member.Alive }))
	eventually(t, "the new address is known", all(rest, func(d *daemon) bool {
		for _, m := range d.membership.View() {
			if m.ID == "vm-5" {
				return m.Address == restarted.link.Address()
			}
		}
		return false
	}))
}

func TestProbesCarryTheConfigurationSequence(t *testing.T) {
	daemons := startFleet(t, &list{})
	daemons[3].sequence.Store(17)
	eventually(t, "all received the sequence", all(daemons, func(d *daemon) bool {
		return d == daemons[3] || d.received.Load() == 17
	}))
}

// A daemon that is missing from the list is discovered through its own probes.
func TestUnlistedDaemonIsDiscoveredThroughItsProbes(t *testing.T) {
	l := &list{}
	daemons := startFleet(t, l)
	unlisted := start(t, "vm-unlisted", "domain-1", l)
	eventually(t, "the unlisted daemon is known to all", all(daemons, func(d *daemon) bool { return d.stateOf("vm-unlisted") == member.Alive }))
	if live, _ := unlisted.membership.MemberCounts(); live != 7 {
		t.Errorf("got %d live daemons, want 7", live)
	}
}
