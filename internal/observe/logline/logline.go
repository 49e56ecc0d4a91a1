// Package logline writes log lines without blocking the code that logs them.
//
// Lines are put in a bounded queue, from which a goroutine writes them. When the
// queue is full because the reader of the output has stopped, lines are dropped
// and counted. The count is logged once the output accepts lines again.
//
// # Usage
//
//	w := logline.New(os.Stdout)
//	logger.SetOutput(w)
//	defer w.Close(time.Second)
package logline

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/banyanshift/banyanshift/internal/observe/metric"
)

// maxQueuedLines is the capacity of the queue.
const maxQueuedLines = 4096

var droppedLines = metric.NewCounter("Log.Dropped", "Log lines that were dropped because the reader of the output had stopped.")

// Writer is an io.Writer that does not block. Each call of Write is one line.
type Writer struct {
	out   io.Writer
	lines chan []byte
	done  chan struct{}

	mu      sync.Mutex
	dropped int
	closed  bool
}

// New returns a Writer to out and starts its goroutine, which ends at Close.
func New(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go w.loop()
	return w
}

// Write queues a line, or drops it if the queue is full. It never fails or blocks.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return len(line), nil
	}
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped++
		droppedLines.Add(1)
	}
	return len(line), nil
}

// loop writes queued lines until the queue is closed.
func (w *Writer) loop() {
	defer close(w.done)
	for line := range w.lines {
		if n := w.takeDropped(); n > 0 {
			// Errors are ignored, as for any line: there is no reader to report them to.
			_, _ = fmt.Fprintf(w.out, "{\"Event\":1020,\"level\":\"warning\",\"msg\":\"log lines dropped\",\"Lines\":%d}\n", n)
		}
		_, _ = w.out.Write(line)
	}
}

func (w *Writer) takeDropped() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := w.dropped
	w.dropped = 0
	return n
}

// Close writes the queued lines and stops the Writer. It waits at most timeout;
// later lines are discarded.
func (w *Writer) Close(timeout time.Duration) {
	w.mu.Lock()
	if !w.closed {
		w.closed = true
		close(w.lines)
	}
	w.mu.Unlock()
	select {
	case <-w.done:
	case <-time.After(timeout):
	}
}
