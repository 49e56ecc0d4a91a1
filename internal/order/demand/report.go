package demand

import (
	"cmp"
	"context"
	"slices"
	"sync"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/decide/capacity"
	"github.com/banyanshift/banyanshift/internal/peer/link"
	"github.com/banyanshift/banyanshift/internal/peer/message"
)

const (
	// minInterval is the least time between two reports of a daemon.
	minInterval = 2 * clock.Second
	// intervalPerDaemon lengthens the interval with the number of daemons, so
	// that the reports of a large region do not overload the holder.
	intervalPerDaemon = 200 * clock.Millisecond
	// expiryIntervals is the number of intervals after which a report expires.
	expiryIntervals = 3
	callTimeout     = clock.Second
)

// Report is the message that a daemon sends to the holder.
type Report struct {
	Daemon string
	// Interval is the time until the next report.
	Interval clock.Millis
	Lines    Columns
}

// Columns is the encoded form of lines, a slice for each field. Each back end is
// named once in Names, and Backend holds indexes into Names. The integers are of
// type int, which msgpack encodes in as few bytes as the value needs. All slices
// but Names have the same length.
type Columns struct {
	Names   []string
	Backend []int
	Tier    []int
	Running []int
	Waiting []int
	// ServiceTime is in milliseconds.
	ServiceTime []int
}

func encodeLines(lines []Line) (c Columns) {
	for _, line := range lines {
		if len(c.Names) == 0 || c.Names[len(c.Names)-1] != line.Backend {
			c.Names = append(c.Names, line.Backend)
		}
		c.Backend = append(c.Backend, len(c.Names)-1)
		c.Tier = append(c.Tier, line.Tier)
		c.Running = append(c.Running, line.Running)
		c.Waiting = append(c.Waiting, line.Waiting)
		c.ServiceTime = append(c.ServiceTime, int(line.ServiceTime))
	}
	return c
}

// lines decodes the columns up to the first line that is incomplete or has an
// invalid back end.
func (c Columns) lines() (lines []Line) {
	n := min(len(c.Backend), len(c.Tier), len(c.Running), len(c.Waiting), len(c.ServiceTime))
	for i := range n {
		if c.Backend[i] < 0 || c.Backend[i] >= len(c.Names) {
			return lines
		}
		lines = append(lines, Line{
			Backend: c.Names[c.Backend[i]], Tier: c.Tier[i],
			Running: max(0, c.Running[i]), Waiting: max(0, c.Waiting[i]), ServiceTime: clock.Millis(c.ServiceTime[i]),
		})
	}
	return lines
}

// Ack is the reply to a Report.
type Ack struct{}

// Aggregator sums the reports of a region's daemons.
type Aggregator struct {
	clock clock.Clock

	mu      sync.Mutex
	reports map[string]receivedReport
}

type receivedReport struct {
	expiresAt clock.Millis
	lines     []Line
}

// NewAggregator returns an Aggregator without reports.
func NewAggregator(clk clock.Clock) *Aggregator {
	return &Aggregator{clock: clk, reports: make(map[string]receivedReport)}
}

// Register adds the handler that puts received reports into agg. It must be called
// before the link is started.
func Register(l *link.Link, agg *Aggregator) {
	link.Handle(l, message.DemandReport, func(_ context.Context, from string, report Report) (Ack, error) {
		report.Daemon = from
		agg.Put(report)
		return Ack{}, nil
	})
}

// Put stores a report in place of the daemon's last one.
func (agg *Aggregator) Put(report Report) {
	agg.mu.Lock()
	defer agg.mu.Unlock()
	interval := min(max(report.Interval, minInterval), clock.Minute)
	agg.reports[report.Daemon] = receivedReport{expiresAt: agg.clock.Now() + expiryIntervals*interval, lines: report.Lines.lines()}
}

// Demands returns the sums over all reports that have not expired. Service times
// are averaged, weighted by the number of requests.
func (agg *Aggregator) Demands() (demands []capacity.Demand) {
	agg.mu.Lock()
	defer agg.mu.Unlock()
	now := agg.clock.Now()
	sums := make(map[lineKey]*capacity.Demand)
	weights := make(map[lineKey]float64)
	for daemon, report := range agg.reports {
		if now >= report.expiresAt {
			delete(agg.reports, daemon)
			continue
		}
		for _, line := range report.lines {
			key := lineKey{backend: line.Backend, tier: line.Tier}
			if sums[key] == nil {
				sums[key] = &capacity.Demand{Backend: line.Backend, Tier: line.Tier}
			}
			sum := sums[key]
			sum.Running += float64(line.Running)
			sum.Waiting += float64(line.Waiting)
			weight := float64(line.Running + line.Waiting)
			if line.ServiceTime > 0 && weight > 0 {
				mean := float64(sum.ServiceTime) * weights[key]
				weights[key] += weight
				sum.ServiceTime = clock.Millis((mean + weight*float64(line.ServiceTime)) / weights[key])
			}
		}
	}
	for _, sum := range sums {
		demands = append(demands, *sum)
	}
	slices.SortFunc(demands, func(a, b capacity.Demand) int {
		return cmp.Or(cmp.Compare(a.Backend, b.Backend), cmp.Compare(a.Tier, b.Tier))
	})
	return demands
}

// SenderConfig configures a Sender. All fields must be set.
type SenderConfig struct {
	Link  *link.Link
	Clock clock.Clock
	// ID names this daemon.
	ID      string
	Counter *Counter
	// Aggregator receives the reports while this daemon is the holder itself.
	Aggregator *Aggregator
	// Holder returns the daemon that holds the region's lease; ok is false if
	// it is unknown.
	Holder func() (peer link.Peer, ok bool)
	// DaemonCount returns how many daemons the region has.
	DaemonCount func() int
}

// Sender reports the demand of this daemon's requests to the holder.
type Sender struct {
	cfg SenderConfig
}

// NewSender returns a Sender.
func NewSender(cfg SenderConfig) *Sender {
	return &Sender{cfg: cfg}
}

// Run sends reports until ctx is done.
func (s *Sender) Run(ctx context.Context) error {
	for {
		interval := max(minInterval, intervalPerDaemon*clock.Millis(s.cfg.DaemonCount()))
		s.sendReport(ctx, interval)
		if err := s.cfg.Clock.Sleep(ctx, interval); err != nil {
			return err
		}
	}
}

// sendReport sends one report. It ignores errors, since the next report replaces this
// one.
func (s *Sender) sendReport(ctx context.Context, interval clock.Millis) {
	holder, known := s.cfg.Holder()
	if !known {
		return
	}
	report := Report{Daemon: s.cfg.ID, Interval: interval, Lines: encodeLines(s.cfg.Counter.Lines())}
	if holder.ID == s.cfg.ID {
		s.cfg.Aggregator.Put(report)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
	defer cancel()
	_, _ = link.Call[Report, Ack](ctx, s.cfg.Link, holder, message.DemandReport, report)
}
