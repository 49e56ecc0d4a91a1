package relay_test

import (
	"expvar"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/banyanshift/banyanshift/internal/observe/logline"
)

// sendIdempotent sends one idempotent request and returns its status.
func (f *fixture) sendIdempotent(client *http.Client, id string) (int, error) {
	r, err := http.NewRequest(http.MethodPost, f.caller.URL+"/look/1", strings.NewReader("x"))
	if err != nil {
		return 0, err
	}
	r.Header.Set("Id", id)
	r.Header.Set("Key", "k")
	answer, err := client.Do(r)
	if err != nil {
		return 0, err
	}
	defer answer.Body.Close()
	_, err = io.Copy(io.Discard, answer.Body)
	return answer.StatusCode, err
}

// sendConcurrently sends requests from several callers at once, expects status
// 503 for each, and returns the longest duration of a request.
func (f *fixture) sendConcurrently(callers, each int) (slowest time.Duration) {
	var mu sync.Mutex
	var group sync.WaitGroup
	for caller := range callers {
		group.Go(func() {
			for n := range each {
				start := time.Now()
				status, err := f.sendIdempotent(http.DefaultClient, fmt.Sprint("c", caller, "-", n))
				took := time.Since(start)
				mu.Lock()
				slowest = max(slowest, took)
				if err != nil || status != http.StatusServiceUnavailable {
					f.t.Errorf("got status %d, error %v; want 503", status, err)
				}
				mu.Unlock()
			}
		})
	}
	group.Wait()
	return slowest
}

// TestStalledLogReaderDoesNotDelayRequests sends requests that are refused, and
// therefore logged, while the log output is not read.
func TestStalledLogReaderDoesNotDelayRequests(t *testing.T) {
	f := newFixture(t)
	reader, output, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	lines := logline.New(output)
	f.logger.SetOutput(lines)
	f.logger.SetFormatter(&logrus.JSONFormatter{})
	f.logger.ReplaceHooks(make(logrus.LevelHooks))
	before := expvar.Get("Log.Dropped").String()
	// These are more lines than fit into the pipe and the log queue together.
	slowest := f.sendConcurrently(20, 500)
	if slowest > time.Second {
		t.Errorf("the slowest request took %v, want at most 1s", slowest)
	}
	if expvar.Get("Log.Dropped").String() == before {
		t.Error("Log.Dropped did not change, want dropped lines to be counted")
	}
	go func() { _, _ = io.Copy(io.Discard, reader) }()
	lines.Close(5 * time.Second)
	_ = output.Close()
}

func answerSealed(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Seal", "s")
	_, _ = io.WriteString(w, "answer")
}

// TestLogVolumeIsBounded checks that a small sample of the successful requests
// is logged, and every refused request.
func TestLogVolumeIsBounded(t *testing.T) {
	const sent = 640
	served := newFixture(t, answerSealed)
	refused := newFixture(t)
	for n := range sent {
		for _, f := range []*fixture{served, refused} {
			if _, err := f.sendIdempotent(http.DefaultClient, fmt.Sprint("v", n)); err != nil {
				t.Fatal(err)
			}
		}
	}
	const ended = "request ended"
	if lines := len(served.log.AllEntries()); lines == 0 || lines > sent/8 {
		t.Errorf("got %d log lines for %d successful requests, want a sample of them", lines, sent)
	}
	logged := 0
	for _, entry := range refused.log.AllEntries() {
		if entry.Message == ended {
			logged++
		}
	}
	if logged != sent {
		t.Errorf("got %d logged requests, want all %d refused ones", logged, sent)
	}
}

// processorTime returns the CPU time of the process, which includes the callers
// and the endpoints.
func processorTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkLogging compares requests that are all logged, requests of which a
// sample is logged, and both with the log turned off.
func BenchmarkLogging(b *testing.B) {
	for _, c := range []struct {
		name  string
		level logrus.Level
		serve []http.HandlerFunc
	}{
		{"RefusedLogged", logrus.InfoLevel, nil},
		{"RefusedSilent", logrus.PanicLevel, nil},
		{"ServedSampled", logrus.InfoLevel, []http.HandlerFunc{answerSealed}},
		{"ServedSilent", logrus.PanicLevel, []http.HandlerFunc{answerSealed}},
	} {
		b.Run(c.name, func(b *testing.B) {
			f := newFixture(b, c.serve...)
			lines := logline.New(io.Discard)
			defer lines.Close(time.Second)
			f.logger.SetOutput(lines)
			f.logger.SetFormatter(&logrus.JSONFormatter{})
			f.logger.SetLevel(c.level)
			f.logger.ReplaceHooks(make(logrus.LevelHooks))
			start := processorTime(b)
			want := http.StatusServiceUnavailable
			if c.serve != nil {
				want = http.StatusOK
			}
			for n := 0; b.Loop(); n++ {
				if status, err := f.sendIdempotent(http.DefaultClient, fmt.Sprint("b", n)); err != nil || status != want {
					b.Fatal(status, err)
				}
			}
			b.ReportMetric(float64(processorTime(b)-start)/float64(b.N), "cpu-ns/op")
		})
	}
}

func TestEndOfAStreamIsLoggedWithItsLastEvent(t *testing.T) {
	f := newFixture(t, events(1, 3, false))
	f.send("/stream/1")
	for _, entry := range f.log.AllEntries() {
		if entry.Data["Event"] != 1133 {
			continue
		}
		if entry.Data["LastEvent"] != "3" || entry.Data["Ending"] != "Chunks" {
			t.Errorf("got fields %v, want LastEvent 3 and Ending Chunks", entry.Data)
		}
		return
	}
	t.Error("the end of the stream is not logged")
}
