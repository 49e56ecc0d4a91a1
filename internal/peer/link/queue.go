package link

import (
	"sync"

	"github.com/banyanshift/banyanshift/internal/peer/frame"
)

// sendQueue holds the frames that wait to be written to a connection. It takes
// memory only for what waits, since a daemon has connections with most others
// and little to say to each.
type sendQueue struct {
	mu      sync.Mutex
	waiting []frame.Frame
	// ready holds a token while frames wait.
	ready chan struct{}
}

func newSendQueue() *sendQueue {
	return &sendQueue{ready: make(chan struct{}, 1)}
}

// push adds a frame; it reports false when too many wait.
func (q *sendQueue) push(f frame.Frame) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.waiting) >= queueFrames {
		return false
	}
	q.waiting = append(q.waiting, f)
	select {
	case q.ready <- struct{}{}:
	default:
	}
	return true
}

// take returns all frames that wait.
func (q *sendQueue) take() []frame.Frame {
	q.mu.Lock()
	defer q.mu.Unlock()
	taken := q.waiting
	q.waiting = nil
	return taken
}
