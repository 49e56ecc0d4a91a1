package check

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"syscall"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/bench/rig"
	"github.com/banyanshift/banyanshift/internal/bench/verdict"
	"github.com/banyanshift/banyanshift/internal/standin/faultproxy"
	operatorv1 "github.com/banyanshift/banyanshift/proto/operator/v1"
)

var errNoDaemon = errors.New("no daemon to choose from")

// holder returns the daemon that holds the region's lease, as a daemon sees
// it; nil when none does.
func (s *strike) holder(ctx context.Context) *rig.Daemon {
	asked := s.pick(s.random, false)
	if asked == nil {
		return nil
	}
	var id string
	_ = s.rig.WithOperator(asked, func(o *rig.Operator) error {
		status, err := operatorv1.NewFleetClient(o.Conn()).Status(o.Context(ctx), &operatorv1.FleetStatusRequest{})
		for _, lease := range status.GetLeases() {
			id = lease.GetHolder()
		}
		return err
	})
	for _, d := range s.rig.ActiveDaemons() {
		// A holder is named by its ID, with its incarnation after a dot.
		if d.ID == id || strings.HasPrefix(id, d.ID+".") {
			return d
		}
	}
	return nil
}

// leadTime is the longest time from a reason to give orders to the pause of
// the holder, who looks for reasons every two seconds.
const leadTime = 2500 * clock.Millisecond

// pauseHolder gives the lease holder a reason to give orders and stops its
// process for a while, at a random point.
func pauseHolder(ctx context.Context, s *strike) error {
	if err := scale(ctx, s); err != nil {
		s.say("%v", err)
	}
	_ = s.rig.Clock.Sleep(ctx, clock.Millis(s.random.Int64N(int64(leadTime))))
	d := s.holder(ctx)
	if d == nil || !s.take(d) {
		if d = s.pick(s.random, true); d == nil {
			return errNoDaemon
		}
		s.say("no holder is known")
	}
	defer s.release(d)
	s.say("%s", d.ID)
	d.Process.Signal(syscall.SIGSTOP)
	s.hold(ctx)
	d.Process.Signal(syscall.SIGCONT)
	return nil
}

// kill ends a daemon without warning and starts another.
func kill(ctx context.Context, s *strike) error {
	d := s.pick(s.random, true)
	if d == nil {
		return errNoDaemon
	}
	s.say("%s", d.ID)
	told := s.rig.Clock.Wall()
	if err := s.rig.Kill(ctx, d); err != nil {
		return err
	}
	s.record(func(in *verdict.Input) {
		in.Exits = append(in.Exits, verdict.Exit{Daemon: d.ID, StopRequested: told, Ended: s.rig.Clock.Wall(), Killed: true})
	})
	s.hold(ctx)
	_, err := s.rig.StartDaemon(ctx)
	return err
}

// Times of a rolling replacement.
const (
	drainTime = 60 * clock.Second
	readyTime = 20 * clock.Second
	readyPoll = 100 * clock.Millisecond
)

// rolling replaces the daemons, each by a new one that is ready before the
// old one is told to end.
func rolling(ctx context.Context, s *strike) error {
	for _, d := range s.rig.ActiveDaemons() {
		if !s.take(d) {
			continue
		}
		if err := s.replace(ctx, d); err != nil {
			return err
		}
	}
	return nil
}

func (s *strike) replace(ctx context.Context, d *rig.Daemon) error {
	ready := s.rig.Balancer.ReadyCount()
	if _, err := s.rig.StartDaemon(ctx); err != nil {
		return err
	}
	for deadline := s.rig.Clock.Now() + readyTime; s.rig.Balancer.ReadyCount() <= ready && s.rig.Clock.Now() < deadline; {
		if err := s.rig.Clock.Sleep(ctx, readyPoll); err != nil {
			return err
		}
	}
	s.say("%s", d.ID)
	told := s.rig.Clock.Wall()
	err := s.rig.Drain(ctx, d, drainTime)
	s.record(func(in *verdict.Input) {
		in.Exits = append(in.Exits, verdict.Exit{Daemon: d.ID, StopRequested: told, Ended: s.rig.Clock.Wall()})
	})
	return err
}

// partition keeps two parts of the daemons from reaching each other.
func partition(ctx context.Context, s *strike) error {
	all := s.rig.ActiveDaemons()
	s.random.Shuffle(len(all), func(i, k int) { all[i], all[k] = all[k], all[i] })
	cut := 1 + s.random.IntN(max(1, len(all)/2))
	var patterns []string
	for i, a := range all {
		if i < cut {
			patterns = append(patterns, "peer/any/"+a.ID)
		}
		for k, b := range all {
			if (i < cut) != (k < cut) {
				patterns = append(patterns, "peer/"+a.ID+"/"+b.ID)
			}
		}
	}
	s.say("%d of %d daemons", cut, len(all))
	fault := faultproxy.Fault{Refuse: true, Cut: true}
	if s.random.IntN(2) == 0 {
		fault = faultproxy.Fault{Stall: true}
	}
	return s.spoilLinks(ctx, patterns, fault)
}

// cutOff keeps some daemons from the platform, and half of the time from all
// peers too.
func cutOff(ctx context.Context, s *strike) error {
	all := s.rig.ActiveDaemons()
	s.random.Shuffle(len(all), func(i, k int) { all[i], all[k] = all[k], all[i] })
	alone := s.random.IntN(2) == 0
	var patterns []string
	for _, d := range all[:1+s.random.IntN(max(1, len(all)/2))] {
		patterns = append(patterns, "platform/"+d.ID)
		if alone {
			patterns = append(patterns, "peer/"+d.ID+"/*", "peer/*/"+d.ID)
		}
		s.say("%s, from peers too: %v", d.ID, alone)
	}
	return s.spoilLinks(ctx, patterns, faultproxy.Fault{Stall: true})
}

func (s *strike) spoilLinks(ctx context.Context, patterns []string, fault faultproxy.Fault) error {
	var failures []error
	for _, pattern := range patterns {
		failures = append(failures, s.proxy(ctx, pattern, fault))
	}
	s.hold(ctx)
	for _, pattern := range patterns {
		failures = append(failures, s.proxy(ctx, pattern, faultproxy.Fault{}))
	}
	return errors.Join(failures...)
}

// withdraw gives a team a new key and withdraws one of its old ones while it
// is in use.
func withdraw(ctx context.Context, s *strike) error {
	d := s.pick(s.random, false)
	if d == nil {
		return errNoDaemon
	}
	team := s.rig.Scenario.Teams[s.random.IntN(2)].Name
	key := s.keysOf(team)[0]
	err := s.rig.WithOperator(d, func(o *rig.Operator) error {
		return s.rig.CreateKey(ctx, o, team, fmt.Sprintf("check-key-%d", s.next()))
	})
	if err != nil {
		s.say("no new key: %v", err)
		if len(s.keysOf(team)) < 2 {
			return err
		}
	}
	withdrawal, err := s.rig.WithdrawKey(ctx, d, team, key.ID)
	if err != nil {
		return err
	}
	s.say("key %s of %s through %s, pending: %v", key.ID, team, d.ID, withdrawal.Pending)
	s.record(func(in *verdict.Input) { in.Withdrawals = append(in.Withdrawals, withdrawal) })
	return nil
}
