package fleet

import (
	"math/rand/v2"
	"sync"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/caller/relay"
	"github.com/banyanshift/banyanshift/internal/decide/balance"
	"github.com/banyanshift/banyanshift/internal/decide/budget"
	"github.com/banyanshift/banyanshift/internal/endpoint/roster"
)

const (
	// maxJobAge is after how long a job whose end was not heard of is
	// forgotten.
	maxJobAge = 30 * clock.Second
	// expireInterval is the time between two searches for such jobs.
	expireInterval = 5 * clock.Second
	// minReturn and maxReturn bound the Retry-After of refused requests.
	minReturn = 300 * clock.Millisecond
	maxReturn = 3 * clock.Second
)

// Scheduler schedules the requests of this daemon on the common picture of the
// fleet. It is safe for concurrent use.
type Scheduler struct {
	clock clock.Clock
	// daemons returns how many daemons share the endpoints and the retry
	// budget.
	daemons func() int

	mu        sync.Mutex
	balancer  *balance.Balancer
	budget    *budget.Budget
	rng       *rand.Rand
	addresses map[string]string
	engines   map[string]bool
	nextJob   uint64
	expired   clock.Millis
	pending   news
	sentAt    []clock.Millis
}

// NewScheduler returns a Scheduler that knows no endpoints.
func NewScheduler(clk clock.Clock, rules budget.Rules, daemons func() int, rng *rand.Rand) *Scheduler {
	return &Scheduler{
		clock:     clk,
		daemons:   daemons,
		balancer:  balance.New(),
		budget:    budget.New(rules),
		rng:       rng,
		addresses: make(map[string]string),
		engines:   make(map[string]bool),
		nextJob:   uint64(rng.Uint32()) << 32,
	}
}

// SetEndpoints replaces the endpoints.
func (b *Scheduler) SetEndpoints(endpoints []roster.Endpoint) {
	b.mu.Lock()
	defer b.mu.Unlock()
	known := make([]balance.Endpoint, 0, len(endpoints))
	clear(b.addresses)
	for _, endpoint := range endpoints {
		known = append(known, endpoint.Endpoint)
		b.addresses[endpoint.ID] = endpoint.Address
		b.engines[endpoint.ID] = endpoint.CacheTokens > 0
	}
	for id := range b.engines {
		if _, listed := b.addresses[id]; !listed {
			delete(b.engines, id)
		}
	}
	b.balancer.SetEndpoints(b.clock.Now(), known)
}

// RelayScheduler returns the functions that the path of a request uses.
func (b *Scheduler) RelayScheduler() relay.Scheduler {
	return relay.Scheduler{
		Place: b.place, RecordFirstToken: b.firstToken, RecordEnd: b.ended, RecordLoad: b.load, InvalidateAddress: b.moved, CountRequest: b.offered, TakeRetry: b.retry,
	}
}

// place chooses an endpoint for a request of this daemon.
func (b *Scheduler) place(request balance.Request, timeLeft clock.Millis) (relay.Placement, relay.Refusal) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	b.expire(now)
	request.TieBreakSeed = b.rng.Uint64()
	b.balancer.SetRemoteTraffic(others(b.daemons()))
	choice, refusal := b.choose(now, request, timeLeft)
	if refusal.Reason != "" {
		return relay.Placement{}, refusal
	}
	b.nextJob++
	job := balance.Job{
		ID: b.nextJob, Endpoint: choice.Endpoint, Parts: request.Parts, Uncached: choice.Uncached,
		Output: request.Output, Priority: request.Priority, Expected: choice.ExpectedFirstToken,
	}
	b.balancer.RecordLocalJob(now, job)
	if b.engines[choice.Endpoint] {
		b.pending.Sent = append(b.pending.Sent, sentJob{Job: job})
		b.sentAt = append(b.sentAt, now)
	}
	return relay.Placement{Job: job.ID, Endpoint: choice.Endpoint, Address: b.addresses[choice.Endpoint], ExpectedFirstToken: choice.ExpectedFirstToken}, relay.Refusal{}
}

// others describes the rest of a fleet of so many daemons.
func others(daemons int) balance.RemoteTraffic {
	return balance.RemoteTraffic{Share: float64(daemons-1) / float64(max(daemons, 1)), UpdateLag: newsEvery(daemons)}
}

// choose returns an endpoint that can serve the request in time, one that is
// leaving if there is no other.
func (b *Scheduler) choose(now clock.Millis, request balance.Request, timeLeft clock.Millis) (balance.Choice, relay.Refusal) {
	choice, found := b.balancer.Choose(now, request)
	excess := minReturn
	if found {
		wait, admitted := b.balancer.Admit(now, request, choice, timeLeft)
		if admitted {
			return choice, relay.Refusal{}
		}
		excess = wait
	}
	if leaving, stays := b.balancer.ChooseLeaving(now, request); stays {
		if _, admitted := b.balancer.Admit(now, request, leaving, timeLeft); admitted {
			return leaving, relay.Refusal{}
		}
	}
	if !found {
		return choice, relay.Refusal{Reason: "no endpoint of the back end can take the request", RetryAfter: b.returnAfter(excess)}
	}
	return choice, relay.Refusal{
		Reason:     "overloaded: first token expected after " + choice.ExpectedFirstToken.String() + " (" + choice.Delays.String() + ")",
		RetryAfter: b.returnAfter(excess),
	}
}

// returnAfter spreads callers that were refused.
func (b *Scheduler) returnAfter(wait clock.Millis) clock.Millis {
	base := min(max(wait, minReturn), maxReturn)
	return base + clock.Millis(b.rng.Int64N(int64(base/2)+1))
}

func (b *Scheduler) expire(now clock.Millis) {
	if now-b.expired < expireInterval {
		return
	}
	b.expired = now
	b.balancer.ExpireJobs(now, maxJobAge)
}

func (b *Scheduler) firstToken(p relay.Placement) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.balancer.RecordFirstToken(b.clock.Now(), p.Job)
	if b.engines[p.Endpoint] {
		b.pending.First = append(b.pending.First, p.Job)
	}
}

func (b *Scheduler) ended(p relay.Placement, outcome balance.Outcome) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.balancer.RecordEnd(b.clock.Now(), p.Job, outcome)
	if b.engines[p.Endpoint] {
		b.pending.Ended = append(b.pending.Ended, p.Job)
	}
}

func (b *Scheduler) load(endpoint string, load relay.Load) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.balancer.RecordLoad(b.clock.Now(), endpoint, load.Running, load.Waiting, load.Slots)
}

// moved takes an endpoint whose address belongs to another out of use.
func (b *Scheduler) moved(endpoint string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.balancer.InvalidateAddress(endpoint)
}

func (b *Scheduler) offered(backend string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget.RecordRequest(b.clock.Now(), backend)
}

func (b *Scheduler) retry(backend string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	granted := b.budget.TakeRetry(b.clock.Now(), backend, b.daemons())
	if granted {
		retries.Add(backend+".Granted", 1)
	} else {
		retries.Add(backend+".Refused", 1)
	}
	return granted
}

// PromptLoad returns how many endpoints' worth of time the prompts of a back end took
// lately, and how many endpoints it has that can be given work.
func (b *Scheduler) PromptLoad(backend string) (busy float64, serving int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.balancer.PromptLoad(b.clock.Now(), backend)
}

// MarkLeaving notes that an endpoint is leaving, for the peers as well.
func (b *Scheduler) MarkLeaving(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.balancer.MarkLeaving(id)
	b.pending.Leaving = append(b.pending.Leaving, id)
}

// MarkRemoved notes that the entry of an endpoint was removed, for the peers.
func (b *Scheduler) MarkRemoved(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.pending.Gone = append(b.pending.Gone, id)
}

// take returns what happened since the last call.
func (b *Scheduler) take() news {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	for i := range b.pending.Sent {
		b.pending.Sent[i].Age = now - b.sentAt[i]
	}
	taken := b.pending
	b.pending = news{}
	b.sentAt = nil
	return taken
}

// hear takes in what happened at a peer.
func (b *Scheduler) hear(n news) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	for _, sent := range n.Sent {
		b.balancer.RecordRemoteJob(now, sent.Job, sent.Age)
	}
	for _, id := range n.First {
		b.balancer.RecordFirstToken(now, id)
	}
	for _, id := range n.Ended {
		b.balancer.RecordEnd(now, id, balance.Succeeded)
	}
	for _, id := range n.Leaving {
		b.balancer.MarkLeaving(id)
	}
}
