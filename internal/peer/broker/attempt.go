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

// ErrClosed is returned to requests that wait for a grant when the scheduler
// closes.
var ErrClosed = errors.New("broker: closed")

// attempt is a request's wait for a grant and, once granted, the grant itself.
// A request that runs again gets a new attempt.
type attempt struct {
	id           string
	req          *request.Request
	runRequest   cell.RunRequest
	key          CellKey
	registeredAt clock.Millis
	result       chan grantResult
	revoked      chan struct{}
	// revokeReason is why the grant was revoked; empty while it is valid.
	revokeReason cell.Reason
	grant        *request.Grant
	// grantedAt is when the grant arrived. tokens counts the tokens generated
	// since then, unreportedTokens those not yet reported to the broker.
	grantedAt        clock.Millis
	tokens           int
	unreportedTokens int
}

// grantResult ends the wait for a grant. Exactly one field is set.
type grantResult struct {
	grant   *request.Grant
	refusal *request.Refusal
}

// tokenProgress is the number of tokens that an attempt generated since the
// last report.
type tokenProgress struct {
	ID     string
	Tokens int
}

// acquire submits a request to the scheduler of its cell and waits for the
// grant.
func (b *Broker) acquire(ctx context.Context, req *request.Request, exclude []string, resumed bool) (*request.Grant, error) {
	a := b.register(req, exclude, resumed)
	b.announceAttempt(a)
	waiting, stop := b.waitLimit(ctx, req)
	defer stop()
	select {
	case result := <-a.result:
		if result.refusal != nil {
			return nil, result.refusal
		}
		return result.grant, nil
	case <-waiting.Done():
		b.abandonAttempt(a)
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		refusalCount.Add(string(request.CodeWaitedTooLong), 1)
		action := cell.Action{Code: request.CodeWaitedTooLong, RetryAfter: unansweredRetryAfter}
		return nil, newRefusal(action, resumed)
	case <-b.ctx.Done():
		b.abandonAttempt(a)
		return nil, ErrClosed
	}
}

// replyGracePeriod is how long a request waits for the broker beyond its own
// maximum wait. After that it is refused with unansweredRetryAfter as the time
// until the caller may retry.
const (
	replyGracePeriod     = 2 * clock.Second
	unansweredRetryAfter = 5 * clock.Second
)

// waitLimit returns a context that expires replyGracePeriod after the request's
// maximum wait. A broker that has not answered by then must have lost the
// request.
func (b *Broker) waitLimit(ctx context.Context, req *request.Request) (waiting context.Context, stop context.CancelFunc) {
	if req.MaxWait <= 0 {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, (req.MaxWait + replyGracePeriod).Duration())
}

// register creates an attempt with a unique ID and adds it to the attempts of
// its cell.
func (b *Broker) register(req *request.Request, exclude []string, resumed bool) *attempt {
	now := b.deps.Clock.Now()
	weight := 1
	if team, known := b.team(req.Team); known {
		weight = max(team.Weight, 1)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lastNumber++
	a := &attempt{
		id:           fmt.Sprintf("%s~%d", req.ID, b.lastNumber),
		req:          req,
		key:          b.cellFor(req),
		registeredAt: now,
		result:       make(chan grantResult, 1),
		revoked:      make(chan struct{}),
	}
	a.runRequest = cell.RunRequest{
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
	b.attemptCounts[a.key]++
	return a
}

func (b *Broker) team(name string) (entity.Team, bool) {
	if b.deps.Team == nil {
		return entity.Team{}, false
	}
	return b.deps.Team(name)
}

// currentRunRequest returns the run request for the cell with Waited updated to
// now.
func (a *attempt) currentRunRequest(now clock.Millis) cell.RunRequest {
	runReq := a.runRequest
	runReq.Waited = now - a.registeredAt
	if a.req.Arrived > 0 && !runReq.Resumed {
		runReq.Waited = now - a.req.Arrived
	}
	return runReq
}

// applyLocalAction applies an action that a host in this daemon decided. It
// ignores hosts that no longer schedule for the cell.
func (b *Broker) applyLocalAction(h *cellHost, action cell.Action) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.isActiveHost(h) {
		b.applyAction(h.key, action, b.config.Self, b.endpointsByID[action.Endpoint])
	}
}

// applyAction applies an action to its attempt. b.mu must be held.
func (b *Broker) applyAction(key CellKey, action cell.Action, source string, endpoint entity.Endpoint) {
	a, known := b.attempts[action.ID]
	if !known {
		if action.Kind != cell.Refuse {
			b.orphanedGrants = append(b.orphanedGrants, orphanedGrant{id: action.ID, key: key})
		}
		return
	}
	switch action.Kind {
	case cell.Grant:
		b.applyGrant(a, action, source, endpoint)
	case cell.Refuse:
		if a.grant == nil {
			b.removeAttempt(a)
			refusalCount.Add(string(action.Code), 1)
			a.result <- grantResult{refusal: newRefusal(action, a.runRequest.Resumed)}
		}
	case cell.Preempt:
		if a.grant != nil && a.revokeReason == "" && a.grant.Endpoint.ID == action.Endpoint {
			a.revokeReason = action.Reason
			preemptionCount.Add(string(action.Reason), 1)
			close(a.revoked)
		}
	}
}

func (b *Broker) applyGrant(a *attempt, action cell.Action, source string, endpoint entity.Endpoint) {
	if a.grant != nil {
		return
	}
	if leaving, found := b.leavingIncarnations[endpoint.ID]; found && leaving == endpoint.Incarnation {
		a.runRequest.Exclude = append(slices.Clone(a.runRequest.Exclude), endpoint.ID)
		b.rejectedAttempts = append(b.rejectedAttempts, a)
		return
	}
	a.grant = &request.Grant{
		RequestID:      a.req.ID,
		Endpoint:       endpoint,
		Broker:         source,
		EnginePriority: action.Priority,
	}
	a.grantedAt = b.deps.Clock.Now()
	grantCount.Add(1)
	b.grants[a.grant] = a
	a.result <- grantResult{grant: a.grant}
}

// orphanedGrant is a grant for an attempt that no longer exists.
type orphanedGrant struct {
	id  string
	key CellKey
}

// returnUnusableGrants gives back grants whose attempt no longer exists, and
// grants on endpoints that this daemon already knew to be leaving when the
// broker did not. The attempts of the latter are submitted again.
func (b *Broker) returnUnusableGrants() {
	b.mu.Lock()
	rejected, orphanedGrants := b.rejectedAttempts, b.orphanedGrants
	b.rejectedAttempts, b.orphanedGrants = nil, nil
	b.mu.Unlock()
	for _, g := range orphanedGrants {
		b.sendCancel(g.key, g.id)
	}
	for _, a := range rejected {
		b.sendRelease(a, 0, cell.Outcome{Preempted: true})
		b.announceAttempt(a)
	}
}

// removeAttempt removes an attempt and lowers the count of its cell. b.mu must
// be held.
func (b *Broker) removeAttempt(a *attempt) {
	if _, known := b.attempts[a.id]; !known {
		return
	}
	delete(b.attempts, a.id)
	b.attemptCounts[a.key]--
	if b.attemptCounts[a.key] == 0 {
		delete(b.attemptCounts, a.key)
	}
}

// newRefusal converts a Refuse action into the error for the caller. A resumed
// request may already have had an effect, so its refusal reports RunUnknown
// instead of RunNot.
func newRefusal(action cell.Action, resumed bool) *request.Refusal {
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

// abandonAttempt removes an attempt whose wait has ended without a grant in
// use, and cancels it in its cell.
func (b *Broker) abandonAttempt(a *attempt) {
	b.mu.Lock()
	b.removeAttempt(a)
	if a.grant != nil {
		delete(b.grants, a.grant)
	}
	b.mu.Unlock()
	b.sendCancel(a.key, a.id)
}

// recordProgress counts generated tokens. flushProgress reports them
// periodically.
func (b *Broker) recordProgress(grant *request.Grant, tokens int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if a, known := b.grants[grant]; known {
		a.tokens += tokens
		a.unreportedTokens += tokens
	}
}

// revocation returns a channel that is closed when the grant is revoked. For a
// released grant it returns nil, which blocks forever.
func (b *Broker) revocation(grant *request.Grant) <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if a, known := b.grants[grant]; known {
		return a.revoked
	}
	return nil
}

// release ends a grant and reports its outcome to the cell.
func (b *Broker) release(grant *request.Grant, outcome request.Outcome) {
	b.mu.Lock()
	a, known := b.grants[grant]
	if !known {
		b.mu.Unlock()
		return
	}
	delete(b.grants, grant)
	b.removeAttempt(a)
	unreported := a.unreportedTokens
	a.unreportedTokens = 0
	b.recordPreemption(a, outcome)
	b.mu.Unlock()
	b.sendRelease(a, unreported, cell.Outcome{
		Failed:           outcome.Failed,
		Preempted:        outcome.Preempted,
		PromptTokens:     outcome.PromptTokens,
		OutputTokens:     outcome.OutputTokens,
		TimeToFirstToken: outcome.TimeToFirstToken,
	})
}

// recordPreemption counts how often a request was preempted for a higher tier.
// The count is deleted when the request ends otherwise. b.mu must be held.
func (b *Broker) recordPreemption(a *attempt, outcome request.Outcome) {
	if !outcome.Preempted {
		delete(b.preemptions, a.req.ID)
		return
	}
	record := b.preemptions[a.req.ID]
	record.lastSeen = b.deps.Clock.Now()
	if a.revokeReason == cell.HigherTier {
		record.count++
	}
	b.preemptions[a.req.ID] = record
}

// preemptionRecordTTL is how long the preemption count of a request is kept if
// the request is not submitted again.
const preemptionRecordTTL = 10 * clock.Minute

func (b *Broker) expirePreemptions(now clock.Millis) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, record := range b.preemptions {
		if now-record.lastSeen > preemptionRecordTTL {
			delete(b.preemptions, id)
		}
	}
}

// flushProgress reports the tokens generated since the last call to the cells.
func (b *Broker) flushProgress() {
	batches := make(map[CellKey][]tokenProgress)
	b.mu.Lock()
	for _, a := range b.grants {
		if a.unreportedTokens > 0 {
			batches[a.key] = append(batches[a.key], tokenProgress{ID: a.id, Tokens: a.unreportedTokens})
			a.unreportedTokens = 0
		}
	}
	b.mu.Unlock()
	for key, batch := range batches {
		b.sendProgress(key, batch)
	}
}
