package broker

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/coord/member"
	"github.com/banyanshift/banyanshift/internal/caller/request"
	"github.com/banyanshift/banyanshift/internal/config/entity"
	"github.com/banyanshift/banyanshift/internal/peer/link"
)

const region = "sask-central"

func discardLogger() logrus.FieldLogger {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return logger
}

func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); {
		if condition() {
			return
		}
		time.Sleep(2 * time.Millisecond)
	}
	t.Fatalf("timed out waiting until %s", what)
}

func testEndpoints(n int) []entity.Endpoint {
	list := make([]entity.Endpoint, n)
	for i := range list {
		list[i] = entity.Endpoint{
			ID: fmt.Sprintf("e%02d", i), Backend: "pool", Address: fmt.Sprintf("127.0.0.1:%d", 9000+i),
			Region: region, FailureDomain: fmt.Sprintf("d%d", i%3), Incarnation: "1",
		}
	}
	return list
}

// fleet is a set of brokers connected by real links on loopback.
type fleet struct {
	t       *testing.T
	brokers []*Broker
	links   []*link.Link
	mu      sync.Mutex
	view    []member.Member
}

func (f *fleet) members() []member.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]member.Member(nil), f.view...)
}

func (f *fleet) setState(i int, state member.State) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.view[i].State = state
}

func deps(slots int) Deps {
	return Deps{
		Clock:  clock.System(),
		Logger: discardLogger(),
		Class:  func(string) (entity.Class, bool) { return entity.Class{}, false },
		Team:   func(name string) (entity.Team, bool) { return entity.Team{Name: name, Weight: 1}, true },
		Backend: func(name string) (entity.Backend, bool) {
			return entity.Backend{Name: name, Type: entity.Model, Slots: slots}, true
		},
	}
}

func newFleet(t *testing.T, n, replicas, slots int) *fleet {
	t.Helper()
	f := &fleet{t: t}
	for i := range n {
		id := fmt.Sprintf("vm-%d", i)
		l := link.New(link.Config{ID: id, Listen: "127.0.0.1:0"}, clock.System(), discardLogger())
		d := deps(slots)
		d.Link, d.View = l, f.members
		b := New(Config{Self: id, Region: region, Seed: 7}, d)
		b.Register(l)
		if err := l.Start(); err != nil {
			t.Fatal(err)
		}
		f.brokers = append(f.brokers, b)
		f.links = append(f.links, l)
		f.view = append(f.view, member.Member{ID: id, Address: l.Address(), Region: region, State: member.Alive})
	}
	for _, b := range f.brokers {
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

func (f *fleet) brokerOf(key CellKey) int {
	picked := member.Pick(f.members(), key.String(), 1)
	for i, b := range f.brokers {
		if b.config.Self == picked[0].ID {
			return i
		}
	}
	f.t.Fatal("no daemon in the view is the broker of the cell")
	return -1
}

var onlyCell = CellKey{Backend: "pool", Region: region}

func newRequest(id, team string, tier int) *request.Request {
	return &request.Request{
		ID: id, Team: team, Class: fmt.Sprintf("tier%d", tier), Tier: tier, Backend: "pool",
		FirstTokenTarget: 800, MaxWait: 20 * clock.Second, PromptTokens: 50, Repeatable: true,
	}
}

func TestLocalPoliciesGrantAndRelease(t *testing.T) {
	for _, policy := range []Policy{Brokered, LocalFair, RoundRobin, LeastOutstanding} {
		t.Run(string(policy), func(t *testing.T) {
			b := New(Config{Self: "vm-1", Region: region, Policy: policy}, deps(1))
			b.UpdateEndpoints(testEndpoints(2))
			b.Start()
			defer b.Close()
			s := b.Scheduler()
			usedEndpoints := map[string]bool{}
			for i := range 2 {
				grant, err := s.Acquire(t.Context(), newRequest(fmt.Sprint(i), "t", 0))
				if err != nil {
					t.Fatal(err)
				}
				usedEndpoints[grant.Endpoint.ID] = true
				defer s.Release(grant, request.Outcome{})
			}
			if len(usedEndpoints) != 2 {
				t.Fatalf("two requests ran on endpoints %v, want one request on each endpoint", usedEndpoints)
			}
		})
	}
}

func TestCancelledAcquireFreesItsPlace(t *testing.T) {
	b := New(Config{Self: "vm-1", Region: region, Policy: LocalFair}, deps(1))
	b.UpdateEndpoints(testEndpoints(1))
	b.Start()
	defer b.Close()
	s := b.Scheduler()
	grant, err := s.Acquire(t.Context(), newRequest("a", "t", 0))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if _, err := s.Acquire(ctx, newRequest("b", "t", 0)); !errors.Is(err, context.Canceled) {
		t.Fatalf("got error %v, want context.Canceled", err)
	}
	s.Release(grant, request.Outcome{})
	if _, err := s.Acquire(t.Context(), newRequest("c", "t", 0)); err != nil {
		t.Fatal(err)
	}
}

func TestSlotLimitHoldsAcrossDaemons(t *testing.T) {
	f := newFleet(t, 4, 2, 2)
	var mu sync.Mutex
	running, maxRunning := 0, 0
	var work sync.WaitGroup
	for i := range 40 {
		work.Add(1)
		go func() {
			defer work.Done()
			s := f.brokers[i%4].Scheduler()
			grant, err := s.Acquire(t.Context(), newRequest(fmt.Sprint(i), fmt.Sprint("t", i%3), 1))
			if err != nil {
				t.Error(err)
				return
			}
			mu.Lock()
			running++
			maxRunning = max(maxRunning, running)
			mu.Unlock()
			time.Sleep(5 * time.Millisecond)
			mu.Lock()
			running--
			mu.Unlock()
			s.Release(grant, request.Outcome{OutputTokens: 3})
		}()
	}
	work.Wait()
	if maxRunning > 4 {
		t.Fatalf("%d requests ran concurrently, want at most 4", maxRunning)
	}
}

func TestDeadBrokerIsReplacedAndStateRebuilt(t *testing.T) {
	f := newFleet(t, 4, 1, 2)
	oldBroker := f.brokerOf(onlyCell)
	entry := f.brokers[(oldBroker+1)%4]
	s := entry.Scheduler()
	running, err := s.Acquire(t.Context(), newRequest("a", "t", 0))
	if err != nil {
		t.Fatal(err)
	}
	f.links[oldBroker].Close()
	f.setState(oldBroker, member.Dead)
	second, err := s.Acquire(t.Context(), newRequest("b", "t", 0))
	if err != nil {
		t.Fatal(err)
	}
	newBroker := f.brokers[f.brokerOf(onlyCell)]
	eventually(t, "the new broker has both running requests", func() bool {
		newBroker.mu.Lock()
		h := newBroker.hosts[onlyCell]
		newBroker.mu.Unlock()
		if h == nil {
			return false
		}
		h.mu.Lock()
		defer h.mu.Unlock()
		return h.cell.Running() == 2
	})
	s.Release(running, request.Outcome{})
	s.Release(second, request.Outcome{})
}

func TestUnresponsiveBrokerFallsBackToLocalShare(t *testing.T) {
	f := newFleet(t, 2, 2, 2)
	oldBroker := f.brokerOf(onlyCell)
	entry := f.brokers[1-oldBroker]
	f.links[oldBroker].Close() // it stays in the view, so that only missing answers reveal the failure
	s := entry.Scheduler()
	first, err := s.Acquire(t.Context(), newRequest("a", "t", 0))
	if err != nil {
		t.Fatal(err)
	}
	second, err := s.Acquire(t.Context(), newRequest("b", "t", 0))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	if _, err := s.Acquire(ctx, newRequest("c", "t", 0)); !errors.Is(err, context.DeadlineExceeded) {
		t.Fatalf("got error %v, want context.DeadlineExceeded: the local share is 2 slots", err)
	}
	s.Release(first, request.Outcome{})
	s.Release(second, request.Outcome{})
}

func TestSharesAddUpToSlots(t *testing.T) {
	var view []member.Member
	for i := range 8 {
		view = append(view, member.Member{ID: fmt.Sprint("vm-", i), State: member.Alive})
	}
	for slots := range 40 {
		sum := 0
		for _, m := range view {
			sum += slotShare(view, m.ID, "e1", slots)
		}
		if sum != slots {
			t.Fatalf("shares of %d slots total %d", slots, sum)
		}
	}
}

func TestBrokerKeepsItsOwnWaitingRequests(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 2, 1, 1)
	s := f.brokers[f.brokerOf(onlyCell)].Scheduler()
	grant, err := s.Acquire(t.Context(), newRequest("a", "t", 0))
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		time.Sleep(2500 * time.Millisecond) // longer than the timeout of an entry without heartbeats
		s.Release(grant, request.Outcome{})
	}()
	if _, err := s.Acquire(t.Context(), newRequest("b", "t", 0)); err != nil {
		t.Fatal(err)
	}
}
