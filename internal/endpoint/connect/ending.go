package connect

import (
	"context"
	"errors"
	"fmt"
	"net/http"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/endpoint/http1"
	"github.com/banyanshift/banyanshift/internal/observe/metric"
)

const (
	// confirmPatience is how long an endpoint may take to say that it is still there.
	confirmPatience = clock.Second
	// confirmPause is the time until an endpoint is asked again that has given no answer. It may
	// have too many connections, or be about to end.
	confirmPause = 100 * clock.Millisecond
)

var errEndpointDown = errors.New("endpoint refuses connections")

var unframedAnswers = metric.NewMap("Endpoint.UnframedAnswers", "Answers of endpoints that ended with their connection, by what the endpoint said of itself then. Only those that are confirmed, and those of endpoints that state no incarnation, count as whole.")

// ConfirmEnd returns nil if the incarnation of an endpoint to which a connection led is still
// there. It asks on a new connection, so that the process answers that accepts connections now.
// Since the incarnation was listed before the connection was opened, it has been there all the
// while if it still is. An endpoint that answers but states no incarnation cannot be asked, and
// is believed.
func (c *Connector) ConfirmEnd(ctx context.Context, process http1.Process) (err error) {
	ctx, cancel := context.WithTimeout(ctx, confirmPatience.Duration())
	defer cancel()
	for {
		report, err := c.askReport(ctx, process)
		switch {
		case err == nil && !isUnavailable(report.Status):
			return c.judgeReport(process, report)
		case isRefused(err):
			unframedAnswers.Add("Down", 1)
			return errEndpointDown
		case c.config.Clock.Sleep(ctx, confirmPause) != nil:
			unframedAnswers.Add("Silent", 1)
			return errors.Join(ErrNoReport, err)
		}
	}
}

// isUnavailable reports whether an endpoint, or a proxy in front of it, may say more later. The
// next process of an endpoint may not be ready yet.
func isUnavailable(status int) bool {
	return status >= http.StatusInternalServerError || status == http.StatusTooManyRequests
}

// askReport asks an endpoint on a new connection what it says of itself.
func (c *Connector) askReport(ctx context.Context, process http1.Process) (report Report, err error) {
	own, err := c.startDial(process.Key, process.Address).waitToEnd(ctx)
	if err != nil {
		return report, err
	}
	report, err = c.config.Report.Send(ctx, own.Ask, process.Address, c.config.Clock.Now()+confirmPatience)
	if report.Open {
		own.Release()
	}
	return report, err
}

// judgeReport returns an error if the report is that of another incarnation.
func (c *Connector) judgeReport(process http1.Process, report Report) error {
	switch {
	case !report.Known:
		unframedAnswers.Add("NotStated", 1)
		return nil
	case report.Incarnation != process.Incarnation:
		unframedAnswers.Add("Restarted", 1)
		return fmt.Errorf("%w: incarnation %d, began as %d", ErrRestarted, report.Incarnation, process.Incarnation)
	}
	unframedAnswers.Add("Confirmed", 1)
	return nil
}
