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

type rig struct {
	listed  []entity.Endpoint
	listErr error
	told    []LeavingUpdate
	seen    []entity.Endpoint
	// follows makes the daemon ask a relay, by ask.
	follows bool
	ask     func(check ListCheck) (ListReply, error)
}

func (r *rig) watcher() *Watcher {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return New(Config{
		Clock:       clock.NewManual(0).Clock(),
		Logger:      logger,
		Random:      rand.New(rand.NewPCG(1, 1)),
		List:        func(context.Context) ([]entity.Endpoint, error) { return r.listed, r.listErr },
		IsRelay:     func() bool { return !r.follows },
		QueryRelay:  func(_ context.Context, check ListCheck) (ListReply, error) { return r.ask(check) },
		Schedules:   func(entity.Endpoint) bool { return false },
		Backend:     func(string) (entity.Backend, bool) { return entity.Backend{}, false },
		OnEndpoints: func(endpoints []entity.Endpoint) { r.seen = endpoints },
		Broadcast:   func(news LeavingUpdate) { r.told = append(r.told, news) },
	})
}

func (r *rig) leaving(t *testing.T) bool {
	t.Helper()
	if len(r.seen) != 1 {
		t.Fatalf("seen %v", r.seen)
	}
	return r.seen[0].Leaving
}

func TestLeavingStaysForItsIncarnation(t *testing.T) {
	r := &rig{listed: []entity.Endpoint{{ID: "e", Incarnation: "1"}}}
	w := r.watcher()
	w.refresh(t.Context())
	if !w.RecordLeaving(LeavingUpdate{EndpointID: "e", Incarnation: "1"}) || !r.leaving(t) {
		t.Fatal("news from a peer were not believed")
	}
	w.refresh(t.Context())
	if !r.leaving(t) {
		t.Error("a list that lags took the endpoint back")
	}
	if w.RecordLeaving(LeavingUpdate{EndpointID: "e", Incarnation: "1"}) {
		t.Error("the same news were taken for new")
	}
	r.listed = []entity.Endpoint{{ID: "e", Incarnation: "2"}}
	w.refresh(t.Context())
	if r.leaving(t) {
		t.Error("the next incarnation is taken for leaving")
	}
	if w.RecordLeaving(LeavingUpdate{EndpointID: "e", Incarnation: "1"}) || r.leaving(t) {
		t.Error("late news of the earlier incarnation were believed")
	}
}

func TestLeavingInTheListIsToldOnce(t *testing.T) {
	r := &rig{listed: []entity.Endpoint{{ID: "e", Incarnation: "1", Leaving: true}}}
	w := r.watcher()
	w.refresh(t.Context())
	w.refresh(t.Context())
	if len(r.told) != 1 || r.told[0].EndpointID != "e" {
		t.Errorf("told %v", r.told)
	}
}

func TestLastListStaysInForce(t *testing.T) {
	r := &rig{listed: []entity.Endpoint{{ID: "e", Incarnation: "1"}}}
	w := r.watcher()
	w.refresh(t.Context())
	r.listErr = errors.New("down")
	w.refresh(t.Context())
	if got := w.Endpoints(); len(got) != 1 {
		t.Errorf("endpoints are %v", got)
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
	relayRig := &rig{listed: manyEndpoints(1000)}
	relay := relayRig.watcher()
	relay.refresh(t.Context())
	fetched, asked := 0, 0
	followerRig := &rig{follows: true, ask: func(check ListCheck) (ListReply, error) {
		reply := relay.ServeCheck(check)
		asked++
		fetched += len(reply.Endpoints)
		return reply, nil
	}}
	follower := followerRig.watcher()
	follower.refresh(t.Context())
	if len(followerRig.seen) != 1000 {
		t.Fatalf("%d endpoints", len(followerRig.seen))
	}
	fetched, asked, followerRig.seen = 0, 0, nil
	follower.refresh(t.Context())
	if fetched != 0 || asked != 1 || followerRig.seen != nil {
		t.Errorf("nothing changed: %d fetched in %d calls, %d told", fetched, asked, len(followerRig.seen))
	}
	relayRig.listed[7].Leaving = true
	relayRig.listed = relayRig.listed[:999]
	relay.refresh(t.Context())
	follower.refresh(t.Context())
	if len(followerRig.seen) != 999 || fetched > 50 {
		t.Errorf("two changes: %d endpoints, %d fetched", len(followerRig.seen), fetched)
	}
	if len(followerRig.told) != 1 || followerRig.told[0].EndpointID != "e7" {
		t.Errorf("told %v", followerRig.told)
	}
}

func TestFollowerReadsTheListItselfWhenRelaysAreSilent(t *testing.T) {
	manual := clock.NewManual(clock.Minute)
	r := &rig{follows: true, listed: manyEndpoints(3), ask: func(ListCheck) (ListReply, error) {
		return ListReply{}, errors.New("unreachable")
	}}
	w := r.watcher()
	w.config.Clock = manual.Clock()
	w.heardRelay = manual.Now()
	w.refresh(t.Context())
	if len(w.Endpoints()) != 0 {
		t.Fatal("the platform's list was read at once")
	}
	manual.Advance(relayPatience + 1)
	w.refresh(t.Context())
	if len(w.Endpoints()) != 3 {
		t.Errorf("%d endpoints", len(w.Endpoints()))
	}
}

func TestEnginesOwnWordIsBelievedAndPassedOn(t *testing.T) {
	r := &rig{listed: []entity.Endpoint{{ID: "e", Incarnation: "1"}}}
	w := r.watcher()
	loads := 0
	w.config.Load = func(context.Context, entity.Endpoint) (engine.LoadReport, error) {
		loads++
		return engine.LoadReport{Leaving: loads > 1}, nil
	}
	w.config.OnLoad = func(entity.Endpoint, engine.LoadReport) {}
	w.refresh(t.Context())
	reports := &reporter{watcher: w, endpoint: r.listed[0]}
	reports.readLoad(t.Context())
	if r.leaving(t) {
		t.Fatal("leaving before the engine said so")
	}
	reports.readLoad(t.Context())
	reports.readLoad(t.Context())
	if !r.leaving(t) || len(r.told) != 1 {
		t.Errorf("leaving %v, told %v", r.leaving(t), r.told)
	}
}
