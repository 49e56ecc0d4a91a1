package walltime_test

import (
	"testing"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/peer/walltime"
)

// maxError is the difference to the true time that the windows of usage bear.
const maxError = 200 * clock.Millisecond

// trueOffset is the true time of day at the instant 0 of the steady clock.
const trueOffset = 1_700_000_000_000 * clock.Millisecond

// fixture is a daemon whose clock of the VM is off by skew.
type fixture struct {
	manual *clock.Manual
	skew   clock.Millis
	*walltime.Estimator
}

func newFixture(skew clock.Millis) *fixture {
	f := &fixture{manual: clock.NewManual(1000), skew: skew}
	clk := f.manual.Clock()
	clk.Wall = func() clock.Millis { return f.manual.Now() + trueOffset + f.skew }
	f.Estimator = walltime.New(clk)
	return f
}

// answer records answers of peers whose times of day are off by skews.
func (f *fixture) answer(skews ...clock.Millis) {
	for i, skew := range skews {
		sentAt := f.manual.Now()
		f.manual.Advance(2)
		f.RecordPeer(string(rune('a'+i)), sentAt+1+trueOffset+skew, sentAt, f.manual.Now())
	}
}

// pass advances the clock by d and reads the time each second.
func (f *fixture) pass(d clock.Millis, skews ...clock.Millis) {
	for range d / clock.Second {
		f.manual.Advance(clock.Second)
		f.answer(skews...)
		f.Wall()
	}
}

// expectSkew checks that the estimate is off by want, or less than maxError from it.
func (f *fixture) expectSkew(t *testing.T, want clock.Millis) {
	t.Helper()
	if got := f.Wall() - f.manual.Now() - trueOffset; got < want-maxError || got > want+maxError {
		t.Errorf("the time of day is off by %s, want %s", got, want)
	}
}

func TestJumpOfTheClockIsIgnored(t *testing.T) {
	for _, jump := range []clock.Millis{2400, -2400, 60_000} {
		f := newFixture(0)
		f.skew = jump
		f.pass(10 * clock.Second)
		f.expectSkew(t, 0)
		f.skew = 0
		f.pass(clock.Second)
		f.expectSkew(t, 0)
	}
}

func TestDaemonThatStartsWithAWrongClockFollowsItsPeers(t *testing.T) {
	f := newFixture(2400)
	f.expectSkew(t, 2400)
	f.answer(10, -20)
	f.expectSkew(t, 0)
	f.pass(2*clock.Minute, 10, -20)
	f.expectSkew(t, 0)
}

func TestOnePeerWithAWrongTimeIsNotFollowed(t *testing.T) {
	f := newFixture(0)
	f.pass(clock.Minute, 2400)
	f.expectSkew(t, 0)
	f.pass(clock.Minute, 2400, 0, 0)
	f.expectSkew(t, 0)
	f.pass(clock.Minute, 2400, -2400)
	f.expectSkew(t, 0)
}

func TestLastingStepIsFollowedUnlessPeersContradict(t *testing.T) {
	f := newFixture(0)
	f.skew = 2400
	f.pass(2 * clock.Minute)
	f.expectSkew(t, 2400)

	f = newFixture(0)
	f.skew = 2400
	f.pass(2*clock.Minute, 0, 0, 0)
	f.expectSkew(t, 0)
}

func TestSmallCorrectionsAreFollowed(t *testing.T) {
	f := newFixture(0)
	for range 100 {
		f.skew += 20
		f.pass(clock.Second)
	}
	f.expectSkew(t, 2000)
}

func TestSlowAnswersSayNothing(t *testing.T) {
	f := newFixture(0)
	for _, peer := range []string{"a", "b", "c"} {
		sentAt := f.manual.Now()
		f.manual.Advance(600)
		f.RecordPeer(peer, f.manual.Now()+trueOffset, sentAt, f.manual.Now())
	}
	f.expectSkew(t, 0)
}
