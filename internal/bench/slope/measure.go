package slope

import (
	"context"
	"fmt"
	"net/http"
	"os"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/bench/probe"
	"github.com/banyanshift/banyanshift/internal/bench/rig"
	"github.com/banyanshift/banyanshift/internal/bench/scenario"
	"github.com/banyanshift/banyanshift/internal/config/entity"
	"github.com/banyanshift/banyanshift/internal/standin/record"
)

const (
	mebibyte = 1 << 20
	// smallWeightBytes is a small model size, so that many endpoints can start at
	// once.
	smallWeightBytes = "1024"
	// percent converts a share of a core to percent.
	percent = 100
)

// fleet returns a scenario with three failure domains and one model. All of its
// endpoints exist from the start.
func fleet(perDomain int) scenario.Scenario {
	domains := []string{"slope-1", "slope-2", "slope-3"}
	endpoints := perDomain * len(domains)
	return scenario.Scenario{
		Name: "slope", Region: "slope", FailureDomains: domains,
		Teams:   []entity.Team{{Name: "first", Weight: 1}},
		Classes: []entity.Class{{Name: "usual", FirstTokenTarget: clock.Minute, MaxWait: 10 * clock.Minute}},
		Backends: []entity.Backend{{
			Name: "model", Type: entity.Model, Model: "slope-model", Version: "1",
			MinEndpoints: endpoints, MaxEndpoints: endpoints, Slots: 8,
		}},
		Routes: []entity.Route{{Name: "slope-model", Backend: "model", Classes: []string{"usual"}, Teams: []string{"first"}}},
		Pools:  []scenario.Pool{{Backend: "model", Model: "slope-model", FirmPerDomain: perDomain}},
	}
}

// withRig starts the processes of a scenario, calls act and stops them.
func (b *bench) withRig(ctx context.Context, s scenario.Scenario, daemons int, act func(r *rig.Rig) error) error {
	dir, err := os.MkdirTemp(b.dir, "rig-")
	if err != nil {
		return err
	}
	r, err := rig.Start(ctx, rig.Options{
		Banyanshift: b.program, Banyanbench: b.executable, Dir: dir, Scenario: s, DaemonCount: daemons, Seed: 1,
		LogLevel: "warning", EngineFlags: []string{"--weight-bytes", smallWeightBytes}, Clock: b.Factory.Clock,
	})
	if err != nil {
		return err
	}
	defer r.Close()
	return act(r)
}

// usageSample is the resource usage of a fleet during one measurement.
type usageSample struct {
	seconds float64
	daemons []probe.Usage
	commits float64
	reads   float64
}

// observe waits for the fleet to settle and then measures its usage for the
// duration of a measurement, while act runs; act may be nil.
func (b *bench) observe(ctx context.Context, r *rig.Rig, act func(ctx context.Context) error) (s usageSample, err error) {
	if err := b.Factory.Clock.Sleep(ctx, clock.FromDuration(b.Settle)); err != nil {
		return s, err
	}
	before, platformBefore, err := readUsage(ctx, r)
	if err != nil {
		return s, err
	}
	measuring, stop := context.WithTimeout(ctx, b.Duration)
	defer stop()
	if act != nil {
		if err := act(measuring); err != nil && measuring.Err() == nil {
			return s, err
		}
	}
	<-measuring.Done()
	after, platformAfter, err := readUsage(ctx, r)
	if err != nil {
		return s, err
	}
	for i := range after {
		s.daemons = append(s.daemons, after[i].Sub(before[i]))
	}
	s.seconds = s.daemons[0].ReadAtSeconds
	s.commits = float64(platformAfter.Commits - platformBefore.Commits)
	s.reads = float64(platformAfter.Reads - platformBefore.Reads)
	return s, nil
}

func readUsage(ctx context.Context, r *rig.Rig) (used []probe.Usage, platform record.Platform, err error) {
	if err := r.CallPlatform(ctx, http.MethodGet, "/record", nil, &platform); err != nil {
		return nil, platform, err
	}
	for _, d := range r.ActiveDaemons() {
		usage, err := probe.Read(ctx, d.Process.PID(), d.Metrics)
		if err != nil {
			return nil, platform, fmt.Errorf("daemon %s: %w", d.ID, err)
		}
		used = append(used, usage)
	}
	return used, platform, nil
}

// mean returns the mean of a value over the daemons.
func (s usageSample) mean(value func(u probe.Usage) float64) float64 {
	var sum float64
	for _, u := range s.daemons {
		sum += value(u)
	}
	return sum / float64(len(s.daemons))
}

// highest returns the highest value of any daemon.
func (s usageSample) highest(value func(u probe.Usage) float64) float64 {
	var greatest float64
	for _, u := range s.daemons {
		greatest = max(greatest, value(u))
	}
	return greatest
}

// addControlUsage adds the fleet's usage for control work to a series at size x.
func (s usageSample) addControlUsage(to *Series, x float64) {
	bytes := func(u probe.Usage) float64 { return probe.Sum(u.PeerBytesSent) / s.seconds }
	cores := func(u probe.Usage) float64 { return u.CPUSeconds / s.seconds * percent }
	to.add("peer bytes/s sent, mean daemon", x, s.mean(bytes))
	to.add("peer bytes/s sent, worst daemon", x, s.highest(bytes))
	to.add("peer messages/s sent, mean daemon", x, s.mean(func(u probe.Usage) float64 { return probe.Sum(u.PeerMessagesSent) / s.seconds }))
	to.add("processor, % of a core, mean daemon", x, s.mean(cores))
	to.add("processor, % of a core, worst daemon", x, s.highest(cores))
	to.add("resident MiB, mean daemon", x, s.mean(func(u probe.Usage) float64 { return u.ResidentBytes / mebibyte }))
	to.add("table transactions/s, whole fleet", x, s.commits/s.seconds)
	to.add("table reads/s, whole fleet", x, s.reads/s.seconds)
}
