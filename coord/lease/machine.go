package lease

import (
	"math/rand/v2"

	"github.com/banyanshift/banyanshift/coord/clock"
)

// Row is the value of the lease's row in the table. The row is never deleted,
// so that the fence never goes back.
type Row struct {
	// Holder names the process that holds the lease; empty after a release.
	Holder string
	// Fence grows by one with every change of holder.
	Fence uint64
	// Beat grows with every write of the row.
	Beat uint64
}

// Kind says what an Action asks for.
type Kind int

// The kinds of action.
const (
	// Wait asks to call Next again at the instant Until.
	Wait Kind = iota
	// Read asks to read the row and to report it with OnRead or OnReadFailed.
	Read
	// Write asks to write Row on condition that the version of the row is
	// Version, and to report the result with OnWrite.
	Write
)

// Action is what a Machine wants done next.
type Action struct {
	Kind    Kind
	Until   clock.Millis
	Row     Row
	Version uint64
}

// Result is what became of a write.
type Result int

// The results of a write.
const (
	// Written says that the row was written.
	Written Result = iota
	// Conflicted says that the row has another version.
	Conflicted
	// NotWritten says that nothing was written, for other reasons.
	NotWritten
	// Unknown says that the row may have been written or may yet be.
	Unknown
)

// Parts of the TTL.
const (
	// renewalsPerTTL is how often the holder renews, and a candidate reads.
	renewalsPerTTL = 3
	// retriesPerTTL is how often a failed call is tried again.
	retriesPerTTL = 12
	// marginPart is the part of the TTL by which the holder counts less than
	// the candidates, for clocks that run at different rates.
	marginPart = 20
)

// Machine is the state machine of one process that competes for a lease. It is
// pure: instants of the process's own clock go in and actions come out. After
// each action that is not a Wait its outcome must be reported before Next is
// called again.
type Machine struct {
	self string
	ttl  clock.Millis
	rng  *rand.Rand

	// seen is the row as last read or written, at version, and since is when
	// it was first known to stand like that.
	seen    Row
	version uint64
	since   clock.Millis
	known   bool

	// attempts holds when each write of this machine was sent, by its beat,
	// until the row tells which of them took effect.
	attempts map[uint64]clock.Millis
	// lastBeat is the beat of the last write. Every write has its own beat,
	// so that a write that lands late is not taken for a later one.
	lastBeat uint64
	// renewed is when the renewal that counts was sent.
	renewed clock.Millis
	held    bool

	// mustRead says that the row has to be read before it is written.
	mustRead bool
	next     clock.Millis
	resigned bool
}

// NewMachine returns the machine of the process self, whose name must be
// unique to this run of the process. rng spreads the reads of candidates.
func NewMachine(self string, ttl clock.Millis, rng *rand.Rand) *Machine {
	return &Machine{
		self:     self,
		ttl:      ttl,
		rng:      rng,
		attempts: make(map[uint64]clock.Millis),
		mustRead: true,
	}
}

// Valid reports whether this process holds the lease at the instant now, with
// the fence and the instant until which it does.
func (m *Machine) Valid(now clock.Millis) (fence uint64, until clock.Millis, ok bool) {
	until = m.renewed + m.ttl - m.ttl/marginPart
	if !m.held || m.resigned || now >= until {
		return 0, 0, false
	}
	return m.seen.Fence, until, true
}

// LastSeen returns the row as last seen.
func (m *Machine) LastSeen() Row {
	return m.seen
}

// Resign gives the lease up: from now on it is not valid, and Next asks to
// release it if it is held.
func (m *Machine) Resign() {
	m.resigned = true
}

// RequestRead makes the next action due now, if this process is a candidate.
func (m *Machine) RequestRead() {
	if !m.held {
		m.next = 0
	}
}

// Next returns what to do at the instant now.
func (m *Machine) Next(now clock.Millis) Action {
	if m.resigned {
		return m.nextRelease(now)
	}
	if now < m.next {
		return Action{Kind: Wait, Until: m.next}
	}
	if m.mustRead {
		return Action{Kind: Read}
	}
	switch {
	case m.held:
		return m.write(now, m.self, m.seen.Fence)
	case m.seen.Holder == "" || now-m.since >= m.ttl:
		return m.write(now, m.self, m.seen.Fence+1)
	}
	return Action{Kind: Read}
}

// nextRelease writes an empty holder if the lease is held.
func (m *Machine) nextRelease(now clock.Millis) Action {
	switch {
	case !m.held:
		return Action{Kind: Wait, Until: now + m.ttl}
	case m.mustRead:
		return Action{Kind: Read}
	}
	m.held = false
	return m.write(now, "", m.seen.Fence)
}

// Released reports whether a resigned machine has nothing left to do.
func (m *Machine) Released() bool {
	return m.resigned && !m.held
}

func (m *Machine) write(now clock.Millis, holder string, fence uint64) Action {
	m.lastBeat = max(m.lastBeat, m.seen.Beat) + 1
	m.attempts[m.lastBeat] = now
	return Action{Kind: Write, Row: Row{Holder: holder, Fence: fence, Beat: m.lastBeat}, Version: m.version}
}

// OnRead reports the row, as an answer that came at the instant now.
func (m *Machine) OnRead(now clock.Millis, row Row, version uint64) {
	m.mustRead = false
	if !m.known || version != m.version {
		m.known = true
		m.seen = row
		m.version = version
		m.since = now
		m.adopt()
	}
	m.schedule(now)
}

// adopt finds out what the row that was read means for this process.
func (m *Machine) adopt() {
	if m.seen.Holder != m.self {
		m.held = false
		m.attempts = make(map[uint64]clock.Millis)
		return
	}
	sent, own := m.attempts[m.seen.Beat]
	if !own {
		return
	}
	m.held = true
	m.renewed = max(m.renewed, sent)
	m.forgetUpTo(m.seen.Beat)
}

func (m *Machine) forgetUpTo(beat uint64) {
	for attempt := range m.attempts {
		if attempt <= beat {
			delete(m.attempts, attempt)
		}
	}
}

// schedule plans the next step after a row was seen.
func (m *Machine) schedule(now clock.Millis) {
	interval := m.ttl / renewalsPerTTL
	switch {
	case m.held:
		m.next = m.renewed + interval
	case m.seen.Holder == "":
		m.next = now
	default:
		// A candidate reads again at intervals, and when the TTL is over.
		m.next = min(now+interval, max(m.since+m.ttl, now))
		m.next += clock.Millis(m.rng.Int64N(int64(interval/2) + 1))
	}
}

// OnReadFailed reports that the row could not be read.
func (m *Machine) OnReadFailed(now clock.Millis) {
	m.next = now + m.retryDelay()
}

func (m *Machine) retryDelay() clock.Millis {
	delay := m.ttl / retriesPerTTL
	return delay/2 + clock.Millis(m.rng.Int64N(int64(delay)+1))
}

// OnWrite reports the result of the write of row, known at the instant now.
// The row is read before the next write, since its new version is not known.
func (m *Machine) OnWrite(now clock.Millis, row Row, result Result) {
	switch result {
	case Written:
		m.onWritten(row)
	case NotWritten:
		delete(m.attempts, row.Beat)
		m.next = now + m.retryDelay()
	case Conflicted:
		delete(m.attempts, row.Beat)
		m.mustRead = true
		m.next = now
	case Unknown:
		m.mustRead = true
		m.next = now
	}
}

func (m *Machine) onWritten(row Row) {
	m.seen = row
	m.known = false
	m.mustRead = true
	if row.Holder == m.self {
		m.held = true
		m.renewed = max(m.renewed, m.attempts[row.Beat])
		m.next = m.renewed + m.ttl/renewalsPerTTL
	}
	m.forgetUpTo(row.Beat)
}
