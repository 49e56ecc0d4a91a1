package logline_test

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/banyanshift/banyanshift/internal/observe/logline"
)

func TestLinesPassInOrder(t *testing.T) {
	var out bytes.Buffer
	w := logline.New(&out)
	_, _ = w.Write([]byte("one\n"))
	_, _ = w.Write([]byte("two\n"))
	w.Close(time.Second)
	if out.String() != "one\ntwo\n" {
		t.Errorf("got %q, want both lines in order", out.String())
	}
}

// Writes must not block while the reader of the output has stopped, and the lines
// dropped meanwhile must be reported when it continues.
func TestWriteDoesNotBlockOnStalledReader(t *testing.T) {
	reader, out := io.Pipe()
	w := logline.New(out)
	started := time.Now()
	for range 20000 {
		_, _ = w.Write([]byte("line\n"))
	}
	if took := time.Since(started); took > 2*time.Second {
		t.Fatalf("writing to a stalled reader took %v, want at most 2s", took)
	}
	go func() {
		time.Sleep(50 * time.Millisecond)
		_, _ = w.Write([]byte("last\n"))
		w.Close(time.Second)
		_ = out.Close()
	}()
	text, err := io.ReadAll(reader)
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(string(text), "log lines dropped") {
		t.Error("output does not report the dropped lines")
	}
}
