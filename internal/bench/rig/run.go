package rig

import (
	"context"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/bench/verdict"
	"github.com/banyanshift/banyanshift/internal/standin/load"
)

// Run is one load on a deployment and the input for its evaluation.
type Run struct {
	Rig    *Rig
	Load   *load.Load
	Prober *ConfigProber
	Input  verdict.Input
}

// NewRun returns a run whose load uses the given seed.
func (r *Rig) NewRun(seed uint64) *Run {
	return &Run{
		Rig: r, Load: r.NewLoad(seed), Prober: r.NewConfigProber(),
		Input: verdict.Input{Scenario: r.Scenario, Started: r.Clock.Wall()},
	}
}

// SendLoad sends the load and probes the configuration until ctx ends, then
// waits for the in-flight requests.
func (r *Run) SendLoad(ctx context.Context) {
	probeCtx, stop := context.WithCancel(r.Rig.ctx)
	done := make(chan struct{})
	go r.loop(probeCtx, done)
	r.Load.Run(ctx)
	stop()
	<-done
	r.Input.Ended = r.Rig.Clock.Wall()
}

func (r *Run) loop(ctx context.Context, done chan<- struct{}) {
	defer close(done)
	r.Prober.Run(ctx)
}

// usageReportTimeout bounds the wait for usage reports after the load.
const usageReportTimeout = 30 * clock.Second

// Evaluate waits until all usage has been reported, stops the daemons
// gracefully and checks the run.
func (r *Run) Evaluate(ctx context.Context) (report verdict.Report, err error) {
	r.Prober.AddTo(&r.Input)
	r.Input.Calls = r.Load.Calls()
	deadline := r.Rig.Clock.Now() + usageReportTimeout
	for {
		if report, err = r.evaluate(ctx); err != nil {
			return report, err
		}
		if report.Violations.UsageMismatches == 0 || r.Rig.Clock.Now() > deadline {
			break
		}
		if err := r.Rig.Clock.Sleep(ctx, clock.Second); err != nil {
			return report, err
		}
	}
	r.Rig.StopDaemons()
	return r.evaluate(ctx)
}

func (r *Run) evaluate(ctx context.Context) (verdict.Report, error) {
	records, err := r.Rig.Records(ctx)
	if err != nil {
		return verdict.Report{}, err
	}
	r.Input.Platform, r.Input.Hosts = records.Platform, records.Hosts
	return verdict.Evaluate(r.Input), nil
}
