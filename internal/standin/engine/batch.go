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
	// next is the index of the next token to produce.
	next    int
	arrival uint64
	// resumed is how many tokens of the answer came with the request.
	resumed int
	// tokens carries the indices of produced tokens to the handler. It holds
	// the whole answer, so that a slow reader never delays the batch.
	tokens chan int
	run    *record.Run
	fate   fate
}

// fate is how the answer is spoilt, if at all.
type fate struct {
	cross      bool
	truncateAt int
	repeatAt   int
	pause      clock.Millis
}

// finish ends the sequence. The lock of the engine is held.
func (s *sequence) finish(end record.RunState, now clock.Millis) {
	s.run.End = end
	s.run.Ended = now
	close(s.tokens)
}

func (s *sequence) kv() int {
	return s.run.PromptTokens + s.next
}

// run produces one token for each running request in every step.
func (e *engine) run() {
	var owed int64
	for {
		prefill, batch := e.admit()
		if batch == 0 {
			if e.rest() != nil {
				return
			}
			continue
		}
		owed += e.stepMicros(prefill, batch)
		before := e.clock.Now()
		if e.clock.Sleep(e.ctx, clock.Millis(owed/1000)) != nil {
			return
		}
		// Keep to the pace on average, whatever the timer's precision.
		owed = max(owed-int64(e.clock.Now()-before)*1000, -1000*int64(clock.Second))
		e.step()
	}
}

func (e *engine) rest() error {
	select {
	case <-e.wake:
		return nil
	case <-e.ctx.Done():
		return e.ctx.Err()
	}
}

// stepMicros returns the time of a step that reads prefill tokens.
func (e *engine) stepMicros(prefill, batch int) int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	micros := e.config.StepMicros + e.config.StepMicrosPerRequest*int64(batch)
	micros += e.config.PrefillMicrosPerToken * int64(prefill)
	if e.fault.Straggle > 0 {
		micros = int64(float64(micros) * e.fault.Straggle)
	}
	e.rate = float64(batch) * 1e6 / float64(max(micros, 1))
	return micros
}

// admit moves waiting requests into the batch, smallest priority first, and
// returns how many prompt tokens have to be read and how many requests run.
func (e *engine) admit() (prefill, batch int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for len(e.waiting) > 0 && len(e.running) < e.spec.Slots {
		next := slices.MinFunc(e.waiting, before)
		if e.kvUsed+next.kv() > e.config.KVTokens && len(e.running) > 0 {
			break
		}
		e.waiting = remove(e.waiting, next)
		e.running = append(e.running, next)
		e.kvUsed += next.kv()
		prefill += e.prefill(next)
		next.run.Started = e.clock.Wall()
	}
	return prefill, len(e.running)
}

// prefill returns how many tokens of s have to be read. The lock is held.
func (e *engine) prefill(s *sequence) int {
	if e.imported[s.run.RequestID] {
		delete(e.imported, s.run.RequestID)
		s.run.CachedTokens = s.run.PromptTokens + s.resumed
		return 0
	}
	s.run.CachedTokens = e.cache.use(s.digests) * blockTokens
	return s.run.PromptTokens + s.resumed - s.run.CachedTokens
}

func before(a, b *sequence) int {
	if a.run.Priority != b.run.Priority {
		return a.run.Priority - b.run.Priority
	}
	return int(a.arrival) - int(b.arrival)
}

func remove(from []*sequence, s *sequence) []*sequence {
	return slices.DeleteFunc(from, func(other *sequence) bool { return other == s })
}

func (e *engine) step() {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Wall()
	for _, s := range slices.Clone(e.running) {
		s.tokens <- s.next
		s.next++
		s.run.Tokens++
		if s.run.FirstTokenAt == 0 {
			s.run.FirstTokenAt = now
		}
		e.kvUsed++
		if s.next >= s.length {
			e.leaveBatch(s)
			s.finish(record.Finished, now)
		}
	}
}

// leaveBatch frees the place of s. The lock is held.
func (e *engine) leaveBatch(s *sequence) {
	e.running = remove(e.running, s)
	e.kvUsed -= s.kv()
}

// enqueue adds s unless the engine is full or closed.
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
	s.fate = e.draw(s)
	s.run.Spoilt = s.fate.cross || s.fate.truncateAt >= 0
	e.waiting = append(e.waiting, s)
	select {
	case e.wake <- struct{}{}:
	default:
	}
	return true
}

// draw decides how the answer is spoilt. The lock is held.
func (e *engine) draw(s *sequence) fate {
	result := fate{truncateAt: -1, repeatAt: -1}
	result.cross = e.random.Float64() < e.fault.Cross
	if e.random.Float64() < e.fault.Truncate {
		result.truncateAt = s.next + e.random.IntN(max(1, s.length-s.next))
	}
	if e.random.Float64() < e.fault.Duplicate {
		result.repeatAt = s.next + e.random.IntN(max(1, s.length-s.next))
	}
	if e.random.Float64() < e.fault.Late {
		result.pause = e.fault.LateBy
	}
	return result
}

// abandon takes s out if it is still there.
func (e *engine) abandon(s *sequence) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case slices.Contains(e.running, s):
		e.leaveBatch(s)
	case slices.Contains(e.waiting, s):
		e.waiting = remove(e.waiting, s)
	default:
		return
	}
	s.finish(record.Cancelled, e.clock.Wall())
}

func (e *engine) find(requestID string) *sequence {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range append(slices.Clone(e.running), e.waiting...) {
		if s.run.RequestID == requestID {
			return s
		}
	}
	return nil
}

// crossed returns another request whose answer is sent in place of s's.
func (e *engine) crossed(s *sequence) *sequence {
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
