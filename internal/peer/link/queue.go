package link

import (
	"sync"

	"github.com/banyanshift/banyanshift/internal/peer/frame"
)

// sendQueue holds the frames that wait to be written to a connection. It uses
// memory only for waiting frames, since a daemon has connections to most others
// and sends few messages on each.
type sendQueue struct {
	mu     sync.Mutex
	frames []frame.Frame
	// ready receives a value when frames wait.
	ready chan struct{}
}

func newSendQueue() *sendQueue {
	return &sendQueue{ready: make(chan struct{}, 1)}
}

// push adds a frame. It reports false if the queue is full.
func (q *sendQueue) push(f frame.Frame) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.frames) >= maxQueuedFrames {
		return false
	}
	q.frames = append(q.frames, f)
	select {
	case q.ready <- struct{}{}:
	default:
	}
	return true
}

// take removes and returns all frames.
func (q *sendQueue) take() []frame.Frame {
	q.mu.Lock()
	defer q.mu.Unlock()
	taken := q.frames
	q.frames = nil
	return taken
}
