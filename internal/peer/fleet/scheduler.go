package fleet

import (
	"math/rand/v2"
	"sync"

	"github.com/sirupsen/logrus"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/caller/relay"
	"github.com/banyanshift/banyanshift/internal/decide/balance"
	"github.com/banyanshift/banyanshift/internal/decide/budget"
	"github.com/banyanshift/banyanshift/internal/endpoint/roster"
)

const (
	// maxJobAge is how long a job is kept when no report of its end arrives.
	maxJobAge = 30 * clock.Second
	// endMemory is how long the ends of jobs are kept in case that the daemon that
	// was to pass them on has failed.
	endMemory = 4 * clock.Second
	// expireInterval is the time between two scans for such jobs.
	expireInterval = 5 * clock.Second
	// minRetryAfter and maxRetryAfter bound the Retry-After of refused requests.
	minRetryAfter = 300 * clock.Millisecond
	maxRetryAfter = 3 * clock.Second
)

// Scheduler places this daemon's requests on endpoints, using the state that
// all daemons share, and collects what it has to report to them. It is safe
// for concurrent use.
type Scheduler struct {
	clock  clock.Clock
	logger logrus.FieldLogger
	// daemonCount returns how many daemons share the endpoints and the retry
	// budget.
	daemonCount func() int
	// drained returns the drained failure domains.
	drained func(now clock.Millis) []string

	mu       sync.Mutex
	balancer *balance.Balancer
	budget   *budget.Budget
	rng      *rand.Rand
	// endpoints holds the endpoints by ID.
	endpoints map[string]roster.Endpoint
	// modelEngines reports whether an endpoint has a prefix cache; jobs on the
	// other endpoints are not reported to peers.
	modelEngines map[string]bool
	nextJob      uint64
	lastExpiry   clock.Millis
	pending      report
	// dispatchedAt holds the time of each job in pending.Sent.
	dispatchedAt []clock.Millis
	// recentEnds holds the ends that were reported within the last endMemory.
	recentEnds []reportedEnd
	// unplaced holds the back ends of which no endpoint could get a request.
	unplaced map[string]*unplaced
}

// reportedEnd is a job whose end was reported.
type reportedEnd struct {
	job        uint64
	reportedAt clock.Millis
}

// NewScheduler returns a Scheduler that knows no endpoints.
func NewScheduler(clk clock.Clock, logger logrus.FieldLogger, rules budget.Rules, daemonCount func() int, drained func(now clock.Millis) []string, rng *rand.Rand) *Scheduler {
	return &Scheduler{
		clock:        clk,
		logger:       logger,
		daemonCount:  daemonCount,
		drained:      drained,
		balancer:     balance.New(),
		budget:       budget.New(rules),
		rng:          rng,
		endpoints:    make(map[string]roster.Endpoint),
		modelEngines: make(map[string]bool),
		unplaced:     make(map[string]*unplaced),
		nextJob:      uint64(rng.Uint32()) << 32,
	}
}

// SetEndpoints replaces the endpoints.
func (s *Scheduler) SetEndpoints(endpoints []roster.Endpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := make([]balance.Endpoint, 0, len(endpoints))
	s.confirmMoved(endpoints)
	clear(s.endpoints)
	for _, endpoint := range endpoints {
		known = append(known, endpoint.Endpoint)
		s.endpoints[endpoint.ID] = endpoint
		s.modelEngines[endpoint.ID] = endpoint.CacheTokens > 0
	}
	for id := range s.modelEngines {
		if _, listed := s.endpoints[id]; !listed {
			delete(s.modelEngines, id)
		}
	}
	s.balancer.SetEndpoints(s.clock.Now(), known)
}

// SetEventGaps sets the targets for the pauses of streams by back end.
func (s *Scheduler) SetEventGaps(byBackend map[string]balance.EventGaps) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for backend, gaps := range byBackend {
		s.balancer.SetEventGaps(backend, gaps)
	}
}

// place chooses an endpoint for a request of this daemon and records the job.
func (s *Scheduler) place(request balance.Request, timeLeft clock.Millis) (relay.Placement, relay.Refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	s.expireJobs(now)
	request.TieBreakSeed = s.rng.Uint64()
	s.balancer.SetRemoteTraffic(remoteTraffic(s.daemonCount()))
	s.updateDrains(now)
	choice, refusal := s.choose(now, request, timeLeft)
	if refusal.Reason != "" {
		return relay.Placement{}, refusal
	}
	s.nextJob++
	job := balance.Job{
		ID: s.nextJob, Endpoint: choice.Endpoint, Parts: request.Parts, Uncached: choice.Uncached,
		Output: request.Output, Priority: request.Priority, Expected: choice.ExpectedFirstToken,
		CopyFrom: choice.CopyFrom, CopyTime: choice.CopyTime,
	}
	s.balancer.RecordLocalJob(now, job)
	if s.modelEngines[choice.Endpoint] {
		s.pending.Sent = append(s.pending.Sent, newSentJob(job, 0))
		s.dispatchedAt = append(s.dispatchedAt, now)
	}
	endpoint := s.endpoints[choice.Endpoint]
	return relay.Placement{
		Job: job.ID, Endpoint: choice.Endpoint, Address: endpoint.Address, FailureDomain: endpoint.FailureDomain,
		Incarnation: endpoint.Incarnation, SoftwareVersion: endpoint.SoftwareVersion, ExpectedFirstToken: choice.ExpectedFirstToken,
		CopyFrom: s.endpoints[choice.CopyFrom].Address, CopyTokens: choice.CopyTokens,
	}, relay.Refusal{}
}

// remoteTraffic returns the share and the report lag of the other daemons.
func remoteTraffic(daemonCount int) balance.RemoteTraffic {
	return balance.RemoteTraffic{Share: float64(daemonCount-1) / float64(max(daemonCount, 1)), UpdateLag: reportInterval}
}

// choose returns an endpoint that can serve the request in time. It falls back
// to a leaving endpoint only if no other can.
func (s *Scheduler) choose(now clock.Millis, request balance.Request, timeLeft clock.Millis) (balance.Choice, relay.Refusal) {
	choice, found := s.balancer.Choose(now, request)
	excess := minRetryAfter
	if found {
		wait, admitted := s.balancer.Admit(now, request, choice, timeLeft)
		if admitted {
			return choice, relay.Refusal{}
		}
		excess = wait
		if other, otherFound := s.balancer.ChooseAdmitted(now, request, timeLeft); otherFound {
			return other, relay.Refusal{}
		}
	}
	if leaving, leavingFound := s.balancer.ChooseLeaving(now, request); leavingFound {
		if _, admitted := s.balancer.Admit(now, request, leaving, timeLeft); admitted {
			return leaving, relay.Refusal{}
		}
	}
	if !found {
		s.recordUnplaced(now, request)
	}
	if quiet, allQuiet := s.balancer.QuietTime(now, request); !found && allQuiet {
		return choice, relay.Refusal{Reason: "all endpoints of the back end are to get no requests now", RetryAfter: s.spread(quiet)}
	}
	if !found {
		reason := "no endpoint of the back end can take the request"
		if !s.balancer.HasMemory(request) {
			reason = "prompt is larger than the memory of any endpoint"
		}
		if request.Software.Limited {
			reason = "no endpoint of the software version that began the stream: " + request.Software.Version
		}
		return choice, relay.Refusal{Reason: reason, RetryAfter: s.retryAfter(excess)}
	}
	return choice, relay.Refusal{
		Reason:     "overloaded: first token expected after " + choice.ExpectedFirstToken.String() + " (" + choice.Delays.String() + "), place expected after " + max(excess, 0).String(),
		RetryAfter: s.retryAfter(excess),
	}
}

// retryAfter adds jitter to the wait so that refused callers do not return at
// the same time.
func (s *Scheduler) retryAfter(wait clock.Millis) clock.Millis {
	return s.spread(min(wait, maxRetryAfter))
}

// spread returns a wait of at least minRetryAfter, with jitter.
func (s *Scheduler) spread(wait clock.Millis) clock.Millis {
	base := max(wait, minRetryAfter)
	return base + clock.Millis(s.rng.Int64N(int64(base/2)+1))
}

func (s *Scheduler) expireJobs(now clock.Millis) {
	if now-s.lastExpiry < expireInterval {
		return
	}
	s.lastExpiry = now
	s.balancer.ExpireJobs(now, maxJobAge)
}

func (s *Scheduler) recordFirstToken(p relay.Placement) {
	s.mu.Lock()
	defer s.mu.Unlock()
	elapsed := s.balancer.RecordFirstToken(s.clock.Now(), p.Job)
	if s.modelEngines[p.Endpoint] {
		s.pending.First = append(s.pending.First, p.Job)
		s.pending.firstTimes = append(s.pending.firstTimes, elapsed)
	}
}

func (s *Scheduler) recordEnd(p relay.Placement, outcome balance.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.balancer.RecordEnd(s.clock.Now(), p.Job, outcome)
	if s.modelEngines[p.Endpoint] {
		s.pending.Ended = append(s.pending.Ended, p.Job)
	}
}

func (s *Scheduler) recordLoad(endpoint string, load relay.Load) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.balancer.RecordLoad(s.clock.Now(), endpoint, load.Running, load.Waiting, load.Slots)
}

// recordQuiet stops sending requests to an endpoint for a time.
func (s *Scheduler) recordQuiet(endpoint string, quiet clock.Millis) {
	s.mu.Lock()
	begun := s.balancer.RecordQuiet(s.clock.Now(), endpoint, quiet)
	s.mu.Unlock()
	if begun {
		eventEndpointQuiet.Log(s.logger, logrus.Fields{"Endpoint": endpoint, "Quiet": int64(quiet)})
	}
}

// Accepts reports whether a peer's request may be sent to an endpoint at an address: the
// endpoint is known there, is not leaving and has not asked for a quiet time.
func (s *Scheduler) Accepts(endpoint, address string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	known, found := s.endpoints[endpoint]
	now := s.clock.Now()
	s.updateDrains(now)
	return found && known.Address == address && s.balancer.Accepts(now, endpoint)
}

// maySend reports whether a placed request may still be sent: its failure domain may have
// been drained while it waited.
func (s *Scheduler) maySend(p relay.Placement) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.updateDrains(s.clock.Now())
	return !s.balancer.IsDrained(p.FailureDomain)
}

// updateDrains passes the drained failure domains on to the balancer. The caller holds mu.
func (s *Scheduler) updateDrains(now clock.Millis) {
	s.balancer.SetDrained(s.drained(now))
}

// JobCount returns the number of requests at an endpoint that are known to this daemon.
func (s *Scheduler) JobCount(endpoint string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.balancer.JobCount(endpoint)
}

// setAside sends no requests to an endpoint for a time, since it has no place for them now.
func (s *Scheduler) setAside(endpoint string, time clock.Millis) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.balancer.SetAside(s.clock.Now(), endpoint, time)
}

// Endpoint returns an endpoint, the zero value if it is not known.
func (s *Scheduler) Endpoint(id string) roster.Endpoint {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.endpoints[id]
}

func (s *Scheduler) countRequest(backend string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget.RecordRequest(s.clock.Now(), backend)
}

func (s *Scheduler) takeRetry(retry budget.Retry) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	granted := s.budget.TakeRetry(s.clock.Now(), retry, s.daemonCount())
	if granted {
		retries.Add(retry.Backend+".Granted", 1)
	} else {
		retries.Add(retry.Backend+".Refused", 1)
	}
	return granted
}

// PromptLoad returns how many endpoints the recent prompts of a back end would
// keep fully busy, and how many of its endpoints accept requests.
func (s *Scheduler) PromptLoad(backend string) (promptLoad float64, servingEndpoints int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.balancer.PromptLoad(s.clock.Now(), backend)
}

// slowRatio is the ratio to the mean time of work from which an endpoint counts as slow.
const slowRatio = 1.5

// UpdateMetrics updates the metrics of endpoints.
func (s *Scheduler) UpdateMetrics() {
	s.mu.Lock()
	now := s.clock.Now()
	s.updateDrains(now)
	standings, slow := s.balancer.Standings(now), s.balancer.Slow(now, slowRatio)
	s.mu.Unlock()
	endpointStandings.Init()
	for standing, count := range standings {
		endpointStandings.Add(standing.String(), int64(count))
	}
	slowEndpoints.Init()
	for endpoint, ratio := range slow {
		slowEndpoints.Add(endpoint, int64(ratio*100))
	}
}

// takeReport returns what happened since the last call.
func (s *Scheduler) takeReport() report {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	for i := range s.pending.Sent {
		s.pending.Sent[i].Age = now - s.dispatchedAt[i]
	}
	s.rememberEnds(now, s.pending.Ended)
	taken := s.pending
	s.pending = report{}
	s.dispatchedAt = nil
	return taken
}

// rememberEnds keeps ended jobs for repeatRecentEnds, and drops those that are too
// old. The caller holds mu.
func (s *Scheduler) rememberEnds(now clock.Millis, ended []uint64) {
	recent := s.recentEnds[:0]
	for _, end := range s.recentEnds {
		if now-end.reportedAt <= endMemory {
			recent = append(recent, end)
		}
	}
	for _, id := range ended {
		recent = append(recent, reportedEnd{job: id, reportedAt: now})
	}
	s.recentEnds = recent
}

// repeatRecentEnds adds the ends that were reported recently to the next report, so
// that the jobs do not stay recorded elsewhere until they expire.
func (s *Scheduler) repeatRecentEnds() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, end := range s.recentEnds {
		s.pending.Ended = append(s.pending.Ended, end.job)
	}
	s.recentEnds = nil
}

// applyReport applies what happened at another daemon.
func (s *Scheduler) applyReport(r report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	for _, sent := range r.Sent {
		s.balancer.RecordRemoteJob(now, sent.job(), sent.Age)
	}
	for i, id := range r.First {
		elapsed := clock.Millis(0)
		if i < len(r.firstTimes) {
			elapsed = r.firstTimes[i]
		}
		s.balancer.RecordRemoteFirstToken(now, id, elapsed)
	}
	for _, id := range r.Ended {
		s.balancer.RecordEnd(now, id, balance.Succeeded)
	}
}
