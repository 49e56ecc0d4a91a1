package quarantine_test

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/decide/quarantine"
)

const (
	// playContact is the time within which all daemons must know of a crash.
	playContact = 3 * clock.Second
	// playTime is the length of a play.
	playTime = 40 * clock.Second
	// checkDelay is the time until a daemon has found out that an endpoint crashed.
	checkDelay = 15 * clock.Millisecond
	// playMaxWait and playAskInterval are how long and how often a request under suspicion
	// asks for its trial.
	playMaxWait     = 1200 * clock.Millisecond
	playAskInterval = 25 * clock.Millisecond
	// trialMemory is how long a trial without an answer goes on.
	trialMemory = 200 * clock.Millisecond
	downTime    = 3 * clock.Second
	// liveTime is the time from the first event of a stream to its end.
	liveTime = 150 * clock.Millisecond
	// countingCrash is the crash from which few requests may follow.
	countingCrash = 5
)

// playSize is the size of a fleet and its load.
type playSize struct {
	daemons, endpoints int
	// perSecond is the number of requests a second, of which share crash endpoints.
	perSecond int
	share     float64
	// newsDelay is the longest time until a daemon has heard the news of another.
	newsDelay clock.Millis
	// lostAt is when a third of the endpoints is lost within a second, 0 for never.
	lostAt clock.Millis
}

// playEvent is something that happens in a play.
type playEvent struct {
	at  clock.Millis
	run func()
}

// playQueue is a heap of events by time.
type playQueue []playEvent

func (q playQueue) Len() int           { return len(q) }
func (q playQueue) Less(i, j int) bool { return cmp.Less(q[i].at, q[j].at) }
func (q playQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *playQueue) Push(e any)        { *q = append(*q, e.(playEvent)) }
func (q *playQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// play is a fleet of daemons in simulated time.
type play struct {
	size      playSize
	rng       *rand.Rand
	now       clock.Millis
	queue     playQueue
	books     []*quarantine.Book
	trials    *quarantine.Trials
	endpoints []playEndpoint
	// crashes holds the crashes by requests, and deadly the arrivals of such requests.
	crashes, deadly []clock.Millis
	// sound counts the sound requests, stopped those that were refused for good, and waited
	// those that waited in vain.
	sound, stopped, waited int
}

// playEndpoint is one endpoint and the requests at it that have not begun.
type playEndpoint struct {
	incarnation int64
	upAt        clock.Millis
	waiting     map[*playRequest]bool
}

// playRequest is one request at a daemon.
type playRequest struct {
	daemon   int
	digests  []quarantine.Digest
	deadly   bool
	deadline clock.Millis
	onTrial  []quarantine.Digest
}

func newPlay(size playSize, seed uint64) *play {
	p := &play{size: size, rng: rand.New(rand.NewPCG(seed, uint64(size.daemons))), trials: quarantine.NewTrials()}
	for range size.daemons {
		p.books = append(p.books, quarantine.New())
	}
	for range size.endpoints {
		p.endpoints = append(p.endpoints, playEndpoint{waiting: make(map[*playRequest]bool)})
	}
	return p
}

func (p *play) after(delay clock.Millis, run func()) {
	heap.Push(&p.queue, playEvent{at: p.now + delay, run: run})
}

// run plays the whole time.
func (p *play) run() {
	p.arrive()
	if p.size.lostAt > 0 {
		for n := range p.size.endpoints / 3 {
			p.after(p.size.lostAt+clock.Millis(p.rng.IntN(1000)), func() { p.crash(n) })
		}
	}
	for len(p.queue) > 0 {
		e := heap.Pop(&p.queue).(playEvent)
		p.now = e.at
		e.run()
	}
}

// arrive lets the next requests come at any daemon, as long as the play lasts.
func (p *play) arrive() {
	if p.now >= playTime {
		return
	}
	r := &playRequest{daemon: p.rng.IntN(p.size.daemons), deadly: p.rng.Float64() < p.size.share, deadline: p.now + playMaxWait}
	r.digests = []quarantine.Digest{manual, quarantine.Digest(100 + p.rng.IntN(300)), quarantine.Digest(p.rng.Uint64() | 1<<40)}
	if r.deadly {
		r.digests[1] = deadly
	} else {
		p.sound++
	}
	p.admit(r)
	p.after(clock.Millis(p.rng.ExpFloat64()*float64(clock.Second)/float64(p.size.perSecond)), p.arrive)
}

// admit sends a request, or lets it wait for its trial.
func (p *play) admit(r *playRequest) {
	decision := p.books[r.daemon].Decide(p.now, r.digests)
	if len(decision.Suspects) == 0 {
		p.send(r)
		return
	}
	if p.now+max(decision.Wait, playAskInterval) > r.deadline {
		p.refuse(r, decision)
		return
	}
	ownerAgrees := p.books[0].Decide(p.now, decision.Suspects).Wait == 0
	if decision.Wait == 0 && ownerAgrees && p.trials.Begin(p.now, decision.Suspects, 5*clock.Second) {
		r.onTrial = decision.Suspects
		p.send(r)
		return
	}
	p.after(max(decision.Wait, playAskInterval), func() { p.admit(r) })
}

func (p *play) refuse(r *playRequest, decision quarantine.Decision) {
	switch {
	case r.deadly:
	case decision.Wait > playMaxWait:
		p.stopped++
	default:
		p.waited++
	}
}

// send sends a request to an endpoint that is up. It begins its answer after some time.
func (p *play) send(r *playRequest) {
	n := p.rng.IntN(len(p.endpoints))
	for tries := 0; p.now < p.endpoints[n].upAt; tries++ {
		if tries > len(p.endpoints) {
			p.trials.End(r.onTrial)
			return
		}
		n = (n + 1) % len(p.endpoints)
	}
	if r.deadly {
		p.deadly = append(p.deadly, p.now)
	}
	e := &p.endpoints[n]
	e.waiting[r] = true
	p.after(clock.Millis(100+p.rng.IntN(250)), func() {
		if !e.waiting[r] {
			return
		}
		if r.deadly {
			p.crashes = append(p.crashes, p.now)
			p.crash(n)
			return
		}
		delete(e.waiting, r)
		p.after(liveTime, func() { p.end(r) })
	})
}

// end clears the digests of an answered request everywhere.
func (p *play) end(r *playRequest) {
	p.trials.End(r.onTrial)
	answeredAt := p.now
	for _, digest := range p.books[r.daemon].RecordSound(p.now, r.digests) {
		p.tell(r.daemon, func(b *quarantine.Book) { b.Clear(answeredAt, digest) })
	}
}

// crash ends an endpoint. Each daemon tells of the requests that it has lost.
func (p *play) crash(n int) {
	e := &p.endpoints[n]
	lost := e.waiting
	crashed := quarantine.Crash{Endpoint: fmt.Sprint("i-", n), Incarnation: e.incarnation, Backend: "model", At: p.now}
	e.waiting, e.upAt = make(map[*playRequest]bool), p.now+downTime
	e.incarnation++
	for r := range lost {
		report := crashed
		report.Requests = [][]quarantine.Digest{r.digests}
		p.after(checkDelay, func() {
			p.books[r.daemon].RecordCrash(p.now, report)
			p.tell(r.daemon, func(b *quarantine.Book) { b.RecordCrash(p.now, report) })
		})
		p.after(trialMemory, func() { p.trials.End(r.onTrial) })
	}
}

// tell applies the news of a daemon at all others, each after its own delay.
func (p *play) tell(from int, apply func(*quarantine.Book)) {
	for n, book := range p.books {
		if n != from {
			p.after(1+clock.Millis(p.rng.Int64N(int64(p.size.newsDelay))), func() { apply(book) })
		}
	}
}

// deadlyAfterCrashes counts the requests that crash endpoints and were sent later than
// playContact after the crash that counts.
func (p *play) deadlyAfterCrashes() (count int) {
	if len(p.crashes) < countingCrash {
		return 0
	}
	for _, at := range p.deadly {
		if at > p.crashes[countingCrash-1]+playContact {
			count++
		}
	}
	return count
}

// TestPlayedLoadStopsOnlyWhatCrashesEndpoints plays fleets up to 370 daemons with drawn
// traffic, in which requests with one part crash endpoints and all others share the rest.
func TestPlayedLoadStopsOnlyWhatCrashesEndpoints(t *testing.T) {
	const (
		seeds = 20
		// maxArrivals is how many requests with the part may still be sent.
		maxArrivals = 3
		// maxWaitedShare is the share of sound requests that may wait in vain for a trial.
		maxWaitedShare = 0.01
	)
	for _, size := range []playSize{
		{daemons: 8, endpoints: 9, perSecond: 30, share: 0.05, newsDelay: 30},
		{daemons: 8, endpoints: 9, perSecond: 60, share: 0.2, newsDelay: 30},
		{daemons: 8, endpoints: 9, perSecond: 3, share: 0.3, newsDelay: 30},
		{daemons: 30, endpoints: 60, perSecond: 100, share: 0.02, newsDelay: 100},
		{daemons: 30, endpoints: 200, perSecond: 100, share: 0.02, newsDelay: 100, lostAt: 5 * clock.Second},
		{daemons: 30, endpoints: 200, perSecond: 100, newsDelay: 100, lostAt: 5 * clock.Second},
		{daemons: 370, endpoints: 3300, perSecond: 150, share: 0.02, newsDelay: 250},
	} {
		t.Run(fmt.Sprintf("%d daemons, %d endpoints, share %v, loss at %v", size.daemons, size.endpoints, size.share, size.lostAt), func(t *testing.T) {
			t.Parallel()
			crashes, sound, waited := 0, 0, 0
			for seed := range uint64(seeds) {
				p := newPlay(size, seed)
				p.run()
				if arrivals := p.deadlyAfterCrashes(); arrivals > maxArrivals {
					t.Errorf("seed %d: got %d requests with the part after the fifth crash, want at most %d", seed, arrivals, maxArrivals)
				}
				if p.stopped > 0 {
					t.Errorf("seed %d: %d of %d sound requests were refused for good", seed, p.stopped, p.sound)
				}
				crashes, sound, waited = crashes+len(p.crashes), sound+p.sound, waited+p.waited
			}
			t.Logf("%.1f crashes by requests a play, %d of %d sound requests waited in vain", float64(crashes)/seeds, waited, sound)
			if float64(waited) > maxWaitedShare*float64(sound) {
				t.Errorf("got %d of %d sound requests that waited in vain, want at most %v", waited, sound, maxWaitedShare)
			}
		})
	}
}
