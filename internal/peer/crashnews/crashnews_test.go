package crashnews_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	logtest "github.com/sirupsen/logrus/hooks/test"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/coord/table"
	"github.com/banyanshift/banyanshift/internal/caller/relay"
	"github.com/banyanshift/banyanshift/internal/decide/balance"
	"github.com/banyanshift/banyanshift/internal/decide/quarantine"
	"github.com/banyanshift/banyanshift/internal/endpoint/roster"
	"github.com/banyanshift/banyanshift/internal/peer/crashnews"
	"github.com/banyanshift/banyanshift/internal/peer/link"
)

const timeLeft = 8 * clock.Second

// keptRow is the row of the table that holds the evidence.
const keptRow = "Crashes/Known"

// checkTime is more than the checks of lost requests take.
const checkTime = 100 * time.Millisecond

// daemon is an exchange with its link.
type daemon struct {
	*crashnews.Exchange
	link      *link.Link
	rows      table.Client
	neighbors []string
	owners    []string
	// onOwners is called when the owners of a digest are looked up.
	onOwners func()
	down     atomic.Bool
	evidence atomic.Bool
}

// startDaemons starts daemons, each with the one before and the one after as neighbors, of
// which the first one owns all digests.
func startDaemons(t *testing.T, count int) []*daemon {
	var daemons []*daemon
	var addresses []string
	base := rand.IntN(250) + 1
	logger, _ := logtest.NewNullLogger()
	for n := range count {
		address := fmt.Sprintf("127.42.%d.%d:9190", base, n+1)
		d := &daemon{link: link.New(link.Config{ID: fmt.Sprint("vm-", n), Listen: address}, clock.System(), logger), rows: table.NewMemory().Client()}
		d.down.Store(true)
		d.evidence.Store(true)
		d.Exchange = crashnews.New(crashnews.Config{
			Link: d.link, Clock: clock.System(), Logger: logger, Self: address,
			Neighbors: func() []string { return d.neighbors }, Owners: d.lookUpOwners,
			Endpoint: func(id string) roster.Endpoint {
				return roster.Endpoint{Endpoint: balance.Endpoint{ID: id, Backend: "model", Incarnation: 1}}
			},
			IsEvidence: func(roster.Endpoint) bool { return d.evidence.Load() },
			IsDown:     func(context.Context, roster.Endpoint) bool { return d.down.Load() },
			Table:      d.rows,
			Rank:       func() int { return 0 },
			Wall:       clock.System().Wall,
			Rand:       rand.New(rand.NewPCG(1, uint64(n))),
		})
		if err := d.link.Start(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(d.link.Close)
		daemons, addresses = append(daemons, d), append(addresses, address)
	}
	for n, d := range daemons {
		d.neighbors = append(d.neighbors, addresses[max(n-1, 0):n]...)
		d.neighbors = append(d.neighbors, addresses[n+1:min(n+2, count)]...)
		d.owners = addresses[:1]
	}
	return daemons
}

func (d *daemon) lookUpOwners(string) []string {
	if d.onOwners != nil {
		d.onOwners()
	}
	return d.owners
}

// lose records that requests with a digest were lost at a number of endpoints.
func (d *daemon) lose(name string, crashes int, digests ...quarantine.Digest) {
	for n := range crashes {
		d.RecordLost(relay.Placement{Endpoint: fmt.Sprint(name, n), Incarnation: 1}, digests)
	}
}

func waitUntil(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if holds() {
			return
		}
	}
	t.Fatalf("timed out waiting until %s", what)
}

func allAgree(daemons []*daemon) func() bool {
	return func() bool {
		for _, d := range daemons {
			if d.Fingerprint() == 0 || d.Fingerprint() != daemons[0].Fingerprint() {
				return false
			}
		}
		return true
	}
}

func TestNewsReachesDaemonsThatAreNotNeighbors(t *testing.T) {
	daemons := startDaemons(t, 5)
	daemons[0].lose("i-", 2, 7)
	daemons[4].lose("j-", 1, 7)
	waitUntil(t, "all know the crashes", allAgree(daemons))
	for _, d := range daemons {
		admission := d.Admit(t.Context(), []quarantine.Digest{7}, 400)
		if admission.Granted {
			t.Error("a request under which three endpoints crashed is sent")
		}
	}
	daemons[2].RecordSound([]quarantine.Digest{7})
	waitUntil(t, "all know that the digest is sound", func() bool {
		for _, d := range daemons {
			if !d.Admit(t.Context(), []quarantine.Digest{7}, 40).Granted {
				return false
			}
		}
		return true
	})
}

func TestDaemonThatWasNotReachedLearnsFromAPing(t *testing.T) {
	daemons := startDaemons(t, 2)
	daemons[0].neighbors, daemons[1].neighbors = nil, nil
	daemons[0].lose("i-", 3, 7)
	daemons[1].lose("j-", 1, 9)
	daemons[1].lose("k-", 3, 9)
	waitUntil(t, "both have something in quarantine", func() bool { return daemons[0].Fingerprint() != 0 && daemons[1].Fingerprint() != 0 })
	time.Sleep(checkTime)
	daemons[1].Sync(t.Context(), daemons[0].link.Address(), daemons[0].Fingerprint())
	waitUntil(t, "both know the same", allAgree(daemons))
}

func TestOneRequestUnderSuspicionIsTriedInTheWholeFleet(t *testing.T) {
	daemons := startDaemons(t, 3)
	daemons[0].lose("i-", 2, 7)
	time.Sleep(checkTime)
	first := daemons[1].Admit(t.Context(), []quarantine.Digest{7}, timeLeft)
	if !first.Granted || first.Release == nil {
		t.Fatal("the first request under suspicion is not tried")
	}
	second := daemons[2].Admit(t.Context(), []quarantine.Digest{7}, 400)
	if second.Granted || second.Refusal.Final || second.Refusal.RetryAfter <= 0 {
		t.Errorf("got %+v during the trial of another daemon, want a refusal with the time to come again", second)
	}
	go func() {
		time.Sleep(50 * time.Millisecond)
		daemons[1].RecordSound([]quarantine.Digest{7})
		first.Release(true)
	}()
	if third := daemons[2].Admit(t.Context(), []quarantine.Digest{7}, timeLeft); !third.Granted {
		t.Errorf("got %+v after an answered trial, want the request to be sent", third)
	}
}

func TestTrialGoesOnWithoutItsOwner(t *testing.T) {
	daemons := startDaemons(t, 2)
	daemons[1].lose("i-", 2, 7)
	time.Sleep(checkTime)
	daemons[0].link.Close()
	if admission := daemons[1].Admit(t.Context(), []quarantine.Digest{7}, timeLeft); !admission.Granted {
		t.Errorf("got %+v, want a trial", admission)
	}
	if admission := daemons[1].Admit(t.Context(), []quarantine.Digest{7}, 400); admission.Granted {
		t.Error("two trials run at a time")
	}
}

func TestOnlyCrashesAreEvidence(t *testing.T) {
	d := startDaemons(t, 1)[0]
	d.down.Store(false)
	d.lose("i-reset-", 5, 7)
	time.Sleep(checkTime)
	d.down.Store(true)
	d.evidence.Store(false)
	d.lose("i-leaving-", 5, 7)
	d.evidence.Store(true)
	d.RecordLost(relay.Placement{Endpoint: "i-old", Incarnation: 9}, []quarantine.Digest{7})
	time.Sleep(checkTime)
	if d.Active() {
		t.Error("endpoints that were not down, were leaving or have another incarnation count as crashed")
	}
}

// TestRequestsThatWaitDoNotAllAskForATrial guards against an owner that each of many waiting
// requests asks again and again.
func TestRequestsThatWaitDoNotAllAskForATrial(t *testing.T) {
	const (
		waiting = 40
		// maxAsked is a question each 100 ms of the 1.2 s that requests wait, and one more.
		maxAsked = 13
	)
	daemons := startDaemons(t, 2)
	var asked atomic.Int64
	daemons[1].lose("i-", 2, 7)
	time.Sleep(checkTime)
	first := daemons[0].Admit(t.Context(), []quarantine.Digest{7}, timeLeft)
	if !first.Granted {
		t.Fatal("the first request under suspicion is not tried")
	}
	daemons[1].onOwners = func() { asked.Add(1) }
	var requests sync.WaitGroup
	for range waiting {
		requests.Go(func() { daemons[1].Admit(t.Context(), []quarantine.Digest{7}, timeLeft) })
	}
	requests.Wait()
	if n := asked.Load(); n == 0 || n > maxAsked {
		t.Errorf("the owner was asked %d times, want at most %d", n, maxAsked)
	}
}

// keep runs the daemon that keeps the row, until the test ends.
func (d *daemon) keep(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = d.Run(ctx)
	}()
	t.Cleanup(func() { cancel(); <-done })
}

// row returns the kept row.
func (d *daemon) row(t *testing.T) []byte {
	row, err := d.rows.Get(t.Context(), keptRow)
	if err != nil {
		t.Fatal(err)
	}
	return row.Value
}

func (d *daemon) putRow(t *testing.T, value []byte) {
	if err := d.rows.Commit(t.Context(), table.Txn{Writes: []table.Write{{Key: keptRow, Value: value}}}); err != nil {
		t.Fatal(err)
	}
}

// TestRowThatCannotBeReadIsReplaced guards against a daemon that keeps nothing any more after
// another program has written the row.
func TestRowThatCannotBeReadIsReplaced(t *testing.T) {
	d := startDaemons(t, 1)[0]
	d.putRow(t, []byte("no record"))
	d.keep(t)
	d.lose("i-", 3, 7)
	waitUntil(t, "the row holds the evidence", func() bool { return len(d.row(t)) > len("no record") })
}

// TestRowForgetsWhatWasCleared guards against a quarantine that comes back with the next start,
// though it has ended while another daemon kept the row.
func TestRowForgetsWhatWasCleared(t *testing.T) {
	first := startDaemons(t, 1)[0]
	first.keep(t)
	first.lose("i-", 3, 7)
	waitUntil(t, "the row holds the evidence", func() bool { return len(first.row(t)) > 0 })
	second := startDaemons(t, 1)[0]
	second.lose("i-", 3, 7)
	waitUntil(t, "the evidence is known", func() bool { return second.Fingerprint() != 0 })
	second.RecordSound([]quarantine.Digest{7})
	second.putRow(t, first.row(t))
	second.keep(t)
	held := len(second.row(t))
	waitUntil(t, "the row holds no evidence", func() bool { return len(second.row(t)) < held })
}
