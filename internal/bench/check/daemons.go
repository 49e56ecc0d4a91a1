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

var errNoDaemon = errors.New("no free daemon")

// holder returns the daemon that holds the region's lease according to another
// daemon; nil when no holder is known.
func (s *injection) holder(ctx context.Context) *rig.Daemon {
	queried := s.pick(s.random, false)
	if queried == nil {
		return nil
	}
	var id string
	_ = s.rig.WithOperator(queried, func(o *rig.Operator) error {
		status, err := operatorv1.NewFleetClient(o.Conn()).Status(o.Context(ctx), &operatorv1.FleetStatusRequest{})
		for _, lease := range status.GetLeases() {
			id = lease.GetHolder()
		}
		return err
	})
	for _, d := range s.rig.ActiveDaemons() {
		// The holder's name is its ID, followed by a dot and its incarnation.
		if d.ID == id || strings.HasPrefix(id, d.ID+".") {
			return d
		}
	}
	return nil
}

// maxPauseDelay bounds the random time between the change that requires orders
// and the pause of the lease holder. The holder checks for changes every two
// seconds.
const maxPauseDelay = 2500 * clock.Millisecond

// pauseHolder makes a change that requires orders and pauses the process of the
// lease holder at a random time after it.
func pauseHolder(ctx context.Context, s *injection) error {
	if err := scale(ctx, s); err != nil {
		s.logf("%v", err)
	}
	_ = s.rig.Clock.Sleep(ctx, clock.Millis(s.random.Int64N(int64(maxPauseDelay))))
	d := s.holder(ctx)
	if d == nil || !s.reserve(d) {
		if d = s.pick(s.random, true); d == nil {
			return errNoDaemon
		}
		s.logf("lease holder unknown or in use; pausing another daemon")
	}
	defer s.release(d)
	s.logf("%s", d.ID)
	d.Process.Signal(syscall.SIGSTOP)
	s.wait(ctx)
	d.Process.Signal(syscall.SIGCONT)
	return nil
}

// kill kills a daemon without warning and starts another.
func kill(ctx context.Context, s *injection) error {
	d := s.pick(s.random, true)
	if d == nil {
		return errNoDaemon
	}
	s.logf("%s", d.ID)
	signalled := s.rig.Clock.Wall()
	if err := s.rig.Kill(ctx, d); err != nil {
		return err
	}
	s.updateInput(func(in *verdict.Input) {
		in.Exits = append(in.Exits, verdict.Exit{Daemon: d.ID, StopRequested: signalled, Ended: s.rig.Clock.Wall(), Killed: true})
	})
	s.wait(ctx)
	_, err := s.rig.StartDaemon(ctx)
	return err
}

// Times of a rolling replacement.
const (
	drainTime = 60 * clock.Second
	readyTime = 20 * clock.Second
	readyPoll = 100 * clock.Millisecond
)

// rolling replaces the daemons one at a time. Each new one is started and given
// time to become ready before the old one is told to end.
func rolling(ctx context.Context, s *injection) error {
	for _, d := range s.rig.ActiveDaemons() {
		if !s.reserve(d) {
			continue
		}
		if err := s.replace(ctx, d); err != nil {
			return err
		}
	}
	return nil
}

func (s *injection) replace(ctx context.Context, d *rig.Daemon) error {
	ready := s.rig.Balancer.ReadyCount()
	if _, err := s.rig.StartDaemon(ctx); err != nil {
		return err
	}
	for deadline := s.rig.Clock.Now() + readyTime; s.rig.Balancer.ReadyCount() <= ready && s.rig.Clock.Now() < deadline; {
		if err := s.rig.Clock.Sleep(ctx, readyPoll); err != nil {
			return err
		}
	}
	s.logf("%s", d.ID)
	signalled := s.rig.Clock.Wall()
	err := s.rig.Drain(ctx, d, drainTime)
	s.updateInput(func(in *verdict.Input) {
		in.Exits = append(in.Exits, verdict.Exit{Daemon: d.ID, StopRequested: signalled, Ended: s.rig.Clock.Wall()})
	})
	return err
}

// partition blocks the connections between two parts of the daemons.
func partition(ctx context.Context, s *injection) error {
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
	s.logf("%d of %d daemons", cut, len(all))
	fault := faultproxy.Fault{Refuse: true, Cut: true}
	if s.random.IntN(2) == 0 {
		fault = faultproxy.Fault{Stall: true}
	}
	return s.injectLinkFault(ctx, patterns, fault)
}

// cutOff disconnects some daemons from the platform and, in half of the cases,
// from all peers too.
func cutOff(ctx context.Context, s *injection) error {
	all := s.rig.ActiveDaemons()
	s.random.Shuffle(len(all), func(i, k int) { all[i], all[k] = all[k], all[i] })
	cutFromPeers := s.random.IntN(2) == 0
	var patterns []string
	for _, d := range all[:1+s.random.IntN(max(1, len(all)/2))] {
		patterns = append(patterns, "platform/"+d.ID)
		if cutFromPeers {
			patterns = append(patterns, "peer/"+d.ID+"/*", "peer/*/"+d.ID)
		}
		s.logf("%s, cut off from peers: %v", d.ID, cutFromPeers)
	}
	return s.injectLinkFault(ctx, patterns, faultproxy.Fault{Stall: true})
}

func (s *injection) injectLinkFault(ctx context.Context, patterns []string, fault faultproxy.Fault) error {
	var failures []error
	for _, pattern := range patterns {
		failures = append(failures, s.setLinkFault(ctx, pattern, fault))
	}
	s.wait(ctx)
	for _, pattern := range patterns {
		failures = append(failures, s.setLinkFault(ctx, pattern, faultproxy.Fault{}))
	}
	return errors.Join(failures...)
}

// withdraw creates a new key for a team and withdraws one of its old keys while
// that key is in use.
func withdraw(ctx context.Context, s *injection) error {
	d := s.pick(s.random, false)
	if d == nil {
		return errNoDaemon
	}
	team := s.rig.Scenario.Teams[s.random.IntN(2)].Name
	key := s.activeKeys(team)[0]
	err := s.rig.WithOperator(d, func(o *rig.Operator) error {
		return s.rig.CreateKey(ctx, o, team, fmt.Sprintf("check-key-%d", s.nextNumber()))
	})
	if err != nil {
		s.logf("creating a key failed: %v", err)
		if len(s.activeKeys(team)) < 2 {
			return err
		}
	}
	withdrawal, err := s.rig.WithdrawKey(ctx, d, team, key.ID)
	if err != nil {
		return err
	}
	s.logf("key %s of %s through %s, pending: %v", key.ID, team, d.ID, withdrawal.Pending)
	s.updateInput(func(in *verdict.Input) { in.Withdrawals = append(in.Withdrawals, withdrawal) })
	return nil
}
