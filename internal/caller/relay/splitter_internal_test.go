package relay

import "testing"

// TestEventsWithoutIDsAreNotSentTwice guards against a resumed stream that repeats events
// which the caller has, because an event without an ID stands before them.
func TestEventsWithoutIDsAreNotSentTwice(t *testing.T) {
	const (
		note  = ": note\n\n"
		four  = "id: 4\ndata: a\n\n"
		five  = "id: 5\ndata: b\n\n"
		six   = "id: 6\ndata: c\n\n"
		seven = "id: 7\ndata: d\n\n"
	)
	for name, test := range map[string]struct {
		pieces []string
		want   string
	}{
		"BeforeEventsThatWereSent": {[]string{four + note + five + six}, six},
		"BeforeTheNextEvent":       {[]string{five + note + six}, note + six},
		"AtTheEndOfAPiece":         {[]string{four + note, five + note, six + seven}, note + six + seven},
		"AfterTheNextEvent":        {[]string{six + note + seven}, six + note + seven},
	} {
		t.Run(name, func(t *testing.T) {
			s := newEventSplitter(streamPosition{lastID: "5"})
			got := ""
			for _, piece := range test.pieces {
				ready, err := s.add([]byte(piece))
				if err != nil {
					t.Fatal(err)
				}
				got += string(ready)
			}
			if got != test.want {
				t.Errorf("got %q, want %q", got, test.want)
			}
		})
	}
}
