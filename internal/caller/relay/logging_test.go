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

// look sends one request that may be repeated and returns its status.
func (f *fixture) look(client *http.Client, id string) (int, error) {
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

// load sends requests from several callers at once and returns the slowest.
func (f *fixture) load(callers, each int) (slowest time.Duration) {
	var mu sync.Mutex
	var group sync.WaitGroup
	for caller := range callers {
		group.Go(func() {
			for n := range each {
				began := time.Now()
				status, err := f.look(http.DefaultClient, fmt.Sprint("c", caller, "-", n))
				took := time.Since(began)
				mu.Lock()
				slowest = max(slowest, took)
				if err != nil || status != http.StatusServiceUnavailable {
					f.t.Errorf("got %d, %v", status, err)
				}
				mu.Unlock()
			}
		})
	}
	group.Wait()
	return slowest
}

// TestStalledReaderOfTheLogSlowsNoRequest refuses requests, each of which is
// logged, while nobody reads the output.
func TestStalledReaderOfTheLogSlowsNoRequest(t *testing.T) {
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
	// More lines than the pipe and the queue of lines hold together.
	slowest := f.load(20, 500)
	if slowest > time.Second {
		t.Errorf("a request took %v", slowest)
	}
	if expvar.Get("Log.Dropped").String() == before {
		t.Error("no dropped line was counted")
	}
	go func() { _, _ = io.Copy(io.Discard, reader) }()
	lines.Close(5 * time.Second)
	_ = output.Close()
}

func answerSealed(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Seal", "s")
	_, _ = io.WriteString(w, "answer")
}

// TestVolumeOfTheLogIsBounded: of requests without incident a small part is
// logged, of refused ones all.
func TestVolumeOfTheLogIsBounded(t *testing.T) {
	const asked = 640
	served := newFixture(t, answerSealed)
	refused := newFixture(t)
	for n := range asked {
		for _, f := range []*fixture{served, refused} {
			if _, err := f.look(http.DefaultClient, fmt.Sprint("v", n)); err != nil {
				t.Fatal(err)
			}
		}
	}
	const ended = "request ended"
	if lines := len(served.log.AllEntries()); lines == 0 || lines > asked/8 {
		t.Errorf("%d lines for %d requests without incident", lines, asked)
	}
	logged := 0
	for _, entry := range refused.log.AllEntries() {
		if entry.Message == ended {
			logged++
		}
	}
	if logged != asked {
		t.Errorf("%d of %d refused requests are logged", logged, asked)
	}
}

// processorTime is what the process, caller and endpoint included, has used.
func processorTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkLogging measures requests of which every one is logged, those of
// which a sample is, and those whose log is turned off.
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
			began := processorTime(b)
			want := http.StatusServiceUnavailable
			if c.serve != nil {
				want = http.StatusOK
			}
			for n := 0; b.Loop(); n++ {
				if status, err := f.look(http.DefaultClient, fmt.Sprint("b", n)); err != nil || status != want {
					b.Fatal(status, err)
				}
			}
			b.ReportMetric(float64(processorTime(b)-began)/float64(b.N), "cpu-ns/op")
		})
	}
}
