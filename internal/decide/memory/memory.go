// Package memory bounds the bytes that a daemon holds for callers, peers and answers.
//
// A Budget has a limit, of which each holder reserves what it is about to hold. A Reservation of
// at most ShortBytes may use all of it, so that short requests are served also while long ones
// have taken their part. Long ones leave an eighth of it free. Answers that are buffered get at
// most a quarter, so that callers who do not read theirs cannot keep all others from being
// served. What does not fit waits. Those that hold most already go first, since they free what they
// hold only after they have gone on, and otherwise in the order of arrival.
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
	"slices"
	"sync"

	"github.com/banyanshift/banyanshift/coord/clock"
)

const (
	// ShortBytes is the size up to which a Reservation may use the part that is kept free.
	ShortBytes = 16 << 10
	// keptFreePart is the part of the limit that is kept free for short ones: one in so many.
	keptFreePart = 8
	// answersPart is the part of the limit that answers may take: one in so many.
	answersPart = 4
	// unreadBytes is what the system may hold of a body that waits to be read, and waitingPart
	// is the part of the limit that all these may take: one in so many.
	unreadBytes = 256 << 10
	waitingPart = 8
	// processBytes is what a process needs for itself, and heldPercent the percentage of the
	// rest of its soft limit that a Budget may take. It gets leastPercent of it in any case.
	processBytes = 32 << 20
	heldPercent  = 70
	leastPercent = 25
)

// Use is what memory is held for.
type Use int

const (
	// Body is the body of a request.
	Body Use = iota
	// Answer is an answer or a part of one.
	Answer
	uses
)

// Budget is the memory that all Reservations share.
type Budget struct {
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

// LimitOf returns the limit of a Budget for a process whose garbage collector keeps to a soft
// limit. It leaves room for the process itself, and for bytes that were released and not yet
// collected.
func LimitOf(softLimit int64) int64 {
	return max((softLimit-processBytes)*heldPercent/100, softLimit*leastPercent/100)
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
		return false
	}
	w := &waiter{reservation: r, bytes: int64(bytes), granted: make(chan struct{})}
	b.enqueue(w)
	b.mu.Unlock()
	return b.wait(ctx, w, wait)
}

// Release gives all bytes of the Reservation back.
func (r *Reservation) Release() {
	b := r.budget
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.bytes == 0 {
		return
	}
	b.used[r.use] -= r.bytes
	r.bytes = 0
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
	if r.use == Answer || r.bytes+bytes <= ShortBytes || len(b.waiting) == 0 {
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
	if r.use == Answer && b.used[Answer]+bytes > b.limit/answersPart {
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
	waiting := int64(len(b.waiting)+1) * unreadBytes
	return r.bytes+bytes <= b.longLimit() && waiting <= max(b.limit/waitingPart, unreadBytes)
}

// enqueue adds a waiter behind those that hold as much or more. The lock must be held.
func (b *Budget) enqueue(w *waiter) {
	at := len(b.waiting)
	for at > 0 && b.waiting[at-1].reservation.bytes < w.reservation.bytes {
		at--
	}
	b.waiting = slices.Insert(b.waiting, at, w)
}

// wait waits until a waiter gets its bytes, for a time at most.
func (b *Budget) wait(ctx context.Context, w *waiter, timeout clock.Millis) bool {
	ctx, cancel := context.WithTimeout(ctx, timeout.Duration())
	defer cancel()
	select {
	case <-w.granted:
		return true
	case <-ctx.Done():
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

// grantWaiting gives what is free to those who wait, in their order. The lock must be held.
func (b *Budget) grantWaiting() {
	for len(b.waiting) > 0 {
		first := b.waiting[0]
		if !b.fits(first.reservation, first.bytes) {
			return
		}
		b.waiting = slices.Delete(b.waiting, 0, 1)
		b.add(first.reservation, first.bytes)
		close(first.granted)
	}
}
