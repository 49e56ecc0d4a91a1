package engine

import (
	"context"
	"slices"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/standin/record"
)

// sequence is one request inside the engine.
type sequence struct {
	prompt  string
	digests []uint64
	length  int
	// nextToken is the index of the next token to produce.
	nextToken int
	arrival   uint64
	// resumedTokens is how many tokens of the answer the caller already has.
	resumedTokens int
	// tokens carries the indices of produced tokens to the handler. Its buffer
	// fits the whole answer, so that a slow reader never delays the batch.
	tokens chan int
	run    *record.Run
	fault  answerFault
}

// answerFault describes how the answer to one request is corrupted. Its indices are
// -1 when the fault does not apply.
type answerFault struct {
	cross      bool
	truncateAt int
	repeatAt   int
	pause      clock.Millis
}

// finish records the final state and closes the token channel. The caller holds
// engine.mu.
func (s *sequence) finish(end record.RunState, now clock.Millis) {
	s.run.End = end
	s.run.Ended = now
	close(s.tokens)
}

func (s *sequence) kvTokens() int {
	return s.run.PromptTokens + s.nextToken
}

// run produces one token for each running request in every step.
func (e *engine) run() {
	// owedMicros is the step time not slept yet; negative after a long sleep.
	var owedMicros int64
	for {
		prefill, batch := e.admit()
		if batch == 0 {
			if e.waitForWork() != nil {
				return
			}
			continue
		}
		owedMicros += e.stepMicros(prefill, batch)
		sleepStart := e.clock.Now()
		if e.clock.Sleep(e.ctx, clock.Millis(owedMicros/1000)) != nil {
			return
		}
		// Carry the timer's error into the next step, so that the average step
		// time is right whatever the precision of the timer.
		owedMicros = max(owedMicros-int64(e.clock.Now()-sleepStart)*1000, -1000*int64(clock.Second))
		e.produceTokens()
	}
}

func (e *engine) waitForWork() error {
	select {
	case <-e.wake:
		return nil
	case <-e.ctx.Done():
		return e.ctx.Err()
	}
}

// stepMicros returns the duration of a step that processes prefill prompt
// tokens and produces one token for each of batch requests.
func (e *engine) stepMicros(prefill, batch int) int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	micros := e.config.StepMicros + e.config.StepMicrosPerRequest*int64(batch)
	micros += e.config.PrefillMicrosPerToken * int64(prefill)
	if e.fault.Straggle > 0 {
		micros = int64(float64(micros) * e.fault.Straggle)
	}
	e.tokensPerSecond = float64(batch) * 1e6 / float64(max(micros, 1))
	return micros
}

// admit moves waiting requests into the batch, smallest priority number first.
// It returns how many prompt tokens need prefill and how many requests run.
func (e *engine) admit() (prefill, batch int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for len(e.waiting) > 0 && len(e.running) < e.spec.Slots {
		next := slices.MinFunc(e.waiting, comparePriority)
		if e.kvUsed+next.kvTokens() > e.config.KVTokens && len(e.running) > 0 {
			break
		}
		e.waiting = remove(e.waiting, next)
		e.running = append(e.running, next)
		e.kvUsed += next.kvTokens()
		prefill += e.prefillTokens(next)
		next.run.Started = e.clock.Wall()
	}
	return prefill, len(e.running)
}

// prefillTokens returns how many tokens of s need prefill, and adds its prefix
// to the cache. The caller holds e.mu.
func (e *engine) prefillTokens(s *sequence) int {
	if e.imported[s.run.RequestID] {
		delete(e.imported, s.run.RequestID)
		s.run.CachedTokens = s.run.PromptTokens + s.resumedTokens
		return 0
	}
	s.run.CachedTokens = e.cache.lookUpAndAdd(s.digests) * blockTokens
	return s.run.PromptTokens + s.resumedTokens - s.run.CachedTokens
}

func comparePriority(a, b *sequence) int {
	if a.run.Priority != b.run.Priority {
		return a.run.Priority - b.run.Priority
	}
	return int(a.arrival) - int(b.arrival)
}

func remove(from []*sequence, s *sequence) []*sequence {
	return slices.DeleteFunc(from, func(other *sequence) bool { return other == s })
}

func (e *engine) produceTokens() {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Wall()
	for _, s := range slices.Clone(e.running) {
		s.tokens <- s.nextToken
		s.nextToken++
		s.run.Tokens++
		if s.run.FirstTokenAt == 0 {
			s.run.FirstTokenAt = now
		}
		e.kvUsed++
		if s.nextToken >= s.length {
			e.removeFromBatch(s)
			s.finish(record.Finished, now)
		}
	}
}

// removeFromBatch frees the slot and the KV cache of s. The caller holds e.mu.
func (e *engine) removeFromBatch(s *sequence) {
	e.running = remove(e.running, s)
	e.kvUsed -= s.kvTokens()
}

// enqueue adds s to the queue and reports whether it did. It refuses s when the
// queue is full or the engine is closed.
func (e *engine) enqueue(s *sequence) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.runs = append(e.runs, s.run)
	if e.closed || len(e.waiting) >= e.config.MaxWaiting {
		s.run.End = record.Refused
		return false
	}
	e.arrivals++
	s.arrival = e.arrivals
	s.fault = e.drawFault(s)
	s.run.Spoilt = s.fault.cross || s.fault.truncateAt >= 0
	e.waiting = append(e.waiting, s)
	select {
	case e.wake <- struct{}{}:
	default:
	}
	return true
}

// drawFault decides at random how the answer to s is corrupted. The caller
// holds e.mu.
func (e *engine) drawFault(s *sequence) answerFault {
	result := answerFault{truncateAt: -1, repeatAt: -1}
	result.cross = e.random.Float64() < e.fault.Cross
	if e.random.Float64() < e.fault.Truncate {
		result.truncateAt = s.nextToken + e.random.IntN(max(1, s.length-s.nextToken))
	}
	if e.random.Float64() < e.fault.Duplicate {
		result.repeatAt = s.nextToken + e.random.IntN(max(1, s.length-s.nextToken))
	}
	if e.random.Float64() < e.fault.Late {
		result.pause = e.fault.LateBy
	}
	return result
}

// cancelSequence removes s from the queue or the batch and marks it cancelled.
// It does nothing when s has finished.
func (e *engine) cancelSequence(s *sequence) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case slices.Contains(e.running, s):
		e.removeFromBatch(s)
	case slices.Contains(e.waiting, s):
		e.waiting = remove(e.waiting, s)
	default:
		return
	}
	s.finish(record.Cancelled, e.clock.Wall())
}

func (e *engine) findSequence(requestID string) *sequence {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range append(slices.Clone(e.running), e.waiting...) {
		if s.run.RequestID == requestID {
			return s
		}
	}
	return nil
}

// otherRunning returns another request of the batch, or s if there is none. A
// crossed answer is the answer to that request.
func (e *engine) otherRunning(s *sequence) *sequence {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, other := range e.running {
		if other != s {
			return other
		}
	}
	return s
}

func (e *engine) loadWeights(ctx context.Context) error {
	return loadWeights(ctx, e.config, e.spec.Model)
}
