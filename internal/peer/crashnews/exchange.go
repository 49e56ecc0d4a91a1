// Package crashnews tells daemons of endpoints that crashed, and keeps requests that crash
// endpoints from being sent. Package quarantine decides; this package checks whether an
// endpoint has crashed, passes the news on, and asks for trials.
//
// News goes at once through the tree of daemons; each passes on what is new to it. A daemon
// that was not reached, or has just started, notices with its next ping that a peer knows
// more, and fetches it. The first daemon of the fleet writes the evidence against what is in
// quarantine to a row of the table, which the first ones read at their start. Requests under suspicion are tried one at a time in the whole fleet:
// one daemon, the owner of the digest, permits the trials. Nothing is told or asked for
// requests of which nothing is suspected.
//
// # Usage
//
//	e := crashnews.New(crashnews.Config{Link: l, Clock: clk, Logger: logger, Neighbors: f.Neighbors, Owners: f.Owners, ...})
//	admission := e.Admit(ctx, digests, timeLeft)
//	go e.Run(ctx)
//	e.RecordLost(placement, digests)
//	e.RecordSound(digests)
package crashnews

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/sirupsen/logrus"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/coord/table"
	"github.com/banyanshift/banyanshift/internal/caller/relay"
	"github.com/banyanshift/banyanshift/internal/decide/quarantine"
	"github.com/banyanshift/banyanshift/internal/endpoint/roster"
	"github.com/banyanshift/banyanshift/internal/peer/link"
	"github.com/banyanshift/banyanshift/internal/peer/message"
)

// checkTimeout limits the check whether an endpoint has crashed.
const checkTimeout = 2 * clock.Second

// Config configures an Exchange. All fields must be set.
type Config struct {
	Link   *link.Link
	Clock  clock.Clock
	Logger logrus.FieldLogger
	// Self is the address of this daemon's link.
	Self string
	// Neighbors returns the addresses of the daemons that news is passed on to.
	Neighbors func() []string
	// Owners returns the addresses of the daemons that may own a key, the owner first.
	Owners func(key string) []string
	// Endpoint returns an endpoint, the zero value if it is not known.
	Endpoint func(id string) roster.Endpoint
	// IsEvidence reports whether the end of an endpoint says something of its requests: it
	// was not leaving, and not about to fail for want of room.
	IsEvidence func(endpoint roster.Endpoint) bool
	// IsDown reports whether an endpoint refuses the connections of this daemon and of
	// peers.
	IsDown func(ctx context.Context, endpoint roster.Endpoint) bool
	// Table holds the evidence while no daemon runs. Rank is the place of this daemon in
	// the order of the fleet, and Wall the time of day.
	Table table.Client
	Rank  func() int
	Wall  func() clock.Millis
	// ReadsAtStart is set if this daemon reads the row of the table at once, because others
	// contact it first or because it knows no other one.
	ReadsAtStart bool
	Rand         *rand.Rand
}

// Exchange shares what is known of crashes with the other daemons. It is safe for concurrent
// use.
type Exchange struct {
	config Config
	// known is set while the book has crashes, so that requests do not wait for the lock
	// otherwise.
	known atomic.Bool

	mu   sync.Mutex
	book *quarantine.Book
	// owned holds the trials that this daemon has permitted, and own those of its own
	// requests.
	owned, own *quarantine.Trials
	// stopped lists the digests in quarantine, for the log.
	stopped []quarantine.Digest
	rng     *rand.Rand
}

// New returns an Exchange that knows of no crash and registers its handlers with the link,
// which must not have been started.
func New(config Config) *Exchange {
	e := &Exchange{config: config, book: quarantine.New(), owned: quarantine.NewTrials(), own: quarantine.NewTrials(), rng: config.Rand}
	link.Handle(config.Link, message.CrashNews, e.serveNews)
	link.Handle(config.Link, message.CrashBook, e.serveBook)
	link.Handle(config.Link, message.CrashTrial, e.serveTrial)
	link.Handle(config.Link, message.CrashTrialEnd, e.serveTrialEnd)
	return e
}

// Active reports whether any crash is known.
func (e *Exchange) Active() bool {
	return e.known.Load()
}

// SetEndpoints records the software versions that are in use.
func (e *Exchange) SetEndpoints(list []roster.Endpoint) {
	current := make([]quarantine.Version, 0, len(list))
	for _, endpoint := range list {
		current = append(current, quarantine.Version{Backend: endpoint.Backend, Name: endpoint.SoftwareVersion})
	}
	now := e.config.Clock.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.book.SetVersions(now, current)
}

// RecordLost records that a request got no answer, because its connection to the endpoint
// ended. Whether the endpoint has crashed is found out in the background.
func (e *Exchange) RecordLost(placement relay.Placement, digests []quarantine.Digest) {
	endpoint := e.config.Endpoint(placement.Endpoint)
	if endpoint.Incarnation != placement.Incarnation || !e.config.IsEvidence(endpoint) {
		return
	}
	lost := &lostRequest{exchange: e, endpoint: endpoint, digests: digests, at: e.config.Clock.Now()}
	go lost.run()
}

// lostRequest is a request whose connection to an endpoint ended.
type lostRequest struct {
	exchange *Exchange
	endpoint roster.Endpoint
	digests  []quarantine.Digest
	at       clock.Millis
}

// run reports the crash if the endpoint is down.
func (l *lostRequest) run() {
	e := l.exchange
	ctx, cancel := context.WithTimeout(context.Background(), checkTimeout.Duration())
	defer cancel()
	if !e.config.IsDown(ctx, l.endpoint) {
		return
	}
	e.learn(nil, []quarantine.Crash{{
		Endpoint: l.endpoint.ID, Incarnation: l.endpoint.Incarnation, Backend: l.endpoint.Backend,
		SoftwareVersion: l.endpoint.SoftwareVersion, At: l.at, Requests: [][]quarantine.Digest{l.digests},
	}}, "Own")
}

// RecordSound records that a request was answered.
func (e *Exchange) RecordSound(digests []quarantine.Digest) {
	now := e.config.Clock.Now()
	e.mu.Lock()
	cleared := e.book.RecordSound(now, digests)
	e.mu.Unlock()
	if len(cleared) == 0 {
		return
	}
	e.logChanges(now)
	told := news{}
	for _, digest := range cleared {
		told.Cleared = append(told.Cleared, clearance{Digest: digest})
	}
	e.passOn(told)
}

// RecordAnswer records that the endpoint of a placement has answered.
func (e *Exchange) RecordAnswer(placement relay.Placement) {
	if !e.known.Load() {
		return
	}
	now := e.config.Clock.Now()
	e.mu.Lock()
	wasCrashed := e.book.RecordAnswer(now, placement.Endpoint, placement.Incarnation)
	e.mu.Unlock()
	if !wasCrashed {
		return
	}
	eventAlive.Log(e.config.Logger, logrus.Fields{"Endpoint": placement.Endpoint})
	e.logChanges(now)
	e.passOn(news{Crashes: []crash{{Endpoint: placement.Endpoint, Incarnation: placement.Incarnation, Alive: true}}})
}

// learn adds what is new to the book, and passes it on.
func (e *Exchange) learn(cleared []clearance, crashes []quarantine.Crash, source string) {
	now := e.config.Clock.Now()
	fresh, firstHeard := e.merge(now, cleared, crashes)
	if len(fresh.Crashes) == 0 && len(fresh.Cleared) == 0 {
		return
	}
	for _, c := range firstHeard {
		eventCrashed.Log(e.config.Logger, logrus.Fields{
			"Endpoint": c.Endpoint, "Backend": c.Backend, "SoftwareVersion": c.SoftwareVersion,
			"Suspects": formatRequests(c.Requests), "Age": int64(now - c.At), "Source": source,
		})
	}
	e.logChanges(now)
	e.passOn(fresh)
}

// merge adds to the book. It returns what was new, and the crashes of which nothing was known.
func (e *Exchange) merge(now clock.Millis, cleared []clearance, crashes []quarantine.Crash) (fresh news, firstHeard []quarantine.Crash) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, c := range crashes {
		known := e.book.Knows(c.Endpoint, c.Incarnation)
		if !e.book.RecordCrash(now, c) {
			continue
		}
		fresh.Crashes = append(fresh.Crashes, newCrash(now, c))
		if !known {
			firstHeard = append(firstHeard, c)
		}
	}
	for _, c := range cleared {
		if e.book.Clear(now-c.Age, c.Digest) {
			fresh.Cleared = append(fresh.Cleared, c)
		}
	}
	e.known.Store(!e.book.IsEmpty())
	return fresh, firstHeard
}

// passOn sends news to the neighbors.
func (e *Exchange) passOn(n news) {
	neighbors := e.config.Neighbors()
	receivers := make([]link.Peer, 0, len(neighbors))
	for _, address := range neighbors {
		receivers = append(receivers, link.Peer{Address: address})
	}
	if err := link.Broadcast(e.config.Link, receivers, message.CrashNews, n); err != nil {
		e.config.Logger.WithError(err).Debug("news of a crash could not be queued for every neighbor")
	}
}

// logChanges logs which digests came into quarantine and which left it.
func (e *Exchange) logChanges(now clock.Millis) {
	e.mu.Lock()
	before, after := e.stopped, e.book.Stopped(now)
	e.stopped = after
	e.mu.Unlock()
	stopped.Set(int64(len(after)))
	for _, digest := range after {
		if !slices.Contains(before, digest) {
			eventQuarantined.Log(e.config.Logger, logrus.Fields{"Digest": digest.String()})
		}
	}
	for _, digest := range before {
		if !slices.Contains(after, digest) {
			eventReleased.Log(e.config.Logger, logrus.Fields{"Digest": digest.String()})
		}
	}
}

func (e *Exchange) serveNews(_ context.Context, _ string, n news) (struct{}, error) {
	e.learnNews(n)
	return struct{}{}, nil
}

// learnNews adds what another daemon has told.
func (e *Exchange) learnNews(n news) {
	now := e.config.Clock.Now()
	crashes := make([]quarantine.Crash, 0, len(n.Crashes))
	for _, c := range n.Crashes {
		crashes = append(crashes, c.crash(now))
	}
	e.learn(n.Cleared, crashes, "Peer")
}
