package openai

import (
	"context"
	"sync/atomic"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/caller/request"
)

const (
	// stallTimeout is how long an engine may send nothing while the router waits
	// for it, apart from the allowance of firstTokenTimeoutFactor.
	stallTimeout = 10 * clock.Second
	// stallCheckInterval is the time between two checks for a stall.
	stallCheckInterval = 1 * clock.Second
	// firstTokenTimeoutFactor times the class's first-token target is added to
	// stallTimeout, so that a long prefill does not count as a stall.
	firstTokenTimeoutFactor = 10
)

// attemptMonitor cancels an attempt when its slot is preempted or the engine
// sends nothing for too long.
type attemptMonitor struct {
	deps   Dependencies
	grant  *request.Grant
	cancel context.CancelCauseFunc
	// waitingSince is the time since which the router waits for the engine, as
	// clock.Millis, or notWaiting.
	waitingSince atomic.Int64
	maxSilence   clock.Millis
}

// notWaiting is the value of waitingSince while a chunk is written to the caller,
// who may read slowly.
const notWaiting = -1

func newAttemptMonitor(deps Dependencies, req *request.Request, grant *request.Grant, cancel context.CancelCauseFunc) *attemptMonitor {
	m := &attemptMonitor{
		deps: deps, grant: grant, cancel: cancel,
		maxSilence: stallTimeout + firstTokenTimeoutFactor*req.FirstTokenTarget,
	}
	m.awaitEngine()
	return m
}

// awaitEngine records that the router waits for the engine from now on.
func (m *attemptMonitor) awaitEngine() {
	m.waitingSince.Store(int64(m.deps.Clock.Now()))
}

// recordActivity records that the engine sent something.
func (m *attemptMonitor) recordActivity() {
	m.waitingSince.Store(notWaiting)
}

// run monitors the attempt until ctx ends.
func (m *attemptMonitor) run(ctx context.Context) {
	preempted := m.deps.Scheduler.Preempted(m.grant)
	for {
		tick, stop := context.WithTimeout(ctx, stallCheckInterval.Duration())
		select {
		case <-preempted:
			m.cancel(errPreempted)
		case <-tick.Done():
			if m.silence() > m.maxSilence {
				m.cancel(errStalled)
			}
		}
		stop()
		if ctx.Err() != nil {
			return
		}
	}
}

// silence returns how long the router has been waiting for the engine.
func (m *attemptMonitor) silence() clock.Millis {
	since := m.waitingSince.Load()
	if since == notWaiting {
		return 0
	}
	return m.deps.Clock.Now() - clock.Millis(since)
}
