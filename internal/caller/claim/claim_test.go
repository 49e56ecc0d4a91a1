package claim

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"

	"github.com/banyanshift/banyanshift/coord/claim"
	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/coord/table"
	"github.com/banyanshift/banyanshift/internal/caller/request"
	"github.com/banyanshift/banyanshift/internal/peer/link"
)

var digest = [32]byte{1}

// daemon holds the Claims of one daemon; all daemons share a table.
type daemon struct {
	*Claims
	store  *claim.Store
	manual *clock.Manual
	alive  bool
	log    *test.Hook
}

func newDaemon(t *testing.T, memory *table.Memory, name string) *daemon {
	t.Helper()
	logger, hook := test.NewNullLogger()
	logger.SetLevel(logrus.DebugLevel)
	store := claim.New(claim.Config{
		Table: memory.Client(), Clock: clock.System(), Prefix: "Claim/", EpochKey: "ClaimEpoch",
		Owner: name, Incarnation: name + ".1", RetryDelay: 1,
	})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go store.Run(ctx)
	d := &daemon{store: store, manual: clock.NewManual(0), alive: true, log: hook}
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
		t.Fatalf("got outcome %s, want %s (refusal: %v)", got.Outcome, outcome, got.Refusal)
	}
	if code != "" && (got.Refusal.Code != code || got.Refusal.Run != run) {
		t.Fatalf("got refusal %v, want code %s, run %s", got.Refusal, code, run)
	}
}

const longTarget = 20 * clock.Second

func TestRetriesAtAnotherDaemon(t *testing.T) {
	memory := table.NewMemory()
	a, b := newDaemon(t, memory, "a"), newDaemon(t, memory, "b")
	first := a.begin(t, "k", longTarget)
	expect(t, first, Run, "", "")
	expect(t, a.begin(t, "k", longTarget), InProgress, request.CodeDuplicateInProgress, request.RunUnknown)
	expect(t, b.begin(t, "k", longTarget), InProgress, request.CodeDuplicateInProgress, request.RunUnknown)
	a.Finish(first.Claim, Answer{Status: 201, Header: http.Header{"Content-Type": {"text/plain"}}, Body: []byte("paid")})
	a.flush(t)
	again := b.begin(t, "k", longTarget)
	expect(t, again, Replay, "", "")
	if again.Answer.Status != 201 || string(again.Answer.Body) != "paid" || again.Answer.Header.Get("Content-Type") != "text/plain" {
		t.Fatalf("got answer %+v, want the recorded one", again.Answer)
	}
}

func TestDeadOwnerIsUnknownAndNeverASecondRun(t *testing.T) {
	memory := table.NewMemory()
	a, b := newDaemon(t, memory, "a"), newDaemon(t, memory, "b")
	expect(t, a.begin(t, "k", longTarget), Run, "", "")
	b.alive = false
	expect(t, b.begin(t, "k", longTarget), Refuse, request.CodeEndpointFailed, request.RunUnknown)
	expect(t, b.begin(t, "k", longTarget), Refuse, request.CodeEndpointFailed, request.RunUnknown)
}

// TestOwnerIsAsked covers states that the table does not show: an answer that is
// not written yet, and an owner that restarted under the same name.
func TestOwnerIsAsked(t *testing.T) {
	memory := table.NewMemory()
	a, b := newDaemon(t, memory, "a"), newDaemon(t, memory, "b")
	b.cfg.RemoteLookup = func(ctx context.Context, owner string, lookup LookupRequest) (LookupResponse, error) {
		if owner != "a" {
			t.Errorf("looked up the claim at %s, want a", owner)
		}
		return (&lookupHandler{store: a.store}).handle(ctx, "b", lookup)
	}
	first := a.begin(t, "k", longTarget)
	expect(t, b.begin(t, "k", longTarget), InProgress, request.CodeDuplicateInProgress, request.RunUnknown)
	second := a.begin(t, "k2", longTarget)
	memory.SetFault(table.Fault{DropCommits: true})
	a.Finish(first.Claim, Answer{Status: 201, Body: []byte("paid")})
	if got := b.decideRepeated(b.currentRecord(context.Background(), "team", "k", first.Claim.Record)); got.Outcome != Replay {
		t.Fatalf("got decision %+v for an answer that is not written yet, want Replay", got)
	}
	memory.SetFault(table.Fault{})
	restarted := newDaemon(t, memory, "a")
	restarted.store = claim.New(claim.Config{Clock: clock.System(), Owner: "a", Incarnation: "a.2"})
	b.cfg.RemoteLookup = func(ctx context.Context, _ string, lookup LookupRequest) (LookupResponse, error) {
		return (&lookupHandler{store: restarted.store}).handle(ctx, "b", lookup)
	}
	got := b.decideRepeated(b.currentRecord(context.Background(), "team", "k2", second.Claim.Record))
	expect(t, got, Refuse, request.CodeEndpointFailed, request.RunUnknown)
}

func TestLookupOverTheLink(t *testing.T) {
	memory := table.NewMemory()
	a := newDaemon(t, memory, "a")
	logger, _ := test.NewNullLogger()
	server := link.New(link.Config{ID: "a", Listen: "127.0.0.1:0"}, clock.System(), logger)
	client := link.New(link.Config{ID: "b", Listen: "127.0.0.1:0"}, clock.System(), logger)
	RegisterLookup(server, a.store)
	for _, l := range []*link.Link{server, client} {
		if err := l.Start(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { l.Close() })
	}
	remoteLookup := NewRemoteLookup(client, func(daemon string) (string, bool) { return server.Address(), daemon == "a" })
	won := a.begin(t, "k", longTarget).Claim
	lookup := LookupRequest{Scope: "team", Key: "k", Nonce: won.Record.Nonce, Incarnation: "a.1"}
	response, err := remoteLookup(context.Background(), "a", lookup)
	if err != nil || !response.Held || response.Record.State != claim.Claimed {
		t.Fatalf("got response %+v, error %v; want a held claim", response, err)
	}
	if _, err := remoteLookup(context.Background(), "c", lookup); err == nil {
		t.Fatal("got no error for an unknown daemon")
	}
}

func TestLostAndAbandoned(t *testing.T) {
	memory := table.NewMemory()
	a, b := newDaemon(t, memory, "a"), newDaemon(t, memory, "b")
	a.MarkLost(a.begin(t, "lost", longTarget).Claim)
	a.Release(a.begin(t, "abandoned", longTarget).Claim)
	a.flush(t)
	expect(t, b.begin(t, "lost", longTarget), Refuse, request.CodeEndpointFailed, request.RunUnknown)
	expect(t, b.begin(t, "abandoned", longTarget), Run, "", "")
}

func TestOtherBodyIsRefused(t *testing.T) {
	a := newDaemon(t, table.NewMemory(), "a")
	a.begin(t, "k", longTarget)
	got, err := a.Begin(context.Background(), "team", "k", [32]byte{2}, longTarget)
	if err != nil {
		t.Fatal(err)
	}
	expect(t, got, Refuse, request.CodeIdempotencyKeyReused, request.RunNot)
}

func TestOutageIsWaitedForAtFirstAndThenRefusedAtOnce(t *testing.T) {
	memory := table.NewMemory()
	a := newDaemon(t, memory, "a")
	memory.SetFault(table.Fault{Down: true})
	expect(t, a.begin(t, "k", 20), Refuse, request.CodeStoreUnavailable, request.RunNot)
	a.manual.Advance(breakerOpenAfter)
	expect(t, a.begin(t, "k", 20), Refuse, request.CodeStoreUnavailable, request.RunNot) // the probe
	refused := a.begin(t, "k", clock.Hour)                                               // would wait for half an hour
	expect(t, refused, Refuse, request.CodeStoreUnavailable, request.RunNot)
	if refused.Refusal.RetryAfter == 0 {
		t.Fatal("got no RetryAfter in the refusal")
	}
	memory.SetFault(table.Fault{})
	a.manual.Advance(probeInterval)
	expect(t, a.begin(t, "k", longTarget), Run, "", "")
	expect(t, a.begin(t, "k2", longTarget), Run, "", "")
	var events []any
	for _, entry := range a.log.AllEntries() {
		events = append(events, entry.Data["Event"])
	}
	if fmt.Sprint(events) != "[1900 1902]" { // one of each, however many requests were refused
		t.Errorf("got events %v, want [1900 1902]", events)
	}
}

func TestCallerWhoHasGoneLeavesNoClaim(t *testing.T) {
	memory := table.NewMemory()
	a, b := newDaemon(t, memory, "a"), newDaemon(t, memory, "b")
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if _, err := a.Begin(ctx, "team", "k", digest, longTarget); err == nil {
		t.Fatal("got no error, want that of the context")
	}
	a.flush(t)
	expect(t, b.begin(t, "k", longTarget), Run, "", "")
}
