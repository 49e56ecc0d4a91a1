package claim

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus/hooks/test"

	"github.com/banyanshift/banyanshift/coord/claim"
	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/coord/member"
	"github.com/banyanshift/banyanshift/coord/table"
	"github.com/banyanshift/banyanshift/internal/peer/link"
)

// relayFleet is a fleet of stores that write claims through relays on loopback.
type relayFleet struct {
	mu     sync.Mutex
	view   []member.Member
	stores []*claim.Store
	links  []*link.Link
}

func (f *relayFleet) members() []member.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]member.Member(nil), f.view...)
}

func (f *relayFleet) kill(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range f.view {
		if f.view[i].ID == id {
			f.links[i].Close()
			f.view[i].State = member.Dead
		}
	}
}

func newRelayFleet(t *testing.T, memory *table.Memory, domains, perDomain int) *relayFleet {
	t.Helper()
	f := &relayFleet{}
	logger, _ := test.NewNullLogger()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	for i := range domains * perDomain {
		self := member.Member{ID: fmt.Sprint("vm-", i), FailureDomain: fmt.Sprint("d-", i%domains), State: member.Alive}
		l := link.New(link.Config{ID: self.ID, Listen: "127.0.0.1:0"}, clock.System(), logger)
		forwarder := NewForwarder(ForwarderConfig{
			Link: l, Clock: clock.System(), Table: memory.Client(), Self: self, View: f.members, TransactionsPerSecond: 100,
		})
		if err := l.Start(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { l.Close() })
		store := claim.New(claim.Config{
			Table: memory.Client(), Clock: clock.System(), Prefix: "Claim/", EpochKey: "ClaimEpoch",
			Owner: self.ID, Incarnation: self.ID + ".1", CommitInterval: forwarder.CommitInterval, Forward: forwarder.Forward, RetryDelay: 10,
		})
		go forwarder.Run(ctx)
		go store.Run(ctx)
		self.Address = l.Address()
		f.mu.Lock()
		f.view = append(f.view, self)
		f.links = append(f.links, l)
		f.mu.Unlock()
		f.stores = append(f.stores, store)
	}
	return f
}

// TestRelaysNeedFewTransactions checks that relays batch the claims and answers
// of a fleet into at most a quarter as many transactions as claims.
func TestRelaysNeedFewTransactions(t *testing.T) {
	memory := table.NewMemory()
	f := newRelayFleet(t, memory, 3, 8)
	const perStore = 40
	var won atomic.Int64
	var wg sync.WaitGroup
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	for s, store := range f.stores {
		for k := range perStore {
			wg.Add(1)
			go func() {
				defer wg.Done()
				result, err := store.Claim(ctx, "team", fmt.Sprint(s, "-", k), digest)
				if err != nil {
					t.Error(err)
					return
				}
				won.Add(1)
				store.Finish(result.Claim, []byte("answer"))
			}()
		}
	}
	wg.Wait()
	for _, store := range f.stores {
		if err := store.Flush(ctx); err != nil {
			t.Fatal(err)
		}
	}
	commits, reads := memory.Counts()
	t.Logf("wrote %d claims and the same number of answers in %d transactions, %d reads", won.Load(), commits, reads)
	if commits > int(won.Load())/4 {
		t.Errorf("got %d transactions for %d claims, want at most a quarter", commits, won.Load())
	}
}

// TestRelayDies checks that claims continue through the next relay of the failure
// domain when the relay dies, and that each key is won once.
func TestRelayDies(t *testing.T) {
	memory := table.NewMemory()
	f := newRelayFleet(t, memory, 1, 18)
	relay := member.Pick(f.members(), relayKey, 1)[0].ID
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	var wg sync.WaitGroup
	var runs [30]atomic.Int64
	for s, store := range f.stores {
		if f.view[s].ID == relay {
			continue
		}
		for k := range runs {
			wg.Add(1)
			go func() {
				defer wg.Done()
				result, err := store.Claim(ctx, "team", fmt.Sprint(k), digest)
				if err == nil && result.Outcome == claim.Won {
					runs[k].Add(1)
				}
			}()
		}
	}
	f.kill(relay)
	wg.Wait()
	for k := range runs {
		if runs[k].Load() != 1 {
			t.Errorf("key %d was won %d times, want 1", k, runs[k].Load())
		}
	}
}
