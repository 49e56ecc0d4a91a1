package quarantine_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/decide/quarantine"
)

const (
	manual quarantine.Digest = 1
	deadly quarantine.Digest = 2
	book   quarantine.Digest = 3
)

// crash returns a crash of an endpoint of its own under some requests.
func crash(at clock.Millis, requests ...[]quarantine.Digest) quarantine.Crash {
	return quarantine.Crash{Endpoint: fmt.Sprint("i-", at), Incarnation: 1, Backend: "model", SoftwareVersion: "1", At: at, Requests: requests}
}

// verdict is what is to be done with a request.
type verdict string

const (
	free    verdict = "sent"
	onTrial verdict = "sent as a trial"
	stopped verdict = "refused"
)

func decide(b *quarantine.Book, now clock.Millis, digests ...quarantine.Digest) verdict {
	switch d := b.Decide(now, digests); {
	case len(d.Suspects) == 0:
		return free
	case d.Wait <= 0:
		return onTrial
	}
	return stopped
}

// expect fails the test if something else is to be done with a request with some digests.
func expect(t *testing.T, b *quarantine.Book, now clock.Millis, want verdict, digests ...quarantine.Digest) {
	t.Helper()
	if got := decide(b, now, digests...); got != want {
		t.Errorf("at %v: request with %v is %s, want it %s", now, digests, got, want)
	}
}

func TestDigestOfThreeCrashesIsStoppedAndOthersAreNot(t *testing.T) {
	b := quarantine.New()
	for n, want := range []verdict{free, onTrial, stopped} {
		at := clock.Millis(n+1) * 2000
		b.RecordCrash(at, crash(at, []quarantine.Digest{manual, deadly}, []quarantine.Digest{manual, book + quarantine.Digest(n)}))
		b.RecordSound(at+10, []quarantine.Digest{manual, 100})
		expect(t, b, at+20, want, manual, deadly)
		expect(t, b, at+20, free, manual, 100)
	}
}

func TestAnswerClearsOnlyWhatCrashedBefore(t *testing.T) {
	b := quarantine.New()
	for n := range 3 {
		at := clock.Millis(n+1) * 1000
		b.RecordSound(at-1, []quarantine.Digest{deadly})
		b.RecordCrash(at, crash(at, []quarantine.Digest{deadly}))
	}
	expect(t, b, 3100, free, deadly)
	b.RecordCrash(4000, crash(4000, []quarantine.Digest{deadly}))
	b.RecordCrash(5000, crash(5000, []quarantine.Digest{deadly}))
	expect(t, b, 5100, stopped, deadly)
	if cleared := b.RecordSound(5200, []quarantine.Digest{manual, deadly}); len(cleared) != 1 || cleared[0] != deadly {
		t.Errorf("got %v to tell others of, want the digest that was stopped", cleared)
	}
	expect(t, b, 5300, free, deadly)
}

func TestDigestsThatOnlyOccurTogetherAreTried(t *testing.T) {
	b := quarantine.New()
	for n := range 3 {
		at := clock.Millis(n+1) * 1000
		b.RecordCrash(at, crash(at, []quarantine.Digest{book, deadly}))
	}
	expect(t, b, 4000, stopped, book, deadly, 77)
	expect(t, b, 4000, onTrial, book, 77)
	b.RecordSound(4100, []quarantine.Digest{book, 77})
	expect(t, b, 4200, free, book, 78)
	expect(t, b, 4200, stopped, deadly, 79)
}

func TestOneCrashReportedByManyCountsOnce(t *testing.T) {
	b := quarantine.New()
	for range 8 {
		b.RecordCrash(1000, crash(1000, []quarantine.Digest{deadly}))
	}
	expect(t, b, 1100, free, deadly)
}

func TestEndpointThatAnswersHasNotCrashed(t *testing.T) {
	b := quarantine.New()
	for n := range 3 {
		at := clock.Millis(n+1) * 1000
		b.RecordCrash(at, crash(at, []quarantine.Digest{deadly}))
	}
	if !b.RecordAnswer(3100, "i-3s", 1) || b.RecordAnswer(9000, "i-2s", 1) || b.RecordAnswer(3100, "i-3s", 2) {
		t.Error("want only the answer of the same incarnation right after the crash to count")
	}
	expect(t, b, 3200, onTrial, deadly)
}

func TestEndpointThatIsAliveIsNotTakenForACrash(t *testing.T) {
	b := quarantine.New()
	if b.RecordCrash(1000, quarantine.Crash{Endpoint: "i-1", Incarnation: 1, Alive: true}) || !b.IsEmpty() {
		t.Error("news that an endpoint is alive counts as a crash")
	}
}

func TestEvidenceEndsWithItsTimeAndWithTheSoftwareVersion(t *testing.T) {
	const memory = 60 * clock.Minute
	b := quarantine.New()
	current := []quarantine.Version{{Backend: "model", Name: "1"}}
	b.SetVersions(500, current)
	for n := range 3 {
		at := clock.Millis(n+1) * 2000
		b.RecordCrash(at, crash(at, []quarantine.Digest{deadly}))
	}
	b.SetVersions(20*clock.Second, []quarantine.Version{{Backend: "model", Name: "2"}})
	expect(t, b, 45*clock.Second, stopped, deadly)
	expect(t, b, 55*clock.Second, free, deadly)
	b.SetVersions(60*clock.Second, current)
	expect(t, b, 60*clock.Second, stopped, deadly)
	expect(t, b, memory+7000, free, deadly)
}

// TestQuarantineLastsWhileNothingChanges guards against a software version that counts as gone
// because no endpoint has come or left for some time.
func TestQuarantineLastsWhileNothingChanges(t *testing.T) {
	b := quarantine.New()
	b.SetVersions(500, []quarantine.Version{{Backend: "model", Name: "1"}})
	for n := range 3 {
		at := clock.Millis(n+1) * 2000
		b.RecordCrash(at, crash(at, []quarantine.Digest{deadly}))
	}
	expect(t, b, 100*clock.Second, stopped, deadly)
}

func TestBooksThatLearnInAnyOrderAgree(t *testing.T) {
	a, b := quarantine.New(), quarantine.New()
	var crashes []quarantine.Crash
	for n := range 5 {
		at := clock.Millis(n+1) * 1000
		crashes = append(crashes, crash(at, []quarantine.Digest{manual, deadly}, []quarantine.Digest{manual, book + quarantine.Digest(n)}))
	}
	for n := range crashes {
		a.RecordCrash(6000, crashes[n])
		b.RecordCrash(6000, crashes[len(crashes)-1-n])
	}
	a.RecordSound(7000, []quarantine.Digest{manual})
	if a.Fingerprint(7000) == b.Fingerprint(7000) {
		t.Error("books of which one has cleared a stopped digest have the same fingerprint")
	}
	for _, known := range a.Crashes() {
		b.RecordCrash(7000, known)
	}
	if a.Fingerprint(7000) != b.Fingerprint(7000) || a.Fingerprint(7000) == 0 {
		t.Error("books with the same content have different fingerprints")
	}
}

// TestLossOfManyEndpointsStopsNothingSound plays 200 endpoints of which a third are lost
// within a second, with and without requests that crash others meanwhile.
func TestLossOfManyEndpointsStopsNothingSound(t *testing.T) {
	for seed := range uint64(20) {
		for _, withDeadly := range []bool{false, true} {
			rng := rand.New(rand.NewPCG(seed, 1))
			b := quarantine.New()
			sessions := make([]quarantine.Digest, 40)
			for n := range sessions {
				sessions[n] = quarantine.Digest(1000 + n)
			}
			record := func(at clock.Millis, name string, requests [][]quarantine.Digest) {
				b.RecordCrash(at, quarantine.Crash{Endpoint: name, Backend: "model", At: at, Requests: requests})
			}
			for n := range 66 {
				at := 10*clock.Second + clock.Millis(n*15)
				var requests [][]quarantine.Digest
				for range 6 {
					requests = append(requests, []quarantine.Digest{manual, sessions[rng.IntN(len(sessions))]})
				}
				record(at, fmt.Sprint("i-lost-", n), requests)
			}
			// A first answer clears the part that all requests share.
			b.RecordSound(11*clock.Second, []quarantine.Digest{manual, 1})
			for _, session := range sessions {
				expect(t, b, 11*clock.Second+1, free, manual, session)
			}
			if !withDeadly {
				continue
			}
			for n := range 3 {
				at := 12*clock.Second + clock.Millis(n)*1500
				record(at, fmt.Sprint("i-", n), [][]quarantine.Digest{{manual, deadly}, {manual, sessions[n]}})
				b.RecordSound(at+100, []quarantine.Digest{manual, 1})
			}
			expect(t, b, 16*clock.Second, stopped, manual, deadly)
		}
	}
}

// TestBookIsBoundedAndKeepsWhatIsStopped guards against losing a quarantine to a flood of
// other crashes.
func TestBookIsBoundedAndKeepsWhatIsStopped(t *testing.T) {
	b := quarantine.New()
	for n := range 3 {
		at := clock.Millis(n+1) * 100
		b.RecordCrash(at, crash(at, []quarantine.Digest{deadly}))
	}
	for n := range 1000 {
		at := clock.Millis(n+1) * 500
		b.RecordCrash(at, quarantine.Crash{Endpoint: fmt.Sprint("i-other-", n), Backend: "other", At: at, Requests: [][]quarantine.Digest{{quarantine.Digest(5000 + n)}}})
	}
	if kept := len(b.Crashes()); kept > 128 {
		t.Errorf("got %d crashes, want at most 128", kept)
	}
	expect(t, b, 500*clock.Second, onTrial, deadly)
}

// TestWhatWasLostWithAllEndpointsIsTriedSoon guards against a route that stays refused
// because nothing is left that could clear the part which all its requests share.
func TestWhatWasLostWithAllEndpointsIsTriedSoon(t *testing.T) {
	b := quarantine.New()
	for n := range 9 {
		at := 1000 + clock.Millis(n)*50
		b.RecordCrash(at, crash(at, []quarantine.Digest{manual, book + quarantine.Digest(n)}))
	}
	expect(t, b, 1500, stopped, manual, 50)
	expect(t, b, 2500, onTrial, manual, 50)
	b.RecordSound(2700, []quarantine.Digest{manual, 50})
	expect(t, b, 2701, free, manual, 51)
}

// TestTrialsBecomeRare guards against trials that crash endpoints at a steady rate.
func TestTrialsBecomeRare(t *testing.T) {
	const hour = 60 * clock.Minute
	b := quarantine.New()
	var crashes []clock.Millis
	for now := clock.Millis(0); now < hour; now += 100 {
		if decide(b, now, deadly) != stopped {
			b.RecordCrash(now, crash(now, []quarantine.Digest{deadly}))
			crashes = append(crashes, now)
		}
	}
	afterThird := 0
	for _, at := range crashes {
		if at > crashes[2] && at < crashes[2]+100*clock.Second {
			afterThird++
		}
	}
	if afterThird > 3 || len(crashes) > 12 {
		t.Errorf("got %d crashes in an hour and %d in the 100 s after the third, want at most 12 and 3", len(crashes), afterThird)
	}
}

func TestTrialsRunOneAtATime(t *testing.T) {
	trials := quarantine.NewTrials()
	if !trials.Begin(0, []quarantine.Digest{deadly}, 1000) || trials.Begin(10, []quarantine.Digest{book, deadly}, 1000) {
		t.Error("want the first trial of a digest to begin, and no second one meanwhile")
	}
	if !trials.Begin(20, []quarantine.Digest{book}, 1000) {
		t.Error("want another digest to be tried meanwhile")
	}
	trials.End([]quarantine.Digest{deadly})
	if !trials.Begin(30, []quarantine.Digest{deadly}, 1000) || !trials.Begin(1500, []quarantine.Digest{deadly}, 1000) {
		t.Error("want trials to begin after the end of the last one, and after its lifetime")
	}
}

func BenchmarkDecideWithAFullBook(bench *testing.B) {
	b := quarantine.New()
	for n := range 128 {
		at := clock.Millis(n+1) * 500
		b.RecordCrash(at, crash(at, []quarantine.Digest{manual, deadly}, []quarantine.Digest{manual, book}))
	}
	b.RecordSound(65*clock.Second, []quarantine.Digest{manual, book})
	for bench.Loop() {
		b.Decide(66*clock.Second, []quarantine.Digest{manual, book})
	}
}
