package openai

import (
	"context"
	"sync/atomic"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/caller/request"
)

const (
	// stallTimeout is how long an engine may be silent within an answer.
	stallTimeout = 10 * clock.Second
	// stallCheck is how often that is looked at.
	stallCheck = 1 * clock.Second
	// prefillFactor is how many times its class's target the first token may
	// take before the engine counts as stalled.
	prefillFactor = 10
)

// guard ends an attempt when the slot is taken back or the engine falls silent.
type guard struct {
	deps   Dependencies
	grant  *request.Grant
	cancel context.CancelCauseFunc
	// heard is when the engine was last heard of.
	heard   atomic.Int64
	patient clock.Millis
}

func newGuard(deps Dependencies, req *request.Request, grant *request.Grant, cancel context.CancelCauseFunc) *guard {
	g := &guard{
		deps: deps, grant: grant, cancel: cancel,
		patient: stallTimeout + prefillFactor*req.FirstTokenTarget,
	}
	g.heard.Store(int64(deps.Clock.Now()))
	return g
}

// touch notes that the engine was heard of.
func (g *guard) touch() {
	g.heard.Store(int64(g.deps.Clock.Now()))
}

// run watches until the attempt's context ends.
func (g *guard) run(ctx context.Context) {
	preempted := g.deps.Scheduler.Preempted(g.grant)
	for {
		tick, stop := context.WithTimeout(ctx, stallCheck.Duration())
		select {
		case <-preempted:
			g.cancel(errPreempted)
		case <-tick.Done():
			if g.silentFor() > g.patient {
				g.cancel(errStalled)
			}
		}
		stop()
		if ctx.Err() != nil {
			return
		}
	}
}

func (g *guard) silentFor() clock.Millis {
	return g.deps.Clock.Now() - clock.Millis(g.heard.Load())
}
