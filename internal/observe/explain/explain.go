// Package explain finds out from collected log lines what became of a request
// and why.
//
// The lines of all daemons may come in any order, with other text before the
// JSON object of each, as a log collector adds it.
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

// ErrRequestNotFound says that no line is about the request.
var ErrRequestNotFound = errors.New("no line is about the request; one that went well is logged by sample only")

// Numbers of the events that tell of a request, and of those that tell what a
// daemon believed.
const (
	eventPlaced        = 1130
	eventAttemptFailed = 1131
	eventEnded         = 1133
	eventEndpoint      = 1210
	eventStoreLost     = 2010
	eventStoreRegained = 2011
)

// maxLineBytes bounds one line.
const maxLineBytes = 1 << 20

// Line is one log line, as far as an explanation needs it.
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
}

// Report is what is known of a request.
type Report struct {
	Request string
	// Timeline has the lines about the request, and Context those about its
	// daemon and endpoints.
	Timeline []Line
	Context  []Line
	Cause    string
}

// Find reads lines and explains the request.
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

// parse reads the JSON object of a line.
func parse(text []byte) (line Line, ok bool) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return line, false
	}
	return line, json.Unmarshal(text[start:], &line) == nil && line.Event != 0
}

// related returns what the daemon of the request saw of its endpoints and of the
// store.
func related(timeline, others []Line) []Line {
	var endpoints, daemons []string
	for _, line := range timeline {
		endpoints = append(endpoints, line.Endpoint)
		daemons = append(daemons, line.Daemon)
	}
	var found []Line
	for _, line := range others {
		if !slices.Contains(daemons, line.Daemon) {
			continue
		}
		store := line.Event == eventStoreLost || line.Event == eventStoreRegained
		if store || (line.Event == eventEndpoint && slices.Contains(endpoints, line.Endpoint)) {
			found = append(found, line)
		}
	}
	return found
}

// causes lists what the reason of a request's end begins with or holds, with
// what it means.
var causes = []struct{ text, meaning string }{
	{"overloaded", "overload: the request could not have begun in time, and was refused before it ran"},
	{"retry budget exhausted", "exhausted retry budget: an attempt failed, and the fleet may not repeat more"},
	{"neither the store nor other daemons", "store away: this daemon was cut off from the store and from its peers"},
	{"no configuration is known", "store away: the daemon had started and no configuration could be read"},
	{"configuration may be outdated", "old configuration: the daemon could not tell whether a newer version allows the request"},
	{"no route for", "configuration: no route of the version in force takes the request"},
	{"unknown key", "configuration: no team of the version in force has the key"},
	{"no endpoint of the back end", "no endpoints: none of the back end could be given the request"},
	{"caller left", "caller: it left before the answer was complete"},
	{"time limit reached", "time limit: the endpoint had not answered when the time was over"},
}

// cause names the reason for which the request ended as it did.
func cause(timeline, context []Line) string {
	end, ended := last(timeline, eventEnded)
	if !ended {
		return "unknown: the line of the request's end is missing"
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

// placementNote says where the request was sent and what was expected there.
func placementNote(timeline []Line) string {
	placed, found := last(timeline, eventPlaced)
	if !found {
		return ""
	}
	return fmt.Sprintf("; endpoint %s was expected to begin after %v, try %d", placed.Endpoint, placed.Expected, placed.Try)
}

func last(lines []Line, number int) (found Line, ok bool) {
	for _, line := range lines {
		if line.Event == number {
			found, ok = line, true
		}
	}
	return found, ok
}

// storeNote adds how the store was lost, where the cause lies there.
func storeNote(meaning string, context []Line) string {
	if !strings.HasPrefix(meaning, "store away") && !strings.HasPrefix(meaning, "old configuration") {
		return ""
	}
	if lost, found := last(context, eventStoreLost); found {
		return " (" + lost.Error + ")"
	}
	return ""
}

// endpointNote adds what was known of the endpoint.
func endpointNote(endpoint string, context []Line) string {
	for _, line := range context {
		if line.Event == eventEndpoint && line.Endpoint == endpoint && (line.Gone || line.Leaving) {
			return "; its entry says that it left"
		}
	}
	return ""
}
