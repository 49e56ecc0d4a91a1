package relay

import (
	"strconv"

	"github.com/sirupsen/logrus"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/observe/event"
	"github.com/banyanshift/banyanshift/internal/observe/metric"
)

var (
	eventPlaced = event.New(1130, logrus.InfoLevel, "request placed",
		"A request was sent to an endpoint, with the expected time to its first token and the version of the configuration.")
	eventAttemptFailed = event.New(1131, logrus.InfoLevel, "attempt failed",
		"An endpoint gave no usable answer; the reason says whether the request may have run.")
	eventFirstEvent = event.New(1132, logrus.InfoLevel, "stream began",
		"The first event of a stream was passed on.")
	eventEnded = event.New(1133, logrus.InfoLevel, "request ended",
		"A request got its final answer. Status 0 means that the connection ended without one.")

	requests = metric.NewCounter("Relay.Requests", "Requests whose head was read.")
	ended    = metric.NewMap("Relay.Ended", "Requests by the status of their final answer; 0 for those that were broken off or abandoned.")
)

// sampleEvery is the part of the requests without incident that is logged.
const sampleEvery = 32

// trace collects the decisions on one request. They are written when it ends:
// all of them for a request that was refused, failed, repeated or late, and for
// a sample of the others.
type trace struct {
	version   int64
	status    int
	reason    string
	ended     bool
	done      bool
	tries     int
	decisions []decision
}

type decision struct {
	event  *event.Event
	at     clock.Millis
	fields logrus.Fields
}

func (t *trace) place(x *exchange, p Placement) {
	t.tries++
	t.decisions = append(t.decisions, decision{event: eventPlaced, at: x.handler.config.Clock.Now(), fields: logrus.Fields{
		"Endpoint": p.Endpoint, "Address": p.Address, "Expected": int64(p.Expected), "Version": t.version, "TimeLeft": int64(x.timeLeft()), "Try": t.tries,
	}})
}

func (t *trace) lost(reason string, p Placement, err error) {
	fields := logrus.Fields{"Endpoint": p.Endpoint, "Reason": reason}
	if err != nil {
		fields["Error"] = err.Error()
	}
	t.decisions = append(t.decisions, decision{event: eventAttemptFailed, fields: fields})
}

func (t *trace) firstEvent(x *exchange) {
	t.decisions = append(t.decisions, decision{event: eventFirstEvent, at: x.handler.config.Clock.Now(), fields: logrus.Fields{}})
}

func (t *trace) end(status int, reason string) {
	t.status, t.reason, t.ended = status, reason, true
}

// finish writes the log of the request and counts its end, once.
func (x *exchange) finish() {
	t := &x.trace
	if t.done {
		return
	}
	t.done = true
	ended.Add(strconv.Itoa(t.status), 1)
	took := x.handler.config.Clock.Now() - x.arrived
	if !t.notable() && requests.Value()%sampleEvery != 0 {
		return
	}
	logger := x.handler.config.Logger.WithField("Request", x.call.ID)
	for _, d := range t.decisions {
		if d.at > 0 {
			d.fields["After"] = int64(d.at - x.arrived)
		}
		d.event.Log(logger, d.fields)
	}
	fields := logrus.Fields{"Status": t.status, "Took": int64(took), "Team": x.teamName(), "Backend": x.backend, "Tries": t.tries}
	if x.route != nil {
		fields["Route"] = x.route.Name
	}
	if t.reason != "" {
		fields["Reason"] = t.reason
	}
	eventEnded.Log(logger, fields)
}

// notable reports whether the request was refused, failed or repeated.
func (t *trace) notable() bool {
	return t.status < 200 || t.status > 299 || t.tries > 1
}
