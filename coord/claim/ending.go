package claim

import "github.com/banyanshift/banyanshift/coord/table"

// Finish records that the work of a claim ended with answer. It returns at once;
// the record is written in the background until the table has confirmed it.
// Until then other processes see the claim as Claimed, this one as Completed.
func (s *Store) Finish(claim Claim, answer []byte) {
	record := claim.Record
	record.State = Completed
	record.Answer = answer
	if len(answer) > s.cfg.MaxAnswerBytes {
		record.Answer = nil
		record.AnswerDropped = true
	}
	s.end(claim, record)
}

// MarkLost records that the work of a claim was started and that its outcome will
// never be known.
func (s *Store) MarkLost(claim Claim) {
	record := claim.Record
	record.State = Lost
	s.end(claim, record)
}

// Release gives a claim back. The caller must not have started the work.
func (s *Store) Release(claim Claim) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if held, found := s.local[claim.row]; found {
		held.releasing = true
	}
	s.releases++
	s.endings.Add(1)
	record := claim.Record
	record.State = Released
	go release{store: s, claim: claim, record: record}.run()
}

func (s *Store) end(claim Claim, record Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pending+len(record.Answer) > s.cfg.MaxPendingBytes {
		record.Answer = nil
		record.AnswerDropped = true
	}
	s.pending += len(record.Answer)
	if held, found := s.local[claim.row]; found {
		held.record = record
	}
	s.endings.Add(1)
	go ending{store: s, claim: claim, record: record}.run()
}

// ending writes the final record of a claim. The write needs no condition: a
// row that was won is changed by nobody but its owner until it is cleaned away,
// and writing it twice changes nothing.
type ending struct {
	store  *Store
	claim  Claim
	record Record
}

func (e ending) run() {
	s := e.store
	defer s.endings.Done()
	defer e.forget()
	pause := s.cfg.RetryDelay
	for s.background.Err() == nil {
		outcome := s.batcher.do(s.background, &operation{
			write: table.Write{Key: e.claim.row, Value: encode(e.record)},
		})
		if outcome == Committed {
			return
		}
		if s.cfg.Clock.Sleep(s.background, pause) != nil {
			return
		}
		pause = min(2*pause, maxBackgroundPause)
	}
}

func (e ending) forget() {
	e.store.mu.Lock()
	defer e.store.mu.Unlock()
	e.store.pending -= len(e.record.Answer)
	delete(e.store.local, e.claim.row)
}

// release writes the tombstone of a claim. Unlike an ending it is conditional:
// once it has taken effect the row may be claimed by others, and a repeated
// release must not undo their claim.
type release struct {
	store  *Store
	claim  Claim
	record Record
}

func (r release) run() {
	s := r.store
	defer s.endings.Done()
	defer r.forget()
	select {
	case s.releaseSlots <- struct{}{}:
	case <-s.background.Done():
		return
	}
	defer func() { <-s.releaseSlots }()
	s.drive(s.background, r.claim.row, NewAttempt(r.record), maxBackgroundPause)
}

func (r release) forget() {
	r.store.mu.Lock()
	defer r.store.mu.Unlock()
	r.store.releases--
	delete(r.store.local, r.claim.row)
}
