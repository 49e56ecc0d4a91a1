package relay

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/decide/quarantine"
	"github.com/banyanshift/banyanshift/internal/observe/event"
	"github.com/banyanshift/banyanshift/internal/observe/metric"
)

var (
	eventPlaced = event.New(1130, logrus.InfoLevel, "request placed",
		"A request was assigned to an endpoint. The fields give the expected time to first token, and the version of the configuration with the time since it was last known to be the newest. CopyTokens is how much of the prompt the endpoint is to copy from the cache of the one at CopyFrom.")
	eventAttemptFailed = event.New(1131, logrus.InfoLevel, "attempt failed",
		"An endpoint gave no usable answer; the reason says whether the request may have run. If the answer ended early or never came, Digest is the same for requests that are the same but for their IDs, and Parts holds digests of the parts of the prompt.")
	eventFirstEvent = event.New(1132, logrus.InfoLevel, "stream started",
		"The first event of a stream was forwarded to the caller.")
	eventTakenUp = event.New(1134, logrus.InfoLevel, "stream is taken up",
		"The caller takes up the stream of the named request. It may only go on at endpoints of the software version that began it, which Source knew. Versions lists those of the back end that may have begun it; AllVersions is false if there may be others, since this daemon has seen them only for WatchedFor milliseconds and the table did not hold those of before. If the version is not known, the request is refused.")
	eventPassedOn = event.New(1135, logrus.InfoLevel, "request goes through a peer",
		"This daemon's own path to the endpoint is broken, so a peer forwards the request.")
	eventSuspected = event.New(1136, logrus.InfoLevel, "request may crash endpoints",
		"Endpoints have crashed under requests with these digests, see events 1216 and 1217. Tried says whether the request was sent all the same, to find out.")
	eventNotReset = event.New(1137, logrus.WarnLevel, "connection was not reset",
		"An answer that cannot be completed may look complete to a caller that speaks HTTP/1.0, since its connection could not be reset.")
	eventEnded = event.New(1133, logrus.InfoLevel, "request ended",
		"A request got its final answer. Status 0 means that the connection ended without a complete answer. For a stream, LastEvent is the ID of the last event that was passed on, and Ending is how the endpoint's answer showed its end: by its chunks, its length, the connection or a peer.")

	requestCount         = metric.NewCounter("Relay.Requests", "Requests whose header was read.")
	incarnationQuestions = metric.NewCounter("Relay.IncarnationQuestions", "Questions to endpoints whether they have started again, before or after a part of a stream.")
	firstEventTimes      = metric.NewHistograms("Relay.FirstEvent", "Time from a request to the first event of its stream in ms, by priority.")
	servedTimes          = metric.NewHistograms("Relay.Served", "Time from a request to the end of its answer in ms, by priority and status.")
	outcomeCounts        = metric.NewMap("Relay.Outcomes", "Requests by route, priority, status, and the kind of reason where there is one.")
	endedByStatus        = metric.NewMap("Relay.Ended", "Requests by the status of their final answer; 0 for those that were broken off or abandoned.")
)

// sampleEvery is the sampling rate of the log: one of sampleEvery requests that
// succeed at the first attempt and in time is logged.
const sampleEvery = 32

// trace collects the log events of one request. They are logged when the request
// ends, if it was refused, failed, retried or late, or if it is sampled.
type trace struct {
	// version is the version of the configuration, and versionAge the time since it
	// was last known to be the newest.
	version    int64
	versionAge clock.Millis
	status     int
	reason     string
	ended      bool
	logged     bool
	tries      int
	decisions  []decision
	// firstEventAt is when the first event of a stream was forwarded, lastWriteAt
	// when the latest was, and longestGap the longest time between two writes.
	firstEventAt clock.Millis
	lastWriteAt  clock.Millis
	longestGap   clock.Millis
}

type decision struct {
	event  *event.Event
	at     clock.Millis
	fields logrus.Fields
}

func (t *trace) recordPlacement(x *exchange, p Placement) {
	t.tries++
	fields := logrus.Fields{
		"Endpoint": p.Endpoint, "Address": p.Address, "SoftwareVersion": p.SoftwareVersion, "Expected": int64(p.ExpectedFirstToken), "Version": t.version, "VersionAge": int64(t.versionAge), "TimeLeft": int64(x.timeLeft()), "Try": t.tries,
	}
	if p.CopyFrom != "" {
		fields["CopyFrom"], fields["CopyTokens"] = p.CopyFrom, p.CopyTokens
	}
	t.decisions = append(t.decisions, decision{event: eventPlaced, at: x.handler.config.Clock.Now(), fields: fields})
}

// recordPeer records that a peer forwards the request.
func (t *trace) recordPeer(x *exchange, p Placement, peer string) {
	t.decisions = append(t.decisions, decision{event: eventPassedOn, at: x.handler.config.Clock.Now(), fields: logrus.Fields{
		"Endpoint": p.Endpoint, "Peer": peer,
	}})
}

// recordOrigin records what is known of the software version that began the stream that is
// taken up.
func (x *exchange) recordOrigin(origin Origin) {
	x.trace.decisions = append(x.trace.decisions, decision{event: eventTakenUp, at: x.handler.config.Clock.Now(), fields: logrus.Fields{
		"Resumes": x.call.ResumedID, "LastEvent": x.call.LastEventID, "SoftwareVersion": origin.Software.Version,
		"Source": origin.Source, "Versions": strings.Join(origin.Versions, " "), "AllVersions": origin.AllVersions, "WatchedFor": int64(origin.WatchedFor),
	}})
}

// recordSuspicion records that the request is refused or tried for what it has in common with
// others.
func (x *exchange) recordSuspicion(admission Admission) {
	x.trace.decisions = append(x.trace.decisions, decision{event: eventSuspected, at: x.handler.config.Clock.Now(), fields: logrus.Fields{
		"Digests": quarantine.Join(admission.Suspects), "Tried": admission.Granted,
	}})
}

// recordFailure records an attempt that failed.
func (x *exchange) recordFailure(reason string, p Placement, err error) {
	fields := logrus.Fields{"Endpoint": p.Endpoint, "Reason": reason}
	if err != nil {
		fields["Error"] = err.Error()
		fields["Digest"] = x.digests()[0].String()
		x.addPartDigests(fields)
	}
	x.trace.decisions = append(x.trace.decisions, decision{event: eventAttemptFailed, at: x.handler.config.Clock.Now(), fields: fields})
}

// addPartDigests adds the digests of the parts of the prompt to the fields of an event, so
// that the log shows what requests have in common.
func (x *exchange) addPartDigests(fields logrus.Fields) {
	if x.call.Prompt == nil {
		return
	}
	fields["Parts"] = quarantine.Join(x.call.Prompt.PartDigests)
}

func (t *trace) recordFirstEvent(x *exchange) {
	now := x.handler.config.Clock.Now()
	if t.firstEventAt == 0 {
		t.firstEventAt = now
	}
	t.decisions = append(t.decisions, decision{event: eventFirstEvent, at: now, fields: logrus.Fields{}})
}

// recordWrite records the time at which events of a stream were forwarded.
func (t *trace) recordWrite(now clock.Millis) {
	if t.lastWriteAt != 0 {
		t.longestGap = max(t.longestGap, now-t.lastWriteAt)
	}
	t.lastWriteAt = now
}

// lateReason states which of the route's targets the request missed. It is empty
// if the request met them.
func (x *exchange) lateReason(ended clock.Millis) string {
	t := &x.trace
	if x.route == nil || x.route.LatencyTarget <= 0 {
		return ""
	}
	answerStart := ended
	if t.firstEventAt != 0 {
		answerStart = t.firstEventAt
	}
	switch {
	case answerStart-x.arrived > x.route.LatencyTarget:
		return fmt.Sprintf("answer began after %v, the target is %v", answerStart-x.arrived, x.route.LatencyTarget)
	case x.route.EventGapTarget > 0 && t.longestGap > x.route.EventGapTarget:
		return fmt.Sprintf("events paused for %v, the target is %v", t.longestGap, x.route.EventGapTarget)
	}
	return ""
}

func (t *trace) setResult(status int, reason string) {
	t.status, t.reason, t.ended = status, reason, true
}

// logEnd updates the metrics and logs the request if it is notable, late or
// sampled. Only the first call has an effect.
func (x *exchange) logEnd() {
	t := &x.trace
	if t.logged {
		return
	}
	t.logged = true
	endedByStatus.Add(strconv.Itoa(t.status), 1)
	outcomeCounts.Add(x.outcomeKey(), 1)
	now := x.handler.config.Clock.Now()
	took := now - x.arrived
	late := x.lateReason(now)
	x.recordTimes(took)
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
	if x.stream.headSent {
		fields["LastEvent"], fields["Ending"] = x.stream.position.lastID, x.stream.ending.String()
	}
	eventEnded.Log(logger, fields)
}

// outcomeKey returns the key of the request in the metric Relay.Outcomes. It
// contains the kind of the reason, which is the text before the first colon.
func (x *exchange) outcomeKey() string {
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

// sampled reports whether the request is in the log sample. It hashes the ID
// rather than counting requests, because a counter would never pick requests
// that arrive at regular positions among the others.
func sampled(id string) bool {
	return xxhash.Sum64String(id)%sampleEvery == 0
}

// recordTimes records the duration of the request and the time to its first
// event.
func (x *exchange) recordTimes(took clock.Millis) {
	if x.route == nil {
		return
	}
	priorityKey := "Priority" + strconv.Itoa(x.priority())
	servedTimes.Record(priorityKey+"."+strconv.Itoa(x.trace.status), took)
	if x.trace.firstEventAt != 0 {
		firstEventTimes.Record(priorityKey, x.trace.firstEventAt-x.arrived)
	}
}

// notable reports whether the request was refused, failed or retried.
func (t *trace) notable() bool {
	return t.status < 200 || t.status > 299 || t.tries > 1
}
