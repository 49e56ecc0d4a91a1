// Package throughput learns how fast an endpoint works from what it completes.
//
// A Meter divides the work that an endpoint has completed by the time in which it had work to
// do. Requests that wait behind each other at the endpoint count the time that they share once,
// so no estimate of its queue is needed, and a report that arrives late moves time from one
// request to the next instead of adding to it. The sums decay slowly, so that the rate does not
// move with single requests, and are replaced by short-term ones when those differ by more than
// requests do. Without requests the rate goes back to what others expect of the endpoint, so
// that an endpoint that was slow is tried again.
//
// Considered: the ratio of measured to expected times, which takes errors in the expected queue
// for the endpoint's speed; additive increase of a limit on concurrent requests, which needs
// failures or delays to find it, and a sample for each step, while a daemon in a large fleet
// sends an endpoint one request in half a minute; figures that the endpoint tells of itself,
// which change faster than they arrive and may be wrong; and weights set by operators, which
// follow nothing.
//
// The package is pure: it has no clock, lock or goroutine of its own.
//
// # Usage
//
//	var m throughput.Meter
//	m.Record(sentAt, completedAt, tokens, overhead)
//	tokensPerMilli := m.Rate(now, expected)
package throughput

import (
	"math"

	"github.com/banyanshift/banyanshift/coord/clock"
)

const (
	// lastingMemory and recentMemory are the time constants of the exponential decay of the
	// long-term and the short-term sums.
	lastingMemory = 10 * clock.Second
	recentMemory  = 1200 * clock.Millisecond
	// priorTime is the busy time for which the expected rate counts, in ms.
	priorTime = 300
	// changeRatio is the ratio between the short-term and the long-term rate from which the
	// rate has changed, if the endpoint was busy for minRecentTime, in ms. Requests differ by
	// less than that in what their work takes.
	changeRatio   = 1.4
	minRecentTime = 250
	// maxDeviation is the greatest factor between the rate and the expected rate.
	maxDeviation = 8
)

// sum is work and the time in ms that it took, both decayed up to at.
type sum struct {
	work, time float64
	at         clock.Millis
}

// add adds work that was completed at a time.
func (s *sum) add(at, memory clock.Millis, work, time float64) {
	if at > s.at {
		left := remaining(at-s.at, memory)
		s.work *= left
		s.time *= left
		s.at = at
	}
	s.work += work
	s.time += time
}

// Meter measures the work that an endpoint completes while it has work. The zero value has
// measured nothing.
type Meter struct {
	lasting, recent sum
	// measuredUntil is the time up to which busy time has been counted.
	measuredUntil clock.Millis
}

// Record records the completion of a piece of work that the endpoint had from sentAt on. The
// last overhead of the time until then was not spent on the work. It returns the busy time in
// ms that was added.
func (m *Meter) Record(sentAt, completedAt clock.Millis, work float64, overhead clock.Millis) (time float64) {
	end := completedAt - overhead
	time = float64(max(end-max(sentAt, m.measuredUntil), 0))
	m.measuredUntil = max(m.measuredUntil, end)
	m.Add(completedAt, work, time)
	return time
}

// Add records work that took a time in ms, whatever else the endpoint did meanwhile.
func (m *Meter) Add(completedAt clock.Millis, work, time float64) {
	m.lasting.add(completedAt, lastingMemory, work, time)
	m.recent.add(completedAt, recentMemory, work, time)
	if m.hasChanged() {
		m.lasting = m.recent
	}
}

// hasChanged reports whether the endpoint has recently worked at another rate than before.
func (m *Meter) hasChanged() bool {
	if m.recent.time < minRecentTime || m.recent.work == 0 {
		return false
	}
	ratio := m.recent.work / m.recent.time * m.lasting.time / m.lasting.work
	return ratio > changeRatio || ratio < 1/changeRatio
}

// Rate returns the work that the endpoint completes in a ms. It is the expected rate if the
// endpoint has not completed any work for some time.
func (m *Meter) Rate(now clock.Millis, expected float64) float64 {
	left := remaining(max(now-m.lasting.at, 0), lastingMemory)
	rate := (m.lasting.work*left + expected*priorTime) / (m.lasting.time*left + priorTime)
	return min(max(rate, expected/maxDeviation), expected*maxDeviation)
}

// remaining returns the share of past work that counts after a time.
func remaining(elapsed, memory clock.Millis) float64 {
	return math.Exp(-float64(elapsed) / float64(memory))
}
