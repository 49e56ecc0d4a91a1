package claim

import "github.com/banyanshift/banyanshift/coord/table"

// Finish records that the work of a claim ended with answer. It returns
// immediately; the write is retried in the background until the table confirms
// it. Until then this process sees the claim as Completed, others as Claimed.
func (s *Store) Finish(claim Claim, answer []byte) {
	if !s.KeepsAnswer(len(answer)) {
		s.FinishWithoutAnswer(claim)
		return
	}
	record := claim.Record
	record.State = Completed
	record.Answer = answer
	s.writeFinal(claim, record)
}

// KeepsAnswer reports whether an answer of a length is short enough to be kept.
func (s *Store) KeepsAnswer(bytes int) bool {
	return bytes <= s.cfg.MaxAnswerBytes
}

// FinishWithoutAnswer is like Finish for an answer that is not kept.
func (s *Store) FinishWithoutAnswer(claim Claim) {
	record := claim.Record
	record.State = Completed
	record.AnswerDropped = true
	s.writeFinal(claim, record)
}

// MarkLost records that the work of a claim was started and that its outcome
// will never be known.
func (s *Store) MarkLost(claim Claim) {
	record := claim.Record
	record.State = Lost
	s.writeFinal(claim, record)
}

// Release frees the key of a claim. The caller must not have started the work.
func (s *Store) Release(claim Claim) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if held, found := s.local[claim.row]; found {
		held.releasing = true
	}
	s.pendingReleases++
	s.backgroundWrites.Add(1)
	record := claim.Record
	record.State = Released
	go release{store: s, claim: claim, record: record}.run()
}

func (s *Store) writeFinal(claim Claim, record Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pendingBytes+len(record.Answer) > s.cfg.MaxPendingBytes {
		record.Answer = nil
		record.AnswerDropped = true
	}
	s.pendingBytes += len(record.Answer)
	if held, found := s.local[claim.row]; found {
		held.record = record
	}
	s.backgroundWrites.Add(1)
	go finalWrite{store: s, claim: claim, record: record}.run()
}

// finalWrite writes the final record of a claim. The write needs no condition:
// only the owner changes the row of a claim until the Cleaner deletes it, and
// the write is idempotent.
type finalWrite struct {
	store  *Store
	claim  Claim
	record Record
}

func (e finalWrite) run() {
	s := e.store
	defer s.backgroundWrites.Done()
	defer e.unregister()
	delay := s.cfg.RetryDelay
	for s.background.Err() == nil {
		outcome := s.batcher.submit(s.background, &operation{
			write: table.Write{Key: e.claim.row, Value: encode(e.record)},
		})
		if outcome == Committed {
			return
		}
		if s.cfg.Clock.Sleep(s.background, delay) != nil {
			return
		}
		delay = min(2*delay, maxBackgroundDelay)
	}
}

func (e finalWrite) unregister() {
	e.store.mu.Lock()
	defer e.store.mu.Unlock()
	e.store.pendingBytes -= len(e.record.Answer)
	delete(e.store.local, e.claim.row)
}

// release writes the tombstone of a claim. Unlike a finalWrite it is
// conditional: once it has taken effect, other processes may claim the row, and
// a repeated release must not undo their claim.
type release struct {
	store  *Store
	claim  Claim
	record Record
}

func (r release) run() {
	s := r.store
	defer s.backgroundWrites.Done()
	defer r.unregister()
	select {
	case s.releaseSlots <- struct{}{}:
	case <-s.background.Done():
		return
	}
	defer func() { <-s.releaseSlots }()
	s.runAttempt(s.background, r.claim.row, NewAttempt(r.record), maxBackgroundDelay)
}

func (r release) unregister() {
	r.store.mu.Lock()
	defer r.store.mu.Unlock()
	r.store.pendingReleases--
	delete(r.store.local, r.claim.row)
}
