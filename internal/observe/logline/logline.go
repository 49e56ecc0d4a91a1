// Package logline writes log lines without ever making their author wait.
//
// Lines wait in a bounded queue for a goroutine that writes them. When the
// reader of the output has stopped and the queue is full, lines are dropped and
// counted; the count is written once lines get through again.
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

// queueLines bounds the lines that wait.
const queueLines = 4096

var droppedLines = metric.NewCounter("Log.Dropped", "Log lines that were dropped because nobody read the output.")

// Writer is an io.Writer that does not block. Each call of Write is one line.
type Writer struct {
	out   io.Writer
	lines chan []byte
	done  chan struct{}

	mu      sync.Mutex
	dropped int
	closed  bool
}

// New returns a Writer to out.
func New(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, queueLines), done: make(chan struct{})}
	go w.loop()
	return w
}

// Write queues a line. It never fails and never waits.
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

// loop writes the lines.
func (w *Writer) loop() {
	defer close(w.done)
	for line := range w.lines {
		if n := w.takeDropped(); n > 0 {
			// An error here means what it means for any line: nobody reads.
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

// Close writes what waits, for at most the given time.
func (w *Writer) Close(limit time.Duration) {
	w.mu.Lock()
	if !w.closed {
		w.closed = true
		close(w.lines)
	}
	w.mu.Unlock()
	select {
	case <-w.done:
	case <-time.After(limit):
	}
}
