package demand

import (
	"context"
	"errors"
	"reflect"
	"testing"

	"github.com/sirupsen/logrus/hooks/test"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/caller/request"
	"github.com/banyanshift/banyanshift/internal/decide/capacity"
	"github.com/banyanshift/banyanshift/internal/peer/link"
)

func TestCounterFollowsRequests(t *testing.T) {
	manual := clock.NewManual(0)
	counter := NewCounter(manual.Clock())
	var waiting []Line
	refuse := false
	scheduler := counter.Wrap(request.Scheduler{
		Acquire: func(_ context.Context, req *request.Request) (*request.Grant, error) {
			waiting = counter.Lines()
			if refuse {
				return nil, errors.New("refused")
			}
			return &request.Grant{RequestID: req.ID}, nil
		},
		Reacquire: func(_ context.Context, req *request.Request, _ []string) (*request.Grant, error) {
			return &request.Grant{RequestID: req.ID}, nil
		},
		Release: func(*request.Grant, request.Outcome) {},
	})
	ctx, req := context.Background(), &request.Request{ID: "1", Backend: "m", Tier: 2}
	grant, _ := scheduler.Acquire(ctx, req)
	if len(waiting) != 1 || waiting[0] != (Line{Backend: "m", Tier: 2, Waiting: 1}) {
		t.Fatalf("while waiting: got %+v, want 1 waiting request", waiting)
	}
	manual.Advance(3 * clock.Second)
	again, _ := scheduler.Reacquire(ctx, req, nil)
	if lines := counter.Lines(); len(lines) != 1 || lines[0].Running != 2 {
		t.Fatalf("while running: got %+v, want 2 running requests", lines)
	}
	scheduler.Release(grant, request.Outcome{})
	if lines := counter.Lines(); lines[0].Running != 1 || lines[0].ServiceTime != 3*clock.Second {
		t.Fatalf("after the first release: got %+v, want 1 running request and a service time of 3 s", lines)
	}
	scheduler.Release(again, request.Outcome{})
	refuse = true
	_, _ = scheduler.Acquire(ctx, req)
	if lines := counter.Lines(); len(lines) != 0 {
		t.Fatalf("after the last release: got %+v, want no lines", lines)
	}
}

func TestAggregatorSumsRecentReports(t *testing.T) {
	manual := clock.NewManual(0)
	aggregator := NewAggregator(manual.Clock())
	aggregator.Put(Report{Daemon: "a", Interval: 2 * clock.Second, Lines: encodeLines([]Line{{Backend: "m", Running: 3, ServiceTime: 1000}})})
	aggregator.Put(Report{Daemon: "b", Interval: 10 * clock.Second, Lines: encodeLines([]Line{{Backend: "m", Running: 1, Waiting: 4, ServiceTime: 3000}, {Backend: "n", Tier: 1, Running: 1}})})
	want := []capacity.Demand{
		{Backend: "m", Running: 4, Waiting: 4, ServiceTime: 2250},
		{Backend: "n", Tier: 1, Running: 1},
	}
	if got := aggregator.Demands(); !reflect.DeepEqual(got, want) {
		t.Fatalf("got %+v, want the sums of both reports", got)
	}
	manual.Advance(6 * clock.Second) // the report of a has expired
	if got := aggregator.Demands(); len(got) != 2 || got[0].Running != 1 {
		t.Fatalf("after a report expired: got %+v, want 2 demands, the first with 1 running request", got)
	}
}

func TestInvalidColumnsAreTruncated(t *testing.T) {
	whole := encodeLines([]Line{{Backend: "m", Running: 1}, {Backend: "n", Running: 2}})
	if got := whole.lines(); len(got) != 2 || got[1] != (Line{Backend: "n", Running: 2}) {
		t.Fatalf("complete columns: got %+v, want both lines", got)
	}
	short, invalid := whole, whole
	short.Tier = short.Tier[:1]
	invalid.Backend = []int{0, 7}
	for _, c := range []Columns{short, invalid} {
		if got := c.lines(); len(got) != 1 {
			t.Errorf("invalid columns: got %+v, want only the first line", got)
		}
	}
}

func TestSenderOverLink(t *testing.T) {
	logger, _ := test.NewNullLogger()
	clk := clock.System()
	aggregator := NewAggregator(clk)
	holder := link.New(link.Config{ID: "holder", Listen: "127.0.0.1:0"}, clk, logger)
	daemon := link.New(link.Config{ID: "daemon", Listen: "127.0.0.1:0"}, clk, logger)
	Register(holder, aggregator)
	for _, l := range []*link.Link{holder, daemon} {
		if err := l.Start(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { l.Close() })
	}
	counter := NewCounter(clk)
	counter.addWaiting(&request.Request{Backend: "m"}, 1)
	known := false
	sender := NewSender(SenderConfig{
		Link: daemon, Clock: clk, ID: "daemon", Counter: counter, Aggregator: NewAggregator(clk), DaemonCount: func() int { return 8 },
		Holder: func() (link.Peer, bool) { return link.Peer{ID: "holder", Address: holder.Address()}, known },
	})
	sender.sendReport(context.Background(), minInterval)
	known = true
	sender.sendReport(context.Background(), minInterval)
	if got := aggregator.Demands(); len(got) != 1 || got[0].Waiting != 1 {
		t.Fatalf("got %+v, want 1 waiting request", got)
	}
}

// BenchmarkReport measures the encoded size of a report of 13 back ends and 5 tiers.
func BenchmarkReport(b *testing.B) {
	report := Report{Daemon: "vm-117", Interval: 12 * clock.Second}
	var lines []Line
	for m := range 13 {
		for tier := range 5 {
			lines = append(lines, Line{
				Backend: "model-" + string(rune('a'+m)), Tier: tier, Running: 40, Waiting: 7, ServiceTime: 3200,
			})
		}
	}
	size := 0
	for b.Loop() {
		report.Lines = encodeLines(lines)
		encoded, _ := msgpack.Marshal(report)
		size = len(encoded)
	}
	b.ReportMetric(float64(size), "bytes")
}
