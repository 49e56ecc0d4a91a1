package clock

import (
	"context"
	"sync"
)

// Manual is a clock for tests that moves only when Advance is called.
type Manual struct {
	mu      sync.Mutex
	now     Millis
	waiters map[chan struct{}]Millis
}

// NewManual returns a Manual set to the instant start.
func NewManual(start Millis) *Manual {
	return &Manual{now: start, waiters: make(map[chan struct{}]Millis)}
}

// Clock returns a Clock that reads m. Its Wall equals its Now.
func (m *Manual) Clock() Clock {
	return Clock{Now: m.Now, Wall: m.Now, Sleep: m.sleep}
}

// Now returns the current instant of m.
func (m *Manual) Now() Millis {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// Advance moves m forward by d and wakes the sleepers that are due.
func (m *Manual) Advance(d Millis) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now += d
	for wake, due := range m.waiters {
		if due <= m.now {
			close(wake)
			delete(m.waiters, wake)
		}
	}
}

// Sleepers returns the number of Sleep calls in progress.
func (m *Manual) Sleepers() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.waiters)
}

func (m *Manual) sleep(ctx context.Context, d Millis) error {
	if d <= 0 {
		return ctx.Err()
	}
	wake := m.register(d)
	select {
	case <-wake:
		return nil
	case <-ctx.Done():
		m.forget(wake)
		return ctx.Err()
	}
}

func (m *Manual) register(d Millis) chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	wake := make(chan struct{})
	m.waiters[wake] = m.now + d
	return wake
}

func (m *Manual) forget(wake chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.waiters, wake)
}
