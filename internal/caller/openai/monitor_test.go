package openai

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/caller/request"
)

func TestSlowCallerDoesNotCountAsAStalledEngine(t *testing.T) {
	manual := clock.NewManual(0)
	deps := Dependencies{
		Clock:     manual.Clock(),
		Scheduler: request.Scheduler{Preempted: func(*request.Grant) <-chan struct{} { return nil }},
	}
	ctx, cancel := context.WithCancelCause(t.Context())
	defer cancel(nil)
	monitor := newAttemptMonitor(deps, &request.Request{}, &request.Grant{}, cancel)
	go monitor.run(ctx)
	monitor.recordActivity()
	manual.Advance(2 * stallTimeout)
	select {
	case <-ctx.Done():
		t.Fatalf("attempt was canceled while its chunk was written to the caller: %v", context.Cause(ctx))
	case <-time.After((2 * stallCheckInterval).Duration()):
	}
	monitor.awaitEngine()
	manual.Advance(2 * stallTimeout)
	select {
	case <-ctx.Done():
		if !errors.Is(context.Cause(ctx), errStalled) {
			t.Errorf("got cause %v, want errStalled", context.Cause(ctx))
		}
	case <-time.After((10 * stallCheckInterval).Duration()):
		t.Error("attempt was not canceled although the engine sent nothing")
	}
}
