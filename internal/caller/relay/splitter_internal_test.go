package relay

import (
	"math/rand/v2"
	"strings"
	"testing"
)

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
			s := newEventSplitter(streamPosition{lastID: "5"}, func(int) bool { return true })
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

// TestPiecesOfAStreamDoNotMatter checks that a stream gives the same events, however it arrives, with
// what a caller has at its start and with longer events than the first buffers.
func TestPiecesOfAStreamDoNotMatter(t *testing.T) {
	long := "id: 6\r\ndata: " + strings.Repeat("x", 3*freeEventBuffer) + "\r\n\r\n"
	stream := "id: 4\ndata: a\n\n: note\n\ndata: unnumbered\n\n" + long + ": note\n\ndata: b\n\nid: 7\ndata: c\n\nid: 8\nda"
	want := stream[strings.Index(stream, long) : len(stream)-len("id: 8\nda")]
	random := rand.New(rand.NewPCG(1, 2))
	for most := 1; most < 2*len(stream); most *= 3 {
		reserved := 0
		s := newEventSplitter(streamPosition{lastID: "5", unnumbered: 1}, func(bytes int) bool { reserved += bytes; return true })
		got := ""
		for rest := stream; rest != ""; {
			n := min(1+random.IntN(most), len(rest))
			ready, err := s.add([]byte(rest[:n]))
			if err != nil {
				t.Fatal(err)
			}
			got, rest = got+string(ready), rest[n:]
		}
		if got != want || string(s.remainder()) != "id: 8\nda" {
			t.Errorf("pieces of up to %d bytes: got %d bytes and remainder %q, want %d", most, len(got), s.remainder(), len(want))
		}
		if _, err := s.add([]byte("ta: d\n\n")); err != nil || reserved != 0 {
			t.Errorf("pieces of up to %d bytes: %d bytes are reserved at the end, %v", most, reserved, err)
		}
	}
}
