// Package explain determines the outcome of a request and its cause from collected
// log lines.
//
// The lines of all daemons may be in any order, and each may have a prefix before
// its JSON object, as log collectors add it.
//
// # Usage
//
//	report, err := explain.Find(os.Stdin, "9c41d07be2a35f68")
//	fmt.Println(report.Cause)
package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/banyanshift/banyanshift/coord/clock"
)

// ErrRequestNotFound means that no log line mentions the request.
var ErrRequestNotFound = errors.New("no log line mentions the request; only a sample of successful requests is logged")

// Numbers of the events about a request, and of those about a daemon's view of
// endpoints and of the store.
const (
	eventRequestPlaced    = 1130
	eventAttemptFailed    = 1131
	eventRequestEnded     = 1133
	eventEndpointChanged  = 1210
	eventEndpointLeaves   = 1212
	eventEndpointQuiet    = 1213
	eventEndpointTerms    = 1215
	eventEndpointCrashed  = 1216
	eventQuarantined      = 1217
	eventReleased         = 1218
	eventEndpointAlive    = 1219
	eventPathBroken       = 1220
	eventPathHealed       = 1221
	eventStoreUnavailable = 2010
	eventStoreAvailable   = 2011
	eventStoreRestored    = 2013
)

// storeEvents are about a daemon's view of the store, endpointEvents about that of an
// endpoint, and digestEvents about requests that crash endpoints.
var (
	storeEvents    = []int{eventStoreUnavailable, eventStoreAvailable, eventStoreRestored}
	endpointEvents = []int{eventEndpointChanged, eventEndpointLeaves, eventEndpointQuiet, eventEndpointTerms, eventEndpointCrashed, eventEndpointAlive, eventPathBroken, eventPathHealed}
	digestEvents   = []int{eventQuarantined, eventReleased}
)

// maxLineBytes is the maximum length of a line.
const maxLineBytes = 1 << 20

// Line holds the fields of a log line that an explanation uses.
type Line struct {
	Event    int
	Message  string `json:"msg"`
	Daemon   string
	Request  string
	Endpoint string
	Address  string
	Reason   string
	Late     string
	Error    string
	Status   int
	Tries    int
	Try      int
	Took     clock.Millis
	After    clock.Millis
	Expected clock.Millis
	TimeLeft clock.Millis
	Version  int64
	Prefix   string
	Gone     bool
	Leaving  bool
	Route    string
	Team     string
	// Digest is what several requests have in common, and Digests those of a request that
	// was refused or tried for them.
	Digest  string
	Digests string
}

// Report explains the outcome of a request.
type Report struct {
	Request string
	// Timeline holds the lines about the request. Context holds lines of the
	// same daemons about the request's endpoints and the store.
	Timeline []Line
	Context  []Line
	Cause    string
}

// Find reads log lines and explains the request with the given ID. It returns
// ErrRequestNotFound if no line mentions the request.
func Find(in io.Reader, request string) (report Report, err error) {
	report.Request = request
	var others []Line
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		line, ok := parse(scanner.Bytes())
		switch {
		case !ok:
			continue
		case line.Request == request:
			report.Timeline = append(report.Timeline, line)
		case line.Request == "":
			others = append(others, line)
		}
	}
	if err := scanner.Err(); err != nil {
		return report, fmt.Errorf("read log lines: %w", err)
	}
	if len(report.Timeline) == 0 {
		return report, ErrRequestNotFound
	}
	report.Context = related(report.Timeline, others)
	report.Cause = cause(report.Timeline, report.Context)
	return report, nil
}

// parse decodes the JSON object of a line. ok is false if the line has none or it
// is no event.
func parse(text []byte) (line Line, ok bool) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return line, false
	}
	return line, json.Unmarshal(text[start:], &line) == nil && line.Event != 0
}

// related returns the lines of the request's daemons about its endpoints, its digests and
// the store.
func related(timeline, others []Line) []Line {
	var endpoints, daemons, digests []string
	for _, line := range timeline {
		endpoints = append(endpoints, line.Endpoint)
		if line.Digests != "" {
			digests = append(digests, strings.Split(line.Digests, ",")...)
		}
		daemons = append(daemons, line.Daemon)
	}
	var found []Line
	for _, line := range others {
		if !slices.Contains(daemons, line.Daemon) {
			continue
		}
		aboutStore := slices.Contains(storeEvents, line.Event)
		aboutEndpoint := slices.Contains(endpointEvents, line.Event) && slices.Contains(endpoints, line.Endpoint)
		aboutDigest := slices.Contains(digestEvents, line.Event) && slices.Contains(digests, line.Digest)
		if aboutStore || aboutEndpoint || aboutDigest {
			found = append(found, line)
		}
	}
	return found
}

// causes maps texts in the reason of a request's end to their meaning. The first
// match counts.
var causes = []struct{ text, meaning string }{
	{"overloaded", "overload: the request could not have begun in time, and was refused before it ran"},
	{"no memory left", "memory: long requests of others held what may be held, and the body was refused before the request ran"},
	{"retry budget exhausted", "exhausted retry budget: an attempt failed, and the fleet may not retry more"},
	{"neither the store nor other daemons", "store away: this daemon was cut off from the store and from its peers"},
	{"no configuration is known", "store away: the daemon had started, but could not read any configuration"},
	{"configuration may be outdated", "old configuration: the daemon did not know whether a newer version allows the request"},
	{"no route for", "configuration: no route of the version in force matches the request"},
	{"unknown key", "configuration: no team of the version in force has the key"},
	{"no endpoint of the back end", "no endpoints: no endpoint of the back end could take the request"},
	{"no endpoint of the software version", "no endpoints: none of the software version that began the stream was left to continue it"},
	{"have crashed under requests like this one", "quarantine: endpoints have crashed under requests that had this in common with it, and none was answered since"},
	{"like this one is tried first", "suspicion: endpoints have crashed under requests like it, and another such request was being tried"},
	{"are to get no requests now", "quiet endpoints: all endpoints of the back end had asked for no requests for some time, or had no place within their limits"},
	{"takes no more requests now", "limit of the endpoints: those that were tried had stated limits, and their owners gave no permit"},
	{"does not forward the request", "unreachable endpoint: neither this daemon nor the peers that it asked reached the endpoint"},
	{"origin of the stream unknown", "unknown origin: the stream was taken up, and no daemon that was asked knew which software version began it"},
	{"caller left", "caller: it left before the answer was complete"},
	{"time limit reached", "time limit: the endpoint did not answer within the time limit"},
}

// cause explains why the request ended as it did.
func cause(timeline, context []Line) string {
	end, ended := last(timeline, eventRequestEnded)
	if !ended {
		return "unknown: the log line about the end of the request is missing"
	}
	for _, c := range causes {
		if strings.Contains(end.Reason, c.text) {
			return c.meaning + storeNote(c.meaning, context)
		}
	}
	failed, found := last(timeline, eventAttemptFailed)
	switch {
	case end.Status >= 200 && end.Status < 300 && end.Late != "":
		return "late: " + end.Late + placementNote(timeline)
	case end.Status >= 200 && end.Status < 300 && found:
		return "served after a failed attempt: " + failed.Reason
	case end.Status >= 200 && end.Status < 300:
		return "served"
	case !found:
		return fmt.Sprintf("status %d %s", end.Status, end.Reason)
	case strings.Contains(failed.Reason, "endpoint answered"):
		return "endpoint error: " + failed.Endpoint + " " + strings.TrimPrefix(failed.Reason, "endpoint ")
	}
	return "endpoint crash or lost connection: " + failed.Endpoint + ", " + failed.Reason + endpointNote(failed.Endpoint, context)
}

// placementNote describes the endpoint that was last chosen for the request and
// its expected time to first token.
func placementNote(timeline []Line) string {
	placed, found := last(timeline, eventRequestPlaced)
	if !found {
		return ""
	}
	return fmt.Sprintf("; endpoint %s was expected to begin after %v, try %d", placed.Endpoint, placed.Expected, placed.Try)
}

// last returns the last line of the event with the given number.
func last(lines []Line, number int) (found Line, ok bool) {
	for _, line := range lines {
		if line.Event == number {
			found, ok = line, true
		}
	}
	return found, ok
}

// storeNote returns the last error of the store for causes that an unavailable
// store explains.
func storeNote(meaning string, context []Line) string {
	if !strings.HasPrefix(meaning, "store away") && !strings.HasPrefix(meaning, "old configuration") {
		return ""
	}
	if lost, found := last(context, eventStoreUnavailable); found {
		return " (" + lost.Error + ")"
	}
	return ""
}

// endpointNote returns a note if the endpoint was leaving or had been removed.
func endpointNote(endpoint string, context []Line) string {
	for _, line := range context {
		if line.Event == eventEndpointChanged && line.Endpoint == endpoint && (line.Gone || line.Leaving) {
			return "; the endpoint was leaving or had been removed"
		}
	}
	return ""
}
