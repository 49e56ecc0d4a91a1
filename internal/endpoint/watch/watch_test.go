package watch

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"testing"

	"github.com/sirupsen/logrus"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/config/entity"
	"github.com/banyanshift/banyanshift/internal/endpoint/engine"
)

type fixture struct {
	listed     []entity.Endpoint
	listErr    error
	broadcasts []LeavingUpdate
	delivered  []entity.Endpoint
	// follower makes the daemon query a relay with queryRelay.
	follower   bool
	queryRelay func(check ListCheck) (ListReply, error)
}

func (r *fixture) watcher() *Watcher {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return New(Config{
		Clock:       clock.NewManual(0).Clock(),
		Logger:      logger,
		Random:      rand.New(rand.NewPCG(1, 1)),
		List:        func(context.Context) ([]entity.Endpoint, error) { return r.listed, r.listErr },
		IsRelay:     func() bool { return !r.follower },
		QueryRelay:  func(_ context.Context, check ListCheck) (ListReply, error) { return r.queryRelay(check) },
		Schedules:   func(entity.Endpoint) bool { return false },
		Backend:     func(string) (entity.Backend, bool) { return entity.Backend{}, false },
		OnEndpoints: func(endpoints []entity.Endpoint) { r.delivered = endpoints },
		Broadcast:   func(update LeavingUpdate) { r.broadcasts = append(r.broadcasts, update) },
	})
}

func (r *fixture) leaving(t *testing.T) bool {
	t.Helper()
	if len(r.delivered) != 1 {
		t.Fatalf("got endpoints %v, want one", r.delivered)
	}
	return r.delivered[0].Leaving
}

func TestLeavingStaysForItsIncarnation(t *testing.T) {
	r := &fixture{listed: []entity.Endpoint{{ID: "e", Incarnation: "1"}}}
	w := r.watcher()
	w.refresh(t.Context())
	if !w.RecordLeaving(LeavingUpdate{EndpointID: "e", Incarnation: "1"}) || !r.leaving(t) {
		t.Fatal("an update from a peer did not mark the endpoint as leaving")
	}
	w.refresh(t.Context())
	if !r.leaving(t) {
		t.Error("an outdated list cleared the leaving state")
	}
	if w.RecordLeaving(LeavingUpdate{EndpointID: "e", Incarnation: "1"}) {
		t.Error("a repeated update was reported as new")
	}
	r.listed = []entity.Endpoint{{ID: "e", Incarnation: "2"}}
	w.refresh(t.Context())
	if r.leaving(t) {
		t.Error("the next incarnation is marked as leaving")
	}
	if w.RecordLeaving(LeavingUpdate{EndpointID: "e", Incarnation: "1"}) || r.leaving(t) {
		t.Error("a late update for the earlier incarnation took effect")
	}
}

func TestLeavingInTheListIsBroadcastOnce(t *testing.T) {
	r := &fixture{listed: []entity.Endpoint{{ID: "e", Incarnation: "1", Leaving: true}}}
	w := r.watcher()
	w.refresh(t.Context())
	w.refresh(t.Context())
	if len(r.broadcasts) != 1 || r.broadcasts[0].EndpointID != "e" {
		t.Errorf("got broadcasts %v, want one for endpoint e", r.broadcasts)
	}
}

func TestLastListStaysInUseWhenReadFails(t *testing.T) {
	r := &fixture{listed: []entity.Endpoint{{ID: "e", Incarnation: "1"}}}
	w := r.watcher()
	w.refresh(t.Context())
	r.listErr = errors.New("down")
	w.refresh(t.Context())
	if got := w.Endpoints(); len(got) != 1 {
		t.Errorf("got endpoints %v, want one", got)
	}
}

func manyEndpoints(n int) []entity.Endpoint {
	endpoints := make([]entity.Endpoint, n)
	for i := range endpoints {
		endpoints[i] = entity.Endpoint{ID: fmt.Sprintf("e%d", i), Incarnation: "1", Address: "127.0.0.1:1"}
	}
	return endpoints
}

func TestFollowerFetchesOnlyWhatDiffers(t *testing.T) {
	relayFixture := &fixture{listed: manyEndpoints(1000)}
	relay := relayFixture.watcher()
	relay.refresh(t.Context())
	fetched, queries := 0, 0
	followerFixture := &fixture{follower: true, queryRelay: func(check ListCheck) (ListReply, error) {
		reply := relay.ServeCheck(check)
		queries++
		fetched += len(reply.Endpoints)
		return reply, nil
	}}
	follower := followerFixture.watcher()
	follower.refresh(t.Context())
	if len(followerFixture.delivered) != 1000 {
		t.Fatalf("got %d endpoints, want 1000", len(followerFixture.delivered))
	}
	fetched, queries, followerFixture.delivered = 0, 0, nil
	follower.refresh(t.Context())
	if fetched != 0 || queries != 1 || followerFixture.delivered != nil {
		t.Errorf("unchanged list: got %d endpoints fetched in %d queries and %d delivered, want 0 in 1 and 0", fetched, queries, len(followerFixture.delivered))
	}
	relayFixture.listed[7].Leaving = true
	relayFixture.listed = relayFixture.listed[:999]
	relay.refresh(t.Context())
	follower.refresh(t.Context())
	if len(followerFixture.delivered) != 999 || fetched > 50 {
		t.Errorf("two changes: got %d endpoints and %d fetched, want 999 and at most 50", len(followerFixture.delivered), fetched)
	}
	if len(followerFixture.broadcasts) != 1 || followerFixture.broadcasts[0].EndpointID != "e7" {
		t.Errorf("got broadcasts %v, want one for endpoint e7", followerFixture.broadcasts)
	}
}

func TestFollowerReadsTheListItselfWhenRelaysDoNotReply(t *testing.T) {
	manual := clock.NewManual(clock.Minute)
	r := &fixture{follower: true, listed: manyEndpoints(3), queryRelay: func(ListCheck) (ListReply, error) {
		return ListReply{}, errors.New("unreachable")
	}}
	w := r.watcher()
	w.config.Clock = manual.Clock()
	w.relayRepliedAt = manual.Now()
	w.refresh(t.Context())
	if len(w.Endpoints()) != 0 {
		t.Fatal("the platform's list was read before maxRelaySilence had passed")
	}
	manual.Advance(maxRelaySilence + 1)
	w.refresh(t.Context())
	if len(w.Endpoints()) != 3 {
		t.Errorf("got %d endpoints, want 3", len(w.Endpoints()))
	}
}

func TestEngineReportOfLeavingIsBroadcastOnce(t *testing.T) {
	r := &fixture{listed: []entity.Endpoint{{ID: "e", Incarnation: "1"}}}
	w := r.watcher()
	loads := 0
	w.config.Load = func(context.Context, entity.Endpoint) (engine.LoadReport, error) {
		loads++
		return engine.LoadReport{Leaving: loads > 1}, nil
	}
	w.config.OnLoad = func(entity.Endpoint, engine.LoadReport) {}
	w.refresh(t.Context())
	reader := &reportReader{watcher: w, endpoint: r.listed[0]}
	reader.readLoad(t.Context())
	if r.leaving(t) {
		t.Fatal("endpoint is marked as leaving before the engine reported it")
	}
	reader.readLoad(t.Context())
	reader.readLoad(t.Context())
	if !r.leaving(t) || len(r.broadcasts) != 1 {
		t.Errorf("got leaving %v and broadcasts %v, want true and one broadcast", r.leaving(t), r.broadcasts)
	}
}
