package relay_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
)

// raw returns a handler that writes an answer of these header fields and this body, and ends
// its connection.
func raw(fields, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nSeal: s\r\n%s\r\n%s", r.Header.Get("Id"), fields, body)
	}
}

// chunked returns a handler that writes an answer in chunks, with its end.
func chunked(fields, body string) http.HandlerFunc {
	if body != "" {
		body = fmt.Sprintf("%x\r\n%s\r\n", len(body), body)
	}
	return raw(fields+"Transfer-Encoding: chunked\r\n", body+"0\r\n\r\n")
}

// withLength returns a handler that writes an answer with its length.
func withLength(fields, body string) http.HandlerFunc {
	return raw(fmt.Sprintf("%sContent-Length: %d\r\n", fields, len(body)), body)
}

const (
	eventType = "Content-Type: text/event-stream\r\n"
	jsonType  = "Content-Type: application/json\r\n"
)

// expectBrokenStream checks that the caller got these events and saw that the stream is not
// complete.
func (f *fixture) expectBrokenStream(got reply, events string) {
	f.t.Helper()
	if got.err == nil || got.status != http.StatusOK || got.body != events {
		f.t.Errorf("got status %d, body %q, error %v; want events %q and an error", got.status, got.body, got.err, events)
	}
}

// TestAnswerThatIsNoContinuationIsNotJoined guards against the text of an error in the middle
// of a stream, and against a stream that looks complete after such an answer.
func TestAnswerThatIsNoContinuationIsNotJoined(t *testing.T) {
	const failure = `{"error":"overloaded"}`
	for name, second := range map[string]http.HandlerFunc{
		"JSON":                 withLength(jsonType, failure),
		"JSONInChunks":         chunked(jsonType, failure),
		"JSONOfEvents":         withLength(jsonType, eventText(4, 6)),
		"HTML":                 raw("Content-Type: text/html\r\n", "<h1>error</h1>\n\n"),
		"NoType":               withLength("", failure),
		"NoTypeAndBlankLine":   withLength("", failure+"\n\n"),
		"JSONCalledEvents":     withLength(eventType, failure),
		"JSONLineCalledEvents": withLength(eventType, failure+"\n\n"),
		"ContentEncoding":      withLength(eventType+"Content-Encoding: gzip\r\n", eventText(4, 6)),
		"NothingUntilItsEnd":   raw(eventType, ""),
		"CommentUntilItsEnd":   raw(eventType, ": ping\n\n"),
		"ErrorEventWithoutID":  chunked(eventType, "event: error\ndata: overloaded\n\n"),
		"SecondHead":           raw(eventType, "HTTP/1.1 500 Internal Server Error\r\nContent-Type: text/plain\r\n\r\noverloaded\n\n"),
		"EmptyJSON":            withLength(jsonType, ""),
		"EmptyHTMLUntilItsEnd": raw("Content-Type: text/html\r\n", ""),
		"IDsThatAreNoNumbers":  chunked(eventType, "id: x\ndata: x\n\n"),
		"OlderEventsOnly":      chunked(eventType, eventText(1, 2)),
		"EventsWithoutIDs":     chunked(eventType, "data: a\n\ndata: b\n\n"),
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, events(1, 3, false), second)
			f.expectBrokenStream(f.send("/resumable/1"), eventText(1, 3))
			f.expectReceived("e0:", "e1:3")
		})
	}
}

// TestStreamBreaksOffWhereNoEventsFollow guards against the text of an error, or the head of
// an answer, after the events of a stream.
func TestStreamBreaksOffWhereNoEventsFollow(t *testing.T) {
	const head = "HTTP/1.1 500 Internal Server Error\r\nContent-Type: text/plain\r\nContent-Length: 10\r\n\r\n"
	for name, rest := range map[string]string{
		"Head":        head,
		"HeadAndText": head + "overloaded\n\n",
		"JSON":        `{"error":"overloaded"}` + "\n\n",
		"Text":        "overloaded, try again\n\n",
		"HTML":        "<h1>502 Bad Gateway</h1>\n\n",
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, raw(eventType, eventText(1, 3)+rest))
			f.expectBrokenStream(f.send("/stream/1"), eventText(1, 3))
			resumed := newFixture(t, raw(eventType, eventText(1, 3)+rest), events(4, 6, true))
			resumed.expect(resumed.send("/resumable/1"), 200, eventText(1, 6))
			second := newFixture(t, events(1, 3, false), raw(eventType, eventText(4, 5)+rest))
			second.expectBrokenStream(second.send("/resumable/1"), eventText(1, 5))
		})
	}
}

// TestLinesOfEventsAreForwardedUnchanged guards against a check of events that refuses proper
// ones.
func TestLinesOfEventsAreForwardedUnchanged(t *testing.T) {
	text := "\ufeffid: 1\ndata: a\n\n" + "retry: 10\n\n" + ": note: with text\n\n" + "\n" +
		"event: e\nid: 2\ndata\ndata:b\n\n" + "weights-version: 7\nid: 3\nevent: e\ndata: {\"a\": 1}\n\n" + "data: no ID\n\n" +
		"id:4\r\ndata:c\r\n\r\n" + "data: [DONE]\n\n"
	f := newFixture(t, chunked(eventType, text))
	f.expect(f.send("/stream/1"), 200, text)
	rest := ": note\n\n" + "retry: 10\n\n" + "weights-version: 7\nid: 4\ndata: d\n\n" + "data: no ID\n\n" + eventText(5, 6) + "data: [DONE]\n\n"
	resumed := newFixture(t, events(1, 3, false), chunked(strings.ToLower(eventType), rest))
	resumed.expect(resumed.send("/resumable/1"), 200, eventText(1, 3)+rest)
}

// TestStreamThatHasNothingLeftIsComplete guards against a stream that broke off after its last
// event, which an endpoint then completes without another one.
func TestStreamThatHasNothingLeftIsComplete(t *testing.T) {
	for name, second := range map[string]http.HandlerFunc{
		"Length":          withLength(eventType, ""),
		"Chunks":          chunked(eventType, ""),
		"CommentInChunks": chunked(eventType, ": done\n\n"),
		"LastEventAgain":  chunked(eventType, eventText(3, 3)),
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, events(1, 3, false), second)
			if got := f.send("/resumable/1"); got.err != nil || !strings.HasPrefix(got.body, eventText(1, 3)) {
				t.Errorf("got %q, %v; want a complete stream", got.body, got.err)
			}
		})
	}
}

// TestStreamWhoseEventsHaveNoIDsIsNotBegunAnew guards against events that the caller gets
// twice, since the endpoint can't be told after which one to go on.
func TestStreamWhoseEventsHaveNoIDsIsNotBegunAnew(t *testing.T) {
	const first = "data: a\n\ndata: b\n\n"
	f := newFixture(t, raw(eventType, first+"data: c"), chunked(eventType, first+"data: c\n\n"))
	f.expectBrokenStream(f.send("/resumable/1"), first)
	f.expectReceived("e0:")
}

// TestStreamThatBreaksOffAfterACommentIsBegunAnew guards against a stream that is given up though
// the caller has none of its events.
func TestStreamThatBreaksOffAfterACommentIsBegunAnew(t *testing.T) {
	f := newFixture(t, raw(eventType, ": wait\n\nid: 1"), events(1, 3, true))
	f.expect(f.send("/resumable/1"), 200, ": wait\n\n"+eventText(1, 3))
}

// TestEventWithoutIDIsNotRepeated guards against an event without an ID that the caller gets
// twice, because it stands between the last event with an ID and the break.
func TestEventWithoutIDIsNotRepeated(t *testing.T) {
	first := eventText(1, 2) + "data: no ID\n\n"
	f := newFixture(t, raw(eventType, first+"id: 3"), chunked(eventType, "data: no ID\n\ndata: another\n\n"+eventText(3, 4)))
	f.expect(f.send("/resumable/1"), 200, first+"data: another\n\n"+eventText(3, 4))
}

// TestEventsThatGoBackBreakTheStreamOff guards against events that the caller gets twice.
func TestEventsThatGoBackBreakTheStreamOff(t *testing.T) {
	for name, again := range map[string]string{"Same": eventText(3, 3), "Earlier": eventText(1, 4)} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, chunked(eventType, eventText(1, 3)+again))
			f.expectBrokenStream(f.send("/stream/1"), eventText(1, 3))
			resumed := newFixture(t, events(1, 1, false), chunked(eventType, eventText(2, 3)+again))
			resumed.expectBrokenStream(resumed.send("/resumable/1"), eventText(1, 3))
		})
	}
}

// TestStreamThatIsTakenUpGoesOnAfterTheCallersEvent guards against events that the caller has
// or that miss some, where the caller takes the stream up.
func TestStreamThatIsTakenUpGoesOnAfterTheCallersEvent(t *testing.T) {
	for name, test := range map[string]struct {
		answer http.HandlerFunc
		status int
		body   string
	}{
		"After":        {chunked(eventType, eventText(4, 6)), http.StatusOK, eventText(4, 6)},
		"FromItsStart": {chunked(eventType, eventText(1, 6)), http.StatusOK, eventText(4, 6)},
		"Same":         {chunked(eventType, eventText(3, 6)), http.StatusOK, eventText(4, 6)},
		"Gap":          {chunked(eventType, eventText(5, 6)), http.StatusBadGateway, ""},
		"OnlyOlder":    {raw(eventType, eventText(1, 2)), http.StatusBadGateway, ""},
		"NothingLeft":  {chunked(eventType, ""), http.StatusOK, ""},
		"BrokeOff":     {raw(eventType, ""), http.StatusBadGateway, ""},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, test.answer)
			f.expect(f.send("/resumable/1", "Last", "3"), test.status, test.body)
		})
	}
}

// TestAnswerOfNoEventsIsNotJoinedWithAnother guards against two bodies in one answer, where an
// endpoint of a resumable route answers with something else than events and breaks off.
func TestAnswerOfNoEventsIsNotJoinedWithAnother(t *testing.T) {
	const body = "{\"id\": 1}\n\n{\"id\": 2}\n\n"
	f := newFixture(t, raw(jsonType+"Content-Length: 100\r\n", body), withLength(jsonType, body+"{}"))
	f.expect(f.send("/resumable/1"), 200, body+"{}")
	f = newFixture(t, raw(jsonType+"Content-Length: 100\r\n", body))
	if got := f.send("/stream/1"); got.status != http.StatusBadGateway {
		t.Errorf("got status %d, body %q; want 502", got.status, got.body)
	}
}

// TestBegunStreamGetsNoRefusal guards against the reason of a refusal in the middle of a
// stream.
func TestBegunStreamGetsNoRefusal(t *testing.T) {
	for name, second := range map[string]http.HandlerFunc{
		"NotRun": notRun, "Misdirected": status(http.StatusMisdirectedRequest), "Reset": reset, "NoContent": status(http.StatusNoContent),
		"Partial": status(http.StatusPartialContent), "Redirect": status(http.StatusFound), "TooManyRequests": status(http.StatusTooManyRequests),
		"Unproved": unproved,
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, events(1, 3, false), second)
			f.expectBrokenStream(f.send("/resumable/1"), eventText(1, 3))
		})
	}
	alone := newFixture(t, events(1, 3, false))
	alone.expectBrokenStream(alone.send("/resumable/1"), eventText(1, 3))
	noBudget := newFixture(t, events(1, 3, false), events(4, 6, true))
	noBudget.retryTokens = 0
	noBudget.expectBrokenStream(noBudget.send("/resumable/1"), eventText(1, 3))
}
