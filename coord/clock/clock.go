// Package clock provides the time used throughout the project: milliseconds
// since an arbitrary start on a clock that never goes backwards.
//
// Instants and durations are both of type Millis. An instant can only be compared
// with instants of the same Clock; in particular, instants of two processes are
// never compared. The system clock includes the time that the machine spends
// suspended, so that a lease that expired during a suspension is seen as
// expired.
//
// # Usage
//
// Code that needs the time takes a Clock and calls its functions:
//
//	func New(clk clock.Clock) *Cache
//
//	now := c.clock.Now()
//	if now-c.loaded > maxAge { ... }
//
// Tests pass the Clock of a Manual and advance it explicitly:
//
//	manual := clock.NewManual(0)
//	cache := New(manual.Clock())
//	manual.Advance(5 * clock.Second)
package clock

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
)

// Millis is an instant or a duration, in milliseconds.
type Millis int64

// Durations in milliseconds.
const (
	Millisecond Millis = 1
	Second             = 1000 * Millisecond
	Minute             = 60 * Second
	Hour               = 60 * Minute
)

// Duration converts m to a time.Duration.
func (m Millis) Duration() time.Duration {
	return time.Duration(m) * time.Millisecond
}

// Seconds converts m to seconds.
func (m Millis) Seconds() float64 {
	return float64(m) / float64(Second)
}

// String formats m like a time.Duration.
func (m Millis) String() string {
	return m.Duration().String()
}

// FromDuration converts d to Millis, rounding towards zero.
func FromDuration(d time.Duration) Millis {
	return Millis(d / time.Millisecond)
}

// Clock returns the time and sleeps. All fields must be set.
type Clock struct {
	// Now returns the current instant. It never goes backwards.
	Now func() Millis
	// Wall returns milliseconds since the Unix epoch, for records that people
	// read. No decision depends on it.
	Wall func() Millis
	// Sleep returns nil after d, or the context's error if ctx ends first.
	Sleep func(ctx context.Context, d Millis) error
}

// Deadline converts an instant of the clock to a time.Time, for deadlines of the
// standard library.
func (c Clock) Deadline(at Millis) time.Time {
	return time.Now().Add((at - c.Now()).Duration())
}

// System returns the clock of this machine, which includes suspended time.
func System() Clock {
	return Clock{Now: bootTime, Wall: wallTime, Sleep: sleep}
}

func bootTime() Millis {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("clock: CLOCK_BOOTTIME is not available: " + err.Error())
	}
	return Millis(ts.Sec)*Second + Millis(ts.Nsec/int64(time.Millisecond))
}

func wallTime() Millis {
	return Millis(time.Now().UnixMilli())
}

func sleep(ctx context.Context, d Millis) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d.Duration())
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
