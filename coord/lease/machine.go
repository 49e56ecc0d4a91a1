package lease

import (
	"math/rand/v2"

	"github.com/banyanshift/banyanshift/coord/clock"
)

// Row is the value of the lease's row in the table. The row is never deleted,
// so that the fence never decreases.
type Row struct {
	// Holder identifies the process that holds the lease; empty after a
	// release.
	Holder string
	// Fence increases each time a candidate takes over the lease.
	Fence uint64
	// Beat increases with every write of the row.
	Beat uint64
}

// Kind is the kind of an Action.
type Kind int

// The kinds of action.
const (
	// Wait means to call Next again at the instant Until.
	Wait Kind = iota
	// Read means to read the row and report it to OnRead or OnReadFailed.
	Read
	// Write means to write Row on condition that the row has Version, and to
	// report the result to OnWrite.
	Write
)

// Action is the next step that a Machine requires of its caller.
type Action struct {
	Kind  Kind
	Until clock.Millis
	Row   Row
	Stored
}

// Stored identifies a state of the row. Versions are given out again when the table
// comes back from a copy, in a later era.
type Stored struct {
	Version uint64
	Era     uint64
}

// Result is the result of a write.
type Result int

// The results of a write.
const (
	// Written means that the row was written.
	Written Result = iota
	// Conflicted means that the row has another version and was not written.
	Conflicted
	// NotWritten means that the row was not written for another reason.
	NotWritten
	// Unknown means that the row may have been written or may still be.
	Unknown
	// EraChanged means that the row may have been written, on condition of a version
	// that the table has given out again.
	EraChanged
)

// Intervals and the margin, as divisors of the TTL.
const (
	// renewalsPerTTL is how often the holder renews the row and a candidate
	// reads it during one TTL.
	renewalsPerTTL = 3
	// retriesPerTTL is how often a failed call is retried during one TTL.
	retriesPerTTL = 12
	// marginDivisor sets the margin for clocks that run at different rates:
	// the holder's validity is TTL/marginDivisor shorter than the TTL for
	// which candidates wait.
	marginDivisor = 20
)

// fencesPerEra is the number of fences that each era of the table has for itself.
const fencesPerEra = 1 << 16

// Machine is the state machine of one process that competes for a lease. It
// does no I/O and reads no clock: the caller passes instants of the process's
// own clock and performs the actions. The result of each Read or Write must be
// reported before Next is called again.
type Machine struct {
	self string
	ttl  clock.Millis
	rng  *rand.Rand

	// seen is the row as last read or written. stored is its state when it was last
	// read, and unchangedSince is the instant at which that version
	// was first read.
	seen           Row
	stored         Stored
	unchangedSince clock.Millis
	versionKnown   bool
	// highestFence is the highest fence that this or another process has seen. It is
	// above that of the row after the table came back from a copy.
	highestFence uint64

	// sentAt maps the beat of each write of this machine to the instant at
	// which it was sent, until the row shows which of them took effect.
	sentAt map[uint64]clock.Millis
	// lastBeat is the beat of the last write. Every write has a unique beat,
	// so that a delayed write is not mistaken for a later one.
	lastBeat uint64
	// renewedAt is when the latest confirmed renewal was sent.
	renewedAt clock.Millis
	held      bool

	// mustRead means that the row must be read before it is written.
	mustRead bool
	nextAt   clock.Millis
	resigned bool
}

// NewMachine returns the machine of the process self, whose name must be
// unique to this run of the process. rng adds jitter to the reads of candidates
// and to retries.
func NewMachine(self string, ttl clock.Millis, rng *rand.Rand) *Machine {
	return &Machine{
		self:     self,
		ttl:      ttl,
		rng:      rng,
		sentAt:   make(map[uint64]clock.Millis),
		mustRead: true,
	}
}

// Valid reports whether this process holds the lease at the instant now. If so,
// it returns the fence and the instant until which the lease is valid.
func (m *Machine) Valid(now clock.Millis) (fence uint64, until clock.Millis, ok bool) {
	until = m.renewedAt + m.ttl - m.ttl/marginDivisor
	if !m.held || m.resigned || m.behind() || now >= until {
		return 0, 0, false
	}
	return m.seen.Fence, until, true
}

// LastSeen returns the row as last read or written.
func (m *Machine) LastSeen() Row {
	return m.seen
}

// HighestFence returns the highest fence that this process has seen.
func (m *Machine) HighestFence() uint64 {
	return m.highestFence
}

// ObserveFence records a fence that another process has seen. If it is higher than that
// of the row, the table has lost a takeover: this process no longer holds the lease, and
// the process that took it over may hold it for the rest of its TTL.
func (m *Machine) ObserveFence(fence uint64) {
	m.highestFence = max(m.highestFence, fence)
	if m.behind() {
		m.lose()
	}
}

// behind reports whether the row has a lower fence than one that was seen elsewhere.
func (m *Machine) behind() bool {
	return m.seen.Fence < m.highestFence
}

// lose ends the validity of the lease, whatever the outcome of writes under way.
func (m *Machine) lose() {
	m.held = false
	m.sentAt = make(map[uint64]clock.Millis)
}

// Resign ends the validity of the lease immediately. If the lease is held, the
// next actions release it.
func (m *Machine) Resign() {
	m.resigned = true
}

// RequestRead makes the next action due now unless this process holds the lease.
func (m *Machine) RequestRead() {
	if !m.held {
		m.nextAt = 0
	}
}

// Next returns the action to perform at the instant now.
func (m *Machine) Next(now clock.Millis) Action {
	if m.resigned {
		return m.nextRelease(now)
	}
	if now < m.nextAt {
		return Action{Kind: Wait, Until: m.nextAt}
	}
	if m.mustRead {
		return Action{Kind: Read}
	}
	switch {
	case m.held:
		return m.write(now, m.self, m.seen.Fence)
	case m.seen.Holder == "" && !m.behind(), now-m.unchangedSince >= m.ttl:
		return m.write(now, m.self, m.nextFence())
	}
	return Action{Kind: Read}
}

// nextFence returns the fence of a takeover. It is above all fences that can have been given
// out in an earlier era, whether any living process has heard of them or not.
func (m *Machine) nextFence() uint64 {
	return max(m.highestFence, m.stored.Era*fencesPerEra) + 1
}

// nextRelease returns the actions that release a held lease by writing an empty
// holder.
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

// Released reports whether the machine has resigned and needs no more actions.
func (m *Machine) Released() bool {
	return m.resigned && !m.held
}

func (m *Machine) write(now clock.Millis, holder string, fence uint64) Action {
	m.lastBeat = max(m.lastBeat, m.seen.Beat) + 1
	m.sentAt[m.lastBeat] = now
	return Action{Kind: Write, Row: Row{Holder: holder, Fence: fence, Beat: m.lastBeat}, Stored: m.stored}
}

// OnRead handles the row, which was received at the instant now.
func (m *Machine) OnRead(now clock.Millis, row Row, stored Stored) {
	m.mustRead = false
	if stored.Era != m.stored.Era {
		m.enterEra(now)
	}
	if !m.versionKnown || stored != m.stored {
		m.versionKnown = true
		m.seen = row
		m.stored = stored
		m.unchangedSince = now
		m.updateHeld()
		m.ObserveFence(row.Fence)
	}
	m.schedule(now)
}

// enterEra handles that the table has come back from a copy. The beats of this process may
// belong to writes that the table has lost, and so may the takeover by another process
// since the lease expired.
func (m *Machine) enterEra(now clock.Millis) {
	m.sentAt = make(map[uint64]clock.Millis)
	if _, _, valid := m.Valid(now); !valid {
		m.held = false
	}
}

// updateHeld derives from the row that was read whether this process holds the
// lease.
func (m *Machine) updateHeld() {
	if m.seen.Holder != m.self {
		m.lose()
		return
	}
	sent, own := m.sentAt[m.seen.Beat]
	if !own {
		return
	}
	m.held = true
	m.renewedAt = max(m.renewedAt, sent)
	m.dropSentUpTo(m.seen.Beat)
}

func (m *Machine) dropSentUpTo(beat uint64) {
	for attempt := range m.sentAt {
		if attempt <= beat {
			delete(m.sentAt, attempt)
		}
	}
}

// schedule sets when the next action is due after the row was read.
func (m *Machine) schedule(now clock.Millis) {
	interval := m.ttl / renewalsPerTTL
	switch {
	case m.held:
		m.nextAt = m.renewedAt + interval
	case m.seen.Holder == "" && !m.behind():
		m.nextAt = now
	default:
		// A candidate reads at each interval and when the TTL has passed.
		m.nextAt = min(now+interval, max(m.unchangedSince+m.ttl, now))
		m.nextAt += clock.Millis(m.rng.Int64N(int64(interval/2) + 1))
	}
}

// OnReadFailed handles a failed read.
func (m *Machine) OnReadFailed(now clock.Millis) {
	m.nextAt = now + m.retryDelay()
}

func (m *Machine) retryDelay() clock.Millis {
	delay := m.ttl / retriesPerTTL
	return delay/2 + clock.Millis(m.rng.Int64N(int64(delay)+1))
}

// OnWrite handles the result of the write of row, received at the instant now.
// The row must be read before the next write, since its new version is unknown.
func (m *Machine) OnWrite(now clock.Millis, row Row, result Result) {
	switch result {
	case Written:
		m.onWritten(row)
	case NotWritten:
		delete(m.sentAt, row.Beat)
		m.nextAt = now + m.retryDelay()
	case Conflicted:
		delete(m.sentAt, row.Beat)
		m.mustRead = true
		m.nextAt = now
	case Unknown:
		m.mustRead = true
		m.nextAt = now
	case EraChanged:
		m.lose()
		m.mustRead = true
		m.nextAt = now
	}
}

func (m *Machine) onWritten(row Row) {
	m.seen = row
	m.highestFence = max(m.highestFence, row.Fence)
	m.versionKnown = false
	m.mustRead = true
	if row.Holder == m.self {
		m.held = true
		m.renewedAt = max(m.renewedAt, m.sentAt[row.Beat])
		m.nextAt = m.renewedAt + m.ttl/renewalsPerTTL
	}
	m.dropSentUpTo(row.Beat)
}
