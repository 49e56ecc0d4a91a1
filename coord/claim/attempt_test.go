package claim

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// simTable simulates one row. The answers of its transactions may be lost, and
// the transactions may be lost or arrive late.
type simTable struct {
	rng     *rand.Rand
	version uint64
	next    uint64
	record  Record
	late    []simWrite
}

type simWrite struct {
	conditional bool
	version     uint64
	record      Record
}

func (t *simTable) apply(write simWrite) bool {
	if write.conditional && write.version != t.version {
		return false
	}
	t.next++
	t.version, t.record = t.next, write.record
	return true
}

func (t *simTable) commit(write simWrite) CommitOutcome {
	switch t.rng.IntN(6) {
	case 0:
		return NotApplied
	case 1: // the answer is lost after the effect
		t.apply(write)
		return Unanswered
	case 2: // the transaction is lost
		return Unanswered
	case 3: // the transaction arrives late
		t.late = append(t.late, write)
		return Unanswered
	}
	if t.apply(write) {
		return Committed
	}
	return Conflicted
}

func (t *simTable) deliverLate() {
	if len(t.late) == 0 {
		return
	}
	i := t.rng.IntN(len(t.late))
	t.apply(t.late[i])
	t.late = append(t.late[:i], t.late[i+1:]...)
}

// simProcess simulates a request that tries to claim the row, runs if it wins,
// and ends its claim. It may crash at any step.
type simProcess struct {
	attempt   *Attempt
	action    Action
	releasing bool
	holding   bool
	finishing bool
	stopped   bool
	ran       bool
}

type sim struct {
	rng       *rand.Rand
	table     *simTable
	processes []*simProcess
	runs      int
	crashes   bool
}

func newSim(seed uint64, processes int, crashes bool) *sim {
	rng := rand.New(rand.NewPCG(seed, 1))
	s := &sim{rng: rng, table: &simTable{rng: rng}, crashes: crashes}
	for i := range processes {
		attempt := NewAttempt(Record{State: Claimed, Nonce: fmt.Sprint(i)})
		s.processes = append(s.processes, &simProcess{attempt: attempt, action: attempt.Start()})
	}
	return s
}

func (s *sim) step() {
	if s.rng.IntN(5) == 0 {
		s.table.deliverLate()
		return
	}
	p := s.processes[s.rng.IntN(len(s.processes))]
	switch {
	case p.stopped:
	case s.crashes && s.rng.IntN(40) == 0:
		p.stopped = true
	case p.finishing:
		p.stopped = s.table.commit(simWrite{record: s.final(p)}) == Committed
	case p.holding:
		s.useClaim(p)
	case p.action == ActionDone:
		s.settle(p)
	case !p.releasing && s.rng.IntN(10) == 0:
		s.giveUp(p)
	default:
		s.advance(p)
	}
}

func (s *sim) final(p *simProcess) Record {
	record := p.attempt.Record
	record.State = Completed
	return record
}

func (s *sim) advance(p *simProcess) {
	switch p.action {
	case ActionWrite:
		outcome := s.table.commit(simWrite{conditional: true, version: p.attempt.Version, record: p.attempt.Record})
		p.action = p.attempt.OnCommit(outcome)
	case ActionRead:
		if s.rng.IntN(4) == 0 {
			p.action = p.attempt.OnReadFailed()
			return
		}
		p.action = p.attempt.OnRow(s.table.version, s.table.record)
	default:
		p.action = p.attempt.Resume()
	}
}

func (s *sim) settle(p *simProcess) {
	if p.releasing || p.attempt.Verdict == Taken {
		p.stopped = true
		return
	}
	p.holding = true
}

func (s *sim) useClaim(p *simProcess) {
	p.holding = false
	if s.rng.IntN(3) == 0 { // no endpoint could be reached: not run
		s.release(p)
		return
	}
	s.runs++
	p.ran = true
	p.finishing = true
}

func (s *sim) giveUp(p *simProcess) {
	if p.attempt.OutcomeUnknown {
		s.release(p)
		return
	}
	p.stopped = true
}

func (s *sim) release(p *simProcess) {
	record := p.attempt.Record
	record.State = Released
	p.attempt = NewAttempt(record)
	p.action = p.attempt.Start()
	p.releasing = true
}

func (s *sim) settled() bool {
	for _, p := range s.processes {
		if !p.stopped {
			return false
		}
	}
	return len(s.table.late) == 0
}

func properties() *gopter.Properties {
	parameters := gopter.DefaultTestParametersWithSeed(20261203)
	parameters.MinSuccessfulTests = 3000
	return gopter.NewProperties(parameters)
}

func TestWorkRunsAtMostOnce(t *testing.T) {
	p := properties()
	p.Property("at most one run despite lost and late transactions and crashes", prop.ForAll(
		func(seed uint64, processes int) bool {
			s := newSim(seed, processes, true)
			for range 400 {
				s.step()
			}
			return s.runs <= 1
		}, gen.UInt64(), gen.IntRange(2, 6)))
	p.TestingRun(t)
}

func TestAbandonedClaimsAreReleased(t *testing.T) {
	p := properties()
	p.Property("without crashes no row stays claimed by a request that did not run", prop.ForAll(
		func(seed uint64, processes int) bool {
			s := newSim(seed, processes, false)
			for range 20000 {
				s.step()
				if s.settled() {
					break
				}
			}
			return s.settled() && s.runs <= 1 && (s.table.record.State != Claimed)
		}, gen.UInt64(), gen.IntRange(1, 5)))
	p.TestingRun(t)
}

func TestAttemptResolvesUnknownOutcomeByWritingAgain(t *testing.T) {
	attempt := NewAttempt(Record{State: Claimed, Nonce: "a"})
	if action := attempt.OnCommit(Unanswered); action != ActionRead || !attempt.OutcomeUnknown {
		t.Fatalf("after a lost answer: got action %d, outcome unknown %t, want ActionRead, true", action, attempt.OutcomeUnknown)
	}
	if action := attempt.OnRow(0, Record{}); action != ActionWrite || !attempt.OutcomeUnknown {
		t.Fatalf("after reading an absent row: got action %d, outcome unknown %t, want ActionWrite, true", action, attempt.OutcomeUnknown)
	}
	attempt.OnCommit(Conflicted)
	if action := attempt.OnRow(7, Record{State: Claimed, Nonce: "a"}); action != ActionDone || attempt.Verdict != Written {
		t.Fatalf("after reading its own nonce: got action %d, verdict %d, want ActionDone, Written", action, attempt.Verdict)
	}
}
