package broker

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/caller/request"
	"github.com/banyanshift/banyanshift/internal/config/entity"
	"github.com/banyanshift/banyanshift/internal/decide/cell"
)

// ErrClosed says that the scheduler was closed while a request waited.
var ErrClosed = errors.New("broker: closed")

// attempt is one wait for a grant and the grant itself.
type attempt struct {
	id      string
	req     *request.Request
	ask     cell.RunRequest
	key     CellKey
	began   clock.Millis
	answer  chan answer
	revoked chan struct{}
	// reason is why the grant was revoked, empty while it was not.
	reason cell.Reason
	grant  *request.Grant
	// granted is when the grant came, tokens what was generated since, and
	// pending the part of it that was not reported yet.
	granted clock.Millis
	tokens  int
	pending int
}

// answer ends the wait for a grant: one of the fields is set.
type answer struct {
	grant   *request.Grant
	refusal *request.Refusal
}

// progress is a number of tokens that an attempt generated.
type progress struct {
	ID     string
	Tokens int
}

// acquire announces a request and waits for its grant.
func (b *Broker) acquire(ctx context.Context, req *request.Request, exclude []string, resumed bool) (*request.Grant, error) {
	a := b.register(req, exclude, resumed)
	b.announceAttempt(a)
	waiting, stop := b.waitLimit(ctx, req)
	defer stop()
	select {
	case got := <-a.answer:
		if got.refusal != nil {
			return nil, got.refusal
		}
		return got.grant, nil
	case <-waiting.Done():
		b.abandon(a)
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		refusals.Add(string(request.CodeWaitedTooLong), 1)
		action := cell.Action{Code: request.CodeWaitedTooLong, RetryAfter: unansweredRetry}
		return nil, refusal(action, resumed)
	case <-b.ctx.Done():
		b.abandon(a)
		return nil, ErrClosed
	}
}

// unansweredAfter is how long beyond its own limit a request waits for an
// answer of the broker, and unansweredRetry when it may come back.
const (
	unansweredAfter = 2 * clock.Second
	unansweredRetry = 5 * clock.Second
)

// waitLimit returns a context that ends when the request has waited so long
// that its broker must have lost it.
func (b *Broker) waitLimit(ctx context.Context, req *request.Request) (waiting context.Context, stop context.CancelFunc) {
	if req.MaxWait <= 0 {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, (req.MaxWait + unansweredAfter).Duration())
}

// register makes an attempt known under a name of its own.
func (b *Broker) register(req *request.Request, exclude []string, resumed bool) *attempt {
	now := b.deps.Clock.Now()
	weight := 1
	if team, known := b.team(req.Team); known {
		weight = max(team.Weight, 1)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.number++
	a := &attempt{
		id:      fmt.Sprintf("%s~%d", req.ID, b.number),
		req:     req,
		key:     b.cellFor(req),
		began:   now,
		answer:  make(chan answer, 1),
		revoked: make(chan struct{}),
	}
	a.ask = cell.RunRequest{
		ID:           a.id,
		Entry:        b.config.Self,
		Team:         req.Team,
		Class:        req.Class,
		Tier:         req.Tier,
		Weight:       weight,
		PromptTokens: req.PromptTokens,
		Digests:      req.PrefixDigests,
		Exclude:      exclude,
		Target:       req.FirstTokenTarget,
		MaxWait:      req.MaxWait,
		RefuseEarly:  req.RefuseEarly,
		Repeatable:   req.Repeatable,
		Resumed:      resumed,
		Preemptions:  b.preemptions[req.ID].count,
	}
	b.attempts[a.id] = a
	b.active[a.key]++
	return a
}

func (b *Broker) team(name string) (entity.Team, bool) {
	if b.deps.Team == nil {
		return entity.Team{}, false
	}
	return b.deps.Team(name)
}

// asked returns the announcement of the attempt as it stands now.
func (a *attempt) asked(now clock.Millis) cell.RunRequest {
	ask := a.ask
	ask.Waited = now - a.began
	if a.req.Arrived > 0 && !ask.Resumed {
		ask.Waited = now - a.req.Arrived
	}
	return ask
}

// take carries out an action that a host in this daemon decided.
func (b *Broker) take(h *host, action cell.Action) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.current(h) {
		b.carryOut(h.key, action, b.config.Self, b.endpoints[action.Endpoint])
	}
}

// carryOut carries out an action. b.mu must be held.
func (b *Broker) carryOut(key CellKey, action cell.Action, source string, endpoint entity.Endpoint) {
	a, known := b.attempts[action.ID]
	if !known {
		if action.Kind != cell.Refuse {
			b.strays = append(b.strays, stray{id: action.ID, key: key})
		}
		return
	}
	switch action.Kind {
	case cell.Grant:
		b.granted(a, action, source, endpoint)
	case cell.Refuse:
		if a.grant == nil {
			b.forget(a)
			refusals.Add(string(action.Code), 1)
			a.answer <- answer{refusal: refusal(action, a.ask.Resumed)}
		}
	case cell.Preempt:
		if a.grant != nil && a.reason == "" && a.grant.Endpoint.ID == action.Endpoint {
			a.reason = action.Reason
			preempted.Add(string(action.Reason), 1)
			close(a.revoked)
		}
	}
}

func (b *Broker) granted(a *attempt, action cell.Action, source string, endpoint entity.Endpoint) {
	if a.grant != nil {
		return
	}
	if leaving, noted := b.leaving[endpoint.ID]; noted && leaving == endpoint.Incarnation {
		a.ask.Exclude = append(slices.Clone(a.ask.Exclude), endpoint.ID)
		b.rejected = append(b.rejected, a)
		return
	}
	a.grant = &request.Grant{
		RequestID:      a.req.ID,
		Endpoint:       endpoint,
		Broker:         source,
		EnginePriority: action.Priority,
	}
	a.granted = b.deps.Clock.Now()
	grantsTaken.Add(1)
	b.grants[a.grant] = a
	a.answer <- answer{grant: a.grant}
}

// stray is a grant of a request that is no longer here.
type stray struct {
	id  string
	key CellKey
}

// askAgain gives back the grants that could not be used: of requests that are
// no longer here, and of endpoints that leave, as this daemon knew before the
// broker. The latter ask again.
func (b *Broker) askAgain() {
	b.mu.Lock()
	rejected, strays := b.rejected, b.strays
	b.rejected, b.strays = nil, nil
	b.mu.Unlock()
	for _, s := range strays {
		b.sendCancel(s.key, s.id)
	}
	for _, a := range rejected {
		b.sendRelease(a, 0, cell.Outcome{Preempted: true})
		b.announceAttempt(a)
	}
}

// forget removes an attempt. b.mu must be held.
func (b *Broker) forget(a *attempt) {
	if _, known := b.attempts[a.id]; !known {
		return
	}
	delete(b.attempts, a.id)
	b.active[a.key]--
	if b.active[a.key] == 0 {
		delete(b.active, a.key)
	}
}

// refusal translates an action into the error for the caller. A request that
// ran before may have had an effect, so its refusal does not claim otherwise.
func refusal(action cell.Action, resumed bool) *request.Refusal {
	r := &request.Refusal{
		Status:     http.StatusServiceUnavailable,
		Code:       action.Code,
		Run:        request.RunNot,
		RetryAfter: action.RetryAfter,
	}
	if resumed {
		r.Run = request.RunUnknown
	}
	switch action.Code {
	case request.CodeTargetWouldBeMissed:
		r.Message = "The request would start too late for the target of its class."
	case request.CodeWaitedTooLong:
		r.Message = "The request waited longer than its class allows."
	case request.CodeNoEndpoint:
		r.Message = "No endpoint is available."
	default:
		r.Status = http.StatusTooManyRequests
		r.Message = "More requests are waiting than can be served."
	}
	return r
}

// abandon forgets an attempt whose caller has gone.
func (b *Broker) abandon(a *attempt) {
	b.mu.Lock()
	b.forget(a)
	if a.grant != nil {
		delete(b.grants, a.grant)
	}
	b.mu.Unlock()
	b.sendCancel(a.key, a.id)
}

// progress notes generated tokens; they are reported now and then.
func (b *Broker) progress(grant *request.Grant, tokens int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if a, known := b.grants[grant]; known {
		a.tokens += tokens
		a.pending += tokens
	}
}

// preempted returns the channel that is closed when the grant is revoked; a
// channel that is never closed for a grant that has been released.
func (b *Broker) preempted(grant *request.Grant) <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if a, known := b.grants[grant]; known {
		return a.revoked
	}
	return nil
}

// release ends a grant.
func (b *Broker) release(grant *request.Grant, outcome request.Outcome) {
	b.mu.Lock()
	a, known := b.grants[grant]
	if !known {
		b.mu.Unlock()
		return
	}
	delete(b.grants, grant)
	b.forget(a)
	pending := a.pending
	a.pending = 0
	b.notePreemption(a, outcome)
	b.mu.Unlock()
	b.sendRelease(a, pending, cell.Outcome{
		Failed:           outcome.Failed,
		Preempted:        outcome.Preempted,
		PromptTokens:     outcome.PromptTokens,
		OutputTokens:     outcome.OutputTokens,
		TimeToFirstToken: outcome.FirstToken,
	})
}

// notePreemption counts the preemptions of a request. b.mu must be held.
func (b *Broker) notePreemption(a *attempt, outcome request.Outcome) {
	if !outcome.Preempted {
		delete(b.preemptions, a.req.ID)
		return
	}
	noted := b.preemptions[a.req.ID]
	noted.seen = b.deps.Clock.Now()
	if a.reason == cell.HigherTier {
		noted.count++
	}
	b.preemptions[a.req.ID] = noted
}

// forgetPreemptionAfter is how long a preempted request is remembered that
// did not come back.
const forgetPreemptionAfter = 10 * clock.Minute

func (b *Broker) forgetPreemptions(now clock.Millis) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, noted := range b.preemptions {
		if now-noted.seen > forgetPreemptionAfter {
			delete(b.preemptions, id)
		}
	}
}

// flushProgress reports the tokens that were generated since the last time.
func (b *Broker) flushProgress() {
	batches := make(map[CellKey][]progress)
	b.mu.Lock()
	for _, a := range b.grants {
		if a.pending > 0 {
			batches[a.key] = append(batches[a.key], progress{ID: a.id, Tokens: a.pending})
			a.pending = 0
		}
	}
	b.mu.Unlock()
	for key, batch := range batches {
		b.sendProgress(key, batch)
	}
}
