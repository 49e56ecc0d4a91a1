// Package memory bounds the bytes that a daemon holds for callers, peers and answers.
//
// A Budget has a limit, of which each holder reserves what it is about to hold. A Reservation of
// at most ShortBytes may use all of it, so that short requests are served also while long ones
// have taken their part. Long ones leave an eighth of it free. Answers that are buffered get at
// most a quarter, so that callers who do not read theirs cannot keep all others from being
// served, and events of streams at most half, so that endpoints cannot that do not end theirs. What does not fit waits. Short ones go first, the shortest before the others, so that
// unfinished ones do not keep whole ones out. Of the long ones, those that hold most already go
// first, since they free what they hold only after they have gone on, and otherwise in the order of
// arrival. While something does not fit, the Budget calls Reclaim, which may take memory
// from a holder that does not need it.
//
// LimitsOf says how the memory and the descriptors of a process are divided.
//
// A Budget counts bytes and allocates none. It is safe for concurrent use.
//
// # Usage
//
//	budget := memory.New(100 << 20)
//	body := budget.Reserve(memory.Body)
//	defer body.Release()
//	if !body.Grow(ctx, 4<<20, 500*clock.Millisecond) { ... }
package memory

import (
	"context"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/banyanshift/banyanshift/coord/clock"
)

const (
	// ShortBytes is the size up to which a Reservation may use the part that is kept free.
	ShortBytes = 16 << 10
	// keptFreePart is the part of the limit that is kept free for short ones: one in so many.
	keptFreePart = 8
	// answersPart is the part of the limit that answers may take, and eventsPart that of events: one in
	// so many.
	answersPart = 4
	eventsPart  = 2
	// waitingBytes is what a long Reservation that waits counts for, and waitingPart the part of the
	// limit that all these may take: one in so many.
	waitingBytes = 256 << 10
	waitingPart  = 8
	// reclaimInterval is the time between two calls of Reclaim for one Reservation that waits.
	reclaimInterval = 20 * clock.Millisecond
)

// Use is what memory is held for.
type Use int

const (
	// Body is the body of a request.
	Body Use = iota
	// Answer is an answer or a part of one.
	Answer
	// Head is the head of a request.
	Head
	// Event is a part of a stream that cannot be forwarded before more of it has arrived.
	Event
	uses
)

// part returns the part of a limit that long Reservations may take for a use.
func (u Use) part(limit int64) int64 {
	switch u {
	case Answer:
		return limit / answersPart
	case Event:
		return limit / eventsPart
	case Body, Head, uses:
	}
	return limit
}

// Budget is the memory that all Reservations share.
type Budget struct {
	// Reclaim takes memory from a holder that has made little progress, if there is one. It must
	// not be changed once the Budget is used, and may be nil.
	Reclaim func()

	limit int64

	mu   sync.Mutex
	used [uses]int64
	// waiting holds what waits, in the order in which it is served.
	waiting []*waiter
	refused int64
}

// waiter is a Reservation that waits to grow.
type waiter struct {
	reservation *Reservation
	bytes       int64
	granted     chan struct{}
}

// New returns a Budget of a number of bytes.
func New(limit int64) *Budget {
	return &Budget{limit: limit}
}

// State is the state of a Budget.
type State struct {
	// Limit and Held are numbers of bytes.
	Limit, Held int64
	// Waiting counts the Reservations that wait, and Refused the calls that failed so far.
	Waiting int
	Refused int64
}

// State returns the state of the Budget.
func (b *Budget) State() State {
	b.mu.Lock()
	defer b.mu.Unlock()
	return State{Limit: b.limit, Held: b.held(), Waiting: len(b.waiting), Refused: b.refused}
}

// held returns the bytes of all Reservations. The lock must be held.
func (b *Budget) held() (total int64) {
	for _, used := range b.used {
		total += used
	}
	return total
}

// Reserve returns a Reservation of no bytes.
func (b *Budget) Reserve(use Use) Reservation {
	return Reservation{budget: b, use: use}
}

// Reservation is what one holder has of a Budget. It must not be used by several goroutines at a
// time.
type Reservation struct {
	budget *Budget
	use    Use
	// bytes is guarded by the lock of the budget.
	bytes int64
}

// TryGrow adds bytes to the Reservation, unless they do not fit now.
func (r *Reservation) TryGrow(bytes int) bool {
	return r.Grow(context.Background(), bytes, 0)
}

// Grow adds bytes to the Reservation, and waits if they do not fit now. It returns false and adds
// none if they do not fit in time.
func (r *Reservation) Grow(ctx context.Context, bytes int, wait clock.Millis) bool {
	b := r.budget
	b.mu.Lock()
	if b.admits(r, int64(bytes)) {
		b.add(r, int64(bytes))
		b.mu.Unlock()
		return true
	}
	if wait <= 0 || !b.mayWait(r, int64(bytes)) {
		b.refused++
		b.mu.Unlock()
		b.reclaim()
		return false
	}
	w := &waiter{reservation: r, bytes: int64(bytes), granted: make(chan struct{})}
	b.enqueue(w)
	b.mu.Unlock()
	return b.wait(ctx, w, wait)
}

// reclaim calls Reclaim. The lock must not be held.
func (b *Budget) reclaim() {
	if b.Reclaim != nil {
		b.Reclaim()
	}
}

// Release gives all bytes of the Reservation back.
func (r *Reservation) Release() {
	r.giveBack(math.MaxInt64)
}

// Shrink gives bytes of the Reservation back.
func (r *Reservation) Shrink(bytes int) {
	r.giveBack(int64(bytes))
}

// giveBack gives bytes back, at most all.
func (r *Reservation) giveBack(bytes int64) {
	b := r.budget
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	bytes = min(bytes, r.bytes)
	if bytes == 0 {
		return
	}
	b.used[r.use] -= bytes
	r.bytes -= bytes
	b.grantWaiting()
}

// add adds bytes to a Reservation. The lock must be held.
func (b *Budget) add(r *Reservation, bytes int64) {
	r.bytes += bytes
	b.used[r.use] += bytes
}

// admits reports whether a Reservation may grow at once: the bytes fit, and nobody who comes
// before it waits. The lock must be held.
func (b *Budget) admits(r *Reservation, bytes int64) bool {
	if !b.fits(r, bytes) {
		return false
	}
	if r.use == Answer || r.use == Event || r.bytes+bytes <= ShortBytes || len(b.waiting) == 0 {
		return true
	}
	return b.waiting[0].reservation.bytes < r.bytes
}

// fits reports whether there is room for the bytes. The lock must be held.
func (b *Budget) fits(r *Reservation, bytes int64) bool {
	held := b.held() + bytes
	if r.bytes+bytes <= ShortBytes {
		return held <= b.limit
	}
	if b.used[r.use]+bytes > r.use.part(b.limit) {
		return false
	}
	return held <= b.longLimit()
}

// longLimit returns what may be held when something long is added.
func (b *Budget) longLimit() int64 {
	return b.limit - b.limit/keptFreePart
}

// mayWait reports whether a Reservation may wait: it can get the bytes once others have released
// theirs, and not too many wait. The lock must be held.
func (b *Budget) mayWait(r *Reservation, bytes int64) bool {
	if r.bytes+bytes <= ShortBytes {
		return true
	}
	waiting := int64(len(b.waiting)+1) * waitingBytes
	return r.bytes+bytes <= b.longLimit() && waiting <= max(b.limit/waitingPart, waitingBytes)
}

// enqueue adds a waiter behind those that come before it. The lock must be held.
func (b *Budget) enqueue(w *waiter) {
	at := len(b.waiting)
	for at > 0 && w.isBefore(b.waiting[at-1]) {
		at--
	}
	b.waiting = slices.Insert(b.waiting, at, w)
}

// isShort reports whether the waiter may use the part that is kept free.
func (w *waiter) isShort() bool {
	return w.total() <= ShortBytes
}

// total returns what the Reservation is to hold.
func (w *waiter) total() int64 {
	return w.reservation.bytes + w.bytes
}

// isBefore reports whether the waiter is served before one that has waited longer: short ones first, of
// these the shortest, and of the others the one that holds most. The lock of the Budget must be held.
func (w *waiter) isBefore(other *waiter) bool {
	switch {
	case w.isShort() && other.isShort():
		return w.total() < other.total()
	case w.isShort() != other.isShort():
		return w.isShort()
	}
	return w.reservation.bytes > other.reservation.bytes
}

// wait waits until a waiter gets its bytes, for a time at most.
func (b *Budget) wait(ctx context.Context, w *waiter, timeout clock.Millis) bool {
	ctx, cancel := context.WithTimeout(ctx, timeout.Duration())
	defer cancel()
	ticker := time.NewTicker(reclaimInterval.Duration())
	defer ticker.Stop()
	for ctx.Err() == nil {
		b.reclaim()
		select {
		case <-w.granted:
			return true
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	select {
	case <-w.granted:
		return true
	default:
	}
	b.waiting = slices.DeleteFunc(b.waiting, func(other *waiter) bool { return other == w })
	b.refused++
	b.grantWaiting()
	return false
}

// grantWaiting gives what is free to those who wait, in their order. Of those behind one that does
// not fit, only short ones get theirs. The lock must be held.
func (b *Budget) grantWaiting() {
	blocked := false
	b.waiting = slices.DeleteFunc(b.waiting, func(w *waiter) bool {
		if blocked && !w.isShort() || !b.fits(w.reservation, w.bytes) {
			blocked = true
			return false
		}
		b.add(w.reservation, w.bytes)
		close(w.granted)
		return true
	})
}
