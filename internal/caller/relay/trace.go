package relay

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
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
	started  = metric.NewHistograms("Relay.FirstEvent", "Time from a request to the first event of its stream in ms, by priority.")
	served   = metric.NewHistograms("Relay.Served", "Time from a request to the end of its answer in ms, by priority and status.")
	outcomes = metric.NewMap("Relay.Outcomes", "Requests by route, priority, status, and the kind of reason where there is one.")
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
	// first is when the first event of a stream was passed on, and gap the
	// longest pause after it.
	first clock.Millis
	wrote clock.Millis
	gap   clock.Millis
}

type decision struct {
	event  *event.Event
	at     clock.Millis
	fields logrus.Fields
}

func (t *trace) place(x *exchange, p Placement) {
	t.tries++
	t.decisions = append(t.decisions, decision{event: eventPlaced, at: x.handler.config.Clock.Now(), fields: logrus.Fields{
		"Endpoint": p.Endpoint, "Address": p.Address, "Expected": int64(p.ExpectedFirstToken), "Version": t.version, "TimeLeft": int64(x.timeLeft()), "Try": t.tries,
	}})
}

// lost notes an attempt that failed.
func (x *exchange) lost(reason string, p Placement, err error) {
	fields := logrus.Fields{"Endpoint": p.Endpoint, "Reason": reason}
	if err != nil {
		fields["Error"] = err.Error()
	}
	x.trace.decisions = append(x.trace.decisions, decision{event: eventAttemptFailed, at: x.handler.config.Clock.Now(), fields: fields})
}

func (t *trace) firstEvent(x *exchange) {
	now := x.handler.config.Clock.Now()
	if t.first == 0 {
		t.first = now
	}
	t.decisions = append(t.decisions, decision{event: eventFirstEvent, at: now, fields: logrus.Fields{}})
}

// passed notes that events of a stream were passed on.
func (t *trace) passed(now clock.Millis) {
	if t.wrote != 0 {
		t.gap = max(t.gap, now-t.wrote)
	}
	t.wrote = now
}

// late says what took longer than the route's targets, empty where nothing did.
func (x *exchange) late(ended clock.Millis) string {
	t := &x.trace
	if x.route == nil || x.route.Target <= 0 {
		return ""
	}
	begun := ended
	if t.first != 0 {
		begun = t.first
	}
	switch {
	case begun-x.arrived > x.route.Target:
		return fmt.Sprintf("answer began after %v, the target is %v", begun-x.arrived, x.route.Target)
	case x.route.EventGapTarget > 0 && t.gap > x.route.EventGapTarget:
		return fmt.Sprintf("events paused for %v, the target is %v", t.gap, x.route.EventGapTarget)
	}
	return ""
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
	outcomes.Add(x.outcome(), 1)
	now := x.handler.config.Clock.Now()
	took := now - x.arrived
	late := x.late(now)
	x.measure(took)
	if !t.notable() && late == "" && !sampled(x.call.ID) {
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
	if late != "" {
		fields["Late"] = late
	}
	eventEnded.Log(logger, fields)
}

// outcome is the key under which the end of the request is counted. The kind of
// a reason is what stands before its first colon.
func (x *exchange) outcome() string {
	if x.route == nil {
		return "NoRoute." + strconv.Itoa(x.trace.status)
	}
	key := x.route.Name + ".Priority" + strconv.Itoa(x.priority()) + "." + strconv.Itoa(x.trace.status)
	if x.trace.reason == "" {
		return key
	}
	kind, _, _ := strings.Cut(x.trace.reason, ":")
	return key + "." + kind
}

// sampled picks requests by their ids, so that no kind of request that comes at
// regular places among the others is passed over.
func sampled(id string) bool {
	return xxhash.Sum64String(id)%sampleEvery == 0
}

// measure records how long the request took.
func (x *exchange) measure(took clock.Millis) {
	if x.route == nil {
		return
	}
	rank := "Priority" + strconv.Itoa(x.priority())
	served.Record(rank+"."+strconv.Itoa(x.trace.status), took)
	if x.trace.first != 0 {
		started.Record(rank, x.trace.first-x.arrived)
	}
}

// notable reports whether the request was refused, failed or repeated.
func (t *trace) notable() bool {
	return t.status < 200 || t.status > 299 || t.tries > 1
}
