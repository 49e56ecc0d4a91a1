package watch

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"testing"

	"github.com/sirupsen/logrus"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/config/entity"
)

type rig struct {
	listed  []entity.Endpoint
	listErr error
	told    []News
	seen    []entity.Endpoint
}

func (r *rig) watcher() *Watcher {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return New(Config{
		Clock:       clock.NewManual(0).Clock(),
		Logger:      logger,
		Random:      rand.New(rand.NewPCG(1, 1)),
		List:        func(context.Context) ([]entity.Endpoint, error) { return r.listed, r.listErr },
		Scheduled:   func(entity.Endpoint) bool { return false },
		Backend:     func(string) (entity.Backend, bool) { return entity.Backend{}, false },
		OnEndpoints: func(endpoints []entity.Endpoint) { r.seen = endpoints },
		Broadcast:   func(news News) { r.told = append(r.told, news) },
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
	if !w.Hear(News{EndpointID: "e", Incarnation: "1"}) || !r.leaving(t) {
		t.Fatal("news from a peer were not believed")
	}
	w.refresh(t.Context())
	if !r.leaving(t) {
		t.Error("a list that lags took the endpoint back")
	}
	if w.Hear(News{EndpointID: "e", Incarnation: "1"}) {
		t.Error("the same news were taken for new")
	}
	r.listed = []entity.Endpoint{{ID: "e", Incarnation: "2"}}
	w.refresh(t.Context())
	if r.leaving(t) {
		t.Error("the next incarnation is taken for leaving")
	}
	if w.Hear(News{EndpointID: "e", Incarnation: "1"}) || r.leaving(t) {
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
