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
		t.Fatalf("while waiting: %+v", waiting)
	}
	manual.Advance(3 * clock.Second)
	again, _ := scheduler.Reacquire(ctx, req, nil)
	if lines := counter.Lines(); len(lines) != 1 || lines[0].Running != 2 {
		t.Fatalf("while running: %+v", lines)
	}
	scheduler.Release(grant, request.Outcome{})
	if lines := counter.Lines(); lines[0].Running != 1 || lines[0].ServiceTime != 3*clock.Second {
		t.Fatalf("after the first: %+v", lines)
	}
	scheduler.Release(again, request.Outcome{})
	refuse = true
	_, _ = scheduler.Acquire(ctx, req)
	if lines := counter.Lines(); len(lines) != 0 {
		t.Fatalf("in the end: %+v", lines)
	}
}

func TestBoardSumsRecentReports(t *testing.T) {
	manual := clock.NewManual(0)
	board := NewAggregator(manual.Clock())
	board.Put(Report{Daemon: "a", Interval: 2 * clock.Second, Lines: columnsOf([]Line{{Backend: "m", Running: 3, ServiceTime: 1000}})})
	board.Put(Report{Daemon: "b", Interval: 10 * clock.Second, Lines: columnsOf([]Line{{Backend: "m", Running: 1, Waiting: 4, ServiceTime: 3000}, {Backend: "n", Tier: 1, Running: 1}})})
	want := []capacity.Demand{
		{Backend: "m", Running: 4, Waiting: 4, ServiceTime: 2250},
		{Backend: "n", Tier: 1, Running: 1},
	}
	if got := board.Demands(); !reflect.DeepEqual(got, want) {
		t.Fatalf("%+v", got)
	}
	manual.Advance(6 * clock.Second) // the report of a is out of date
	if got := board.Demands(); len(got) != 2 || got[0].Running != 1 {
		t.Fatalf("%+v", got)
	}
}

func TestIncompleteColumnsAreCutShort(t *testing.T) {
	whole := columnsOf([]Line{{Backend: "m", Running: 1}, {Backend: "n", Running: 2}})
	if got := whole.lines(); len(got) != 2 || got[1] != (Line{Backend: "n", Running: 2}) {
		t.Fatalf("%+v", got)
	}
	short, foreign := whole, whole
	short.Tier = short.Tier[:1]
	foreign.Backend = []int{0, 7}
	for _, c := range []Columns{short, foreign} {
		if got := c.lines(); len(got) != 1 {
			t.Errorf("%+v", got)
		}
	}
}

func TestTellerOverTheLink(t *testing.T) {
	logger, _ := test.NewNullLogger()
	clk := clock.System()
	board := NewAggregator(clk)
	holder := link.New(link.Config{ID: "holder", Listen: "127.0.0.1:0"}, clk, logger)
	daemon := link.New(link.Config{ID: "daemon", Listen: "127.0.0.1:0"}, clk, logger)
	Register(holder, board)
	for _, l := range []*link.Link{holder, daemon} {
		if err := l.Start(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { l.Close() })
	}
	counter := NewCounter(clk)
	counter.wait(&request.Request{Backend: "m"}, 1)
	known := false
	teller := NewSender(SenderConfig{
		Link: daemon, Clock: clk, ID: "daemon", Counter: counter, Aggregator: NewAggregator(clk), DaemonCount: func() int { return 8 },
		Holder: func() (link.Peer, bool) { return link.Peer{ID: "holder", Address: holder.Address()}, known },
	})
	teller.tell(context.Background(), minInterval)
	known = true
	teller.tell(context.Background(), minInterval)
	if got := board.Demands(); len(got) != 1 || got[0].Waiting != 1 {
		t.Fatalf("%+v", got)
	}
}

// BenchmarkReport reports the size of a report of 13 back ends and 5 tiers.
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
		report.Lines = columnsOf(lines)
		encoded, _ := msgpack.Marshal(report)
		size = len(encoded)
	}
	b.ReportMetric(float64(size), "bytes")
}
