package relay_test

import (
	"bytes"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/banyanshift/banyanshift/internal/caller/relay"
	"github.com/banyanshift/banyanshift/internal/observe/explain"
)

// logLines returns the log of the fixture in the format that a daemon writes.
func (f *fixture) logLines(t *testing.T) *bytes.Buffer {
	var out bytes.Buffer
	formatter := &logrus.JSONFormatter{}
	for _, entry := range f.log.AllEntries() {
		line, err := formatter.Format(entry)
		if err != nil {
			t.Fatal(err)
		}
		out.WriteString("12.3 gateway-1 " + string(line))
	}
	return &out
}

// TestLogExplainsFailures injects faults and checks that explain finds the cause
// of each failed or late request from the log alone.
func TestLogExplainsFailures(t *testing.T) {
	faults := map[string]struct {
		newFixture func() *fixture
		path       string
		want       string
	}{
		"endpoint crash": {func() *fixture { return newFixture(t, reset) }, "/pay/1", "endpoint crash or lost connection: e0"},
		"endpoint error": {func() *fixture { return newFixture(t, status(500)) }, "/pay/1", "endpoint error: e0 answered 500"},
		"store away": {func() *fixture {
			f := newFixture(t, ok)
			f.config.Isolated = true
			return f
		}, "/pay/1", "store away"},
		"store away at the start": {func() *fixture {
			f := newFixture(t, ok)
			f.config = relay.Configuration{}
			return f
		}, "/pay/1", "store away"},
		"old configuration": {func() *fixture {
			f := newFixture(t, ok)
			f.config.Current = false
			return f
		}, "/new/1", "old configuration"},
		"exhausted budget": {func() *fixture {
			f := newFixture(t, notRun, ok)
			f.retryTokens = 0
			return f
		}, "/pay/1", "exhausted retry budget"},
		"late": {func() *fixture {
			return newFixture(t, func(w http.ResponseWriter, r *http.Request) {
				time.Sleep(300 * time.Millisecond)
				ok(w, r)
			})
		}, "/pay/1", "late: answer began after"},
		"overload": {func() *fixture {
			f := newFixture(t, ok)
			f.refusal = relay.Refusal{Reason: "overloaded: first token expected after 9s", RetryAfter: 500}
			return f
		}, "/pay/1", "overload"},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			f := fault.newFixture()
			f.send(fault.path)
			report, err := explain.Find(f.logLines(t), "r1")
			if err != nil {
				t.Fatal(err)
			}
			if !strings.HasPrefix(report.Cause, fault.want) {
				t.Errorf("got cause %q, want prefix %q", report.Cause, fault.want)
			}
		})
	}
}

func TestExplainFailsForRequestThatIsNotInTheLog(t *testing.T) {
	if _, err := explain.Find(strings.NewReader("no json\n{\"Event\":1}\n"), "r9"); err == nil {
		t.Error("got no error for a request that is not in the log")
	}
}
