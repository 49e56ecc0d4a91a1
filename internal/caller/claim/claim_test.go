package claim

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"

	"github.com/banyanshift/banyanshift/coord/claim"
	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/coord/table"
	"github.com/banyanshift/banyanshift/internal/caller/request"
)

var digest = [32]byte{1}

// daemon is one daemon's claims over a shared table.
type daemon struct {
	*Claims
	store  *claim.Store
	manual *clock.Manual
	alive  bool
}

func newDaemon(t *testing.T, memory *table.Memory, name string) *daemon {
	t.Helper()
	logger, _ := test.NewNullLogger()
	logger.SetLevel(logrus.DebugLevel)
	store := claim.New(claim.Config{
		Table: memory.Client(), Clock: clock.System(), Prefix: "Claim/", EpochKey: "ClaimEpoch",
		Owner: name, Incarnation: name + ".1", Pause: 1,
	})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go store.Run(ctx)
	d := &daemon{store: store, manual: clock.NewManual(0), alive: true}
	d.Claims = New(Config{
		Store: store, Clock: d.manual.Clock(), Logger: logger,
		OwnerAlive: func(_, _ string) bool { return d.alive },
	})
	return d
}

func (d *daemon) begin(t *testing.T, key string, target clock.Millis) Decision {
	t.Helper()
	decision, err := d.Begin(context.Background(), "team", key, digest, target)
	if err != nil {
		t.Fatal(err)
	}
	return decision
}

func (d *daemon) flush(t *testing.T) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	if err := d.store.Flush(ctx); err != nil {
		t.Fatal(err)
	}
}

func expect(t *testing.T, got Decision, outcome Outcome, code request.Code, run request.RunState) {
	t.Helper()
	if got.Outcome != outcome {
		t.Fatalf("outcome %s, want %s (%v)", got.Outcome, outcome, got.Refusal)
	}
	if code != "" && (got.Refusal.Code != code || got.Refusal.Run != run) {
		t.Fatalf("refusal %v, want %s run %s", got.Refusal, code, run)
	}
}

const patient = 20 * clock.Second

func TestRetriesAtAnotherDaemon(t *testing.T) {
	memory := table.NewMemory()
	a, b := newDaemon(t, memory, "a"), newDaemon(t, memory, "b")
	first := a.begin(t, "k", patient)
	expect(t, first, Run, "", "")
	expect(t, a.begin(t, "k", patient), InProgress, request.CodeDuplicate, request.RunUnknown)
	expect(t, b.begin(t, "k", patient), InProgress, request.CodeDuplicate, request.RunUnknown)
	a.Finish(first.Claim, Answer{Status: 201, Header: http.Header{"Content-Type": {"text/plain"}}, Body: []byte("paid")})
	a.flush(t)
	again := b.begin(t, "k", patient)
	expect(t, again, Replay, "", "")
	if again.Answer.Status != 201 || string(again.Answer.Body) != "paid" || again.Answer.Header.Get("Content-Type") != "text/plain" {
		t.Fatalf("answer %+v", again.Answer)
	}
}

func TestDeadOwnerIsUnknownAndNeverASecondRun(t *testing.T) {
	memory := table.NewMemory()
	a, b := newDaemon(t, memory, "a"), newDaemon(t, memory, "b")
	expect(t, a.begin(t, "k", patient), Run, "", "")
	b.alive = false
	expect(t, b.begin(t, "k", patient), Refuse, request.CodeEndpointFailed, request.RunUnknown)
	expect(t, b.begin(t, "k", patient), Refuse, request.CodeEndpointFailed, request.RunUnknown)
}

func TestLostAndAbandoned(t *testing.T) {
	memory := table.NewMemory()
	a, b := newDaemon(t, memory, "a"), newDaemon(t, memory, "b")
	a.Lose(a.begin(t, "lost", patient).Claim)
	a.Abandon(a.begin(t, "abandoned", patient).Claim)
	a.flush(t)
	expect(t, b.begin(t, "lost", patient), Refuse, request.CodeEndpointFailed, request.RunUnknown)
	expect(t, b.begin(t, "abandoned", patient), Run, "", "")
}

func TestOtherBodyIsRefused(t *testing.T) {
	a := newDaemon(t, table.NewMemory(), "a")
	a.begin(t, "k", patient)
	got, err := a.Begin(context.Background(), "team", "k", [32]byte{2}, patient)
	if err != nil {
		t.Fatal(err)
	}
	expect(t, got, Refuse, request.CodeKeyReused, request.RunNot)
}

func TestOutageIsWaitedForAtFirstAndThenRefusedAtOnce(t *testing.T) {
	memory := table.NewMemory()
	a := newDaemon(t, memory, "a")
	memory.SetFault(table.Fault{Down: true})
	expect(t, a.begin(t, "k", 20), Refuse, request.CodeStoreUnavailable, request.RunNot)
	a.manual.Advance(outageAfter)
	expect(t, a.begin(t, "k", 20), Refuse, request.CodeStoreUnavailable, request.RunNot) // the probe
	refused := a.begin(t, "k", clock.Hour)                                               // would wait for half an hour
	expect(t, refused, Refuse, request.CodeStoreUnavailable, request.RunNot)
	if refused.Refusal.RetryAfter == 0 {
		t.Fatal("the refusal says not when to come back")
	}
	memory.SetFault(table.Fault{})
	a.manual.Advance(probeInterval)
	expect(t, a.begin(t, "k", patient), Run, "", "")
	expect(t, a.begin(t, "k2", patient), Run, "", "")
}

func TestCallerWhoHasGoneLeavesNoClaim(t *testing.T) {
	memory := table.NewMemory()
	a, b := newDaemon(t, memory, "a"), newDaemon(t, memory, "b")
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if _, err := a.Begin(ctx, "team", "k", digest, patient); err == nil {
		t.Fatal("want the context's error")
	}
	a.flush(t)
	expect(t, b.begin(t, "k", patient), Run, "", "")
}
