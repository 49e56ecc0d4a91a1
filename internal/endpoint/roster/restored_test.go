package roster_test

import (
	"context"
	"testing"
	"time"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/coord/table"
	"github.com/banyanshift/banyanshift/internal/endpoint/roster"
)

// inEra returns the position of a revision in an era.
func inEra(era, revision uint64) table.Position {
	return table.Position{Era: era, Revision: revision}
}

// runFor runs the Roster while its clock advances by d.
func (f *fixture) runFor(d clock.Millis) {
	const step = 200 * clock.Millisecond
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = f.Run(ctx)
	}()
	for range d / step {
		for f.clock.Sleepers() == 0 {
			time.Sleep(50 * time.Microsecond)
		}
		f.clock.Advance(step)
	}
	cancel()
	<-done
}

func TestListOfALaterEraReplacesOneOfAHigherRevision(t *testing.T) {
	f := newFixture("a")
	f.Replace([]roster.Endpoint{entry("a", 1)}, inEra(1, 90), f.clock.Now())
	f.Replace([]roster.Endpoint{entry("a", 1), entry("b", 1)}, inEra(2, 10), f.clock.Now())
	f.expect(t, "ab")
	f.ReplaceFromPeer([]roster.Endpoint{entry("c", 1)}, inEra(1, 95), f.clock.Now())
	f.UpdateFromPeer([]roster.Endpoint{entry("c", 1)}, nil, inEra(1, 96))
	f.Update([]roster.Endpoint{entry("c", 1)}, nil, inEra(1, 97), f.clock.Now())
	f.expect(t, "ab")
}

// TestEntryThatACopyLacksIsMissing checks that a running endpoint whose entry was lost
// stays in use until it has had time to register again.
func TestEntryThatACopyLacksIsMissing(t *testing.T) {
	f := newFixture("a", "b")
	f.Replace([]roster.Endpoint{entry("b", 1)}, inEra(1, 1), f.clock.Now())
	f.expect(t, "a(missing)b")
	f.clock.Advance(2 * clock.Second)
	f.Update(nil, nil, inEra(1, 2), f.clock.Now())
	f.expect(t, "b")
}

// TestEntryThatComesBackWithACopyIsHidden checks that a removed endpoint is used again
// only if it has written its entry again or outlives the time of a silent one.
func TestEntryThatComesBackWithACopyIsHidden(t *testing.T) {
	cases := []struct {
		name      string
		afterward func(f *fixture)
		want      string
	}{
		{"silent", func(f *fixture) { f.Update(nil, []string{"a"}, inEra(1, 2), f.clock.Now()) }, "b"},
		{"written again", func(f *fixture) { f.Update([]roster.Endpoint{entry("a", 1)}, nil, inEra(1, 2), f.clock.Now()) }, "ab"},
		{"unchanged", func(*fixture) {}, "ab"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture("a", "b")
			f.Update(nil, []string{"a"}, at(2), f.clock.Now())
			f.Replace([]roster.Endpoint{entry("a", 1), entry("b", 1)}, inEra(1, 1), f.clock.Now())
			f.expect(t, "b")
			c.afterward(f)
			f.runFor(6 * clock.Second)
			f.expect(t, c.want)
		})
	}
}

// TestLeavingEndpointStaysSoInARestoredTable guards against an endpoint that is used again
// since the copy is older than its leaving.
func TestLeavingEndpointStaysSoInARestoredTable(t *testing.T) {
	f := newFixture("a", "b")
	f.MarkLeaving("a", 1)
	f.Replace([]roster.Endpoint{entry("a", 1), entry("b", 1)}, inEra(1, 1), f.clock.Now())
	f.expect(t, "a(leaving)b")
	f.Update(nil, []string{"a"}, inEra(1, 2), f.clock.Now())
	f.Update([]roster.Endpoint{entry("a", 1)}, nil, inEra(1, 3), f.clock.Now())
	f.expect(t, "a(leaving)b")
	f.Update([]roster.Endpoint{entry("a", 2)}, nil, inEra(1, 4), f.clock.Now())
	f.expect(t, "ab")
}

func TestLaterIncarnationIsNotHidden(t *testing.T) {
	f := newFixture("a", "b")
	f.Update(nil, []string{"a"}, at(2), f.clock.Now())
	f.Replace([]roster.Endpoint{entry("a", 2), entry("b", 1)}, inEra(1, 1), f.clock.Now())
	f.expect(t, "ab")
}
