package memory_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/banyanshift/banyanshift/coord/clock"
	"github.com/banyanshift/banyanshift/internal/decide/memory"
)

const (
	limit = 8 << 20
	// longLimit is what long Reservations may take of the limit.
	longLimit = limit * 7 / 8
)

// reserve returns a Reservation that has grown to a number of bytes.
func reserve(t *testing.T, b *memory.Budget, use memory.Use, bytes int) *memory.Reservation {
	t.Helper()
	r := b.Reserve(use)
	if !r.TryGrow(bytes) {
		t.Fatalf("%d bytes do not fit: %+v", bytes, b.State())
	}
	return &r
}

func fits(b *memory.Budget, use memory.Use, bytes int) bool {
	r := b.Reserve(use)
	defer r.Release()
	return r.TryGrow(bytes)
}

// TestShortReservationsFitBesideLongOnes guards against short requests that are refused since
// long ones have taken all memory.
func TestShortReservationsFitBesideLongOnes(t *testing.T) {
	b := memory.New(limit)
	long := reserve(t, b, memory.Body, longLimit)
	if fits(b, memory.Body, memory.ShortBytes+1) || fits(b, memory.Answer, memory.ShortBytes+1) {
		t.Error("something long fits beside all that long ones may take")
	}
	for range (limit - longLimit) / memory.ShortBytes {
		reserve(t, b, memory.Body, memory.ShortBytes)
	}
	if fits(b, memory.Answer, 1) {
		t.Error("more than the limit fits")
	}
	long.Release()
	long.Release()
	if got := b.State(); got.Held != limit-longLimit || !fits(b, memory.Body, longLimit-(limit-longLimit)) {
		t.Errorf("got %+v after the long one was released", got)
	}
}

// TestAnswersLeaveRoomForBodies guards against callers who read no answers and keep all memory.
func TestAnswersLeaveRoomForBodies(t *testing.T) {
	b := memory.New(limit)
	reserve(t, b, memory.Answer, limit/4)
	if fits(b, memory.Answer, memory.ShortBytes+1) {
		t.Error("a long answer fits beside all that answers may take")
	}
	if !fits(b, memory.Answer, 1) || !fits(b, memory.Body, longLimit-limit/4) {
		t.Error("a short answer or a body does not fit beside the answers")
	}
}

// grow starts to grow a Reservation, and returns when it waits.
func grow(t *testing.T, b *memory.Budget, r *memory.Reservation, bytes int, done func(granted bool)) {
	t.Helper()
	before := b.State().Waiting
	go func() { done(r.Grow(context.Background(), bytes, clock.Minute)) }()
	for range 1000 {
		if b.State().Waiting > before {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatal("the reservation does not wait")
}

// TestWaitingReservationsAreServedInOrder guards against bodies that hold a part each and keep
// each other from going on, and against late ones that go before those that wait.
func TestWaitingReservationsAreServedInOrder(t *testing.T) {
	const part, rest = 1 << 20, 3 << 20
	b := memory.New(limit)
	first := reserve(t, b, memory.Body, longLimit-part)
	begun := reserve(t, b, memory.Body, part)
	var mu sync.Mutex
	var order []string
	var all sync.WaitGroup
	wait := func(name string, r *memory.Reservation, bytes int) {
		all.Add(1)
		grow(t, b, r, bytes, func(granted bool) {
			defer all.Done()
			mu.Lock()
			order = append(order, fmt.Sprint(name, " ", granted))
			mu.Unlock()
			r.Release()
		})
	}
	second, third := b.Reserve(memory.Body), b.Reserve(memory.Body)
	wait("second", &second, longLimit-part)
	wait("third", &third, longLimit-part)
	wait("begun", begun, rest)
	if fits(b, memory.Body, memory.ShortBytes+1) {
		t.Error("a late one goes before those that wait")
	}
	first.Release()
	all.Wait()
	if want := []string{"begun true", "second true", "third true"}; !slices.Equal(order, want) {
		t.Errorf("got %v, want %v", order, want)
	}
	if got := b.State(); got.Held != 0 || got.Waiting != 0 {
		t.Errorf("got %+v, want nothing held", got)
	}
}

func TestWaitEnds(t *testing.T) {
	b := memory.New(limit)
	reserve(t, b, memory.Body, longLimit)
	r := b.Reserve(memory.Body)
	if r.Grow(context.Background(), longLimit, 10*clock.Millisecond) {
		t.Error("it was granted though nothing was released")
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if r.Grow(ctx, longLimit, clock.Minute) {
		t.Error("it was granted after its context had ended")
	}
	if r.Grow(context.Background(), longLimit+1, clock.Minute) {
		t.Error("more than ever fits was granted")
	}
	if got := b.State(); got.Waiting != 0 || got.Held != longLimit || got.Refused != 3 {
		t.Errorf("got %+v", got)
	}
}

// TestFewReservationsWait guards against unread bodies that fill the buffers of the system.
func TestFewReservationsWait(t *testing.T) {
	b := memory.New(limit)
	long := reserve(t, b, memory.Body, longLimit)
	var all sync.WaitGroup
	for range 4 {
		r := b.Reserve(memory.Body)
		all.Add(1)
		grow(t, b, &r, 1<<20, func(bool) { all.Done() })
	}
	r := b.Reserve(memory.Body)
	if r.Grow(context.Background(), 1<<20, clock.Minute) || b.State().Waiting != 4 {
		t.Errorf("got %+v, want that the fifth does not wait", b.State())
	}
	long.Release()
	all.Wait()
}

// TestShortestIsServedFirst guards against whole requests that wait behind unfinished ones, and against
// memory that stays with holders which could do without.
func TestShortestIsServedFirst(t *testing.T) {
	b := memory.New(limit)
	held := []*memory.Reservation{reserve(t, b, memory.Body, longLimit)}
	for range (limit - longLimit) / memory.ShortBytes {
		held = append(held, reserve(t, b, memory.Body, memory.ShortBytes))
	}
	reclaimed := make(chan struct{}, 100)
	b.Reclaim = func() {
		select {
		case reclaimed <- struct{}{}:
		default:
		}
	}
	sizes := make(chan int, 3)
	for waiting, size := range []int{8 << 10, 1 << 20, 1 << 10} {
		r := b.Reserve(memory.Body)
		grow(t, b, &r, size, func(bool) { sizes <- size })
		if got := b.State().Waiting; got != waiting+1 {
			t.Fatalf("%d wait, want %d", got, waiting+1)
		}
	}
	for range 3 {
		<-reclaimed
	}
	held[1].Release()
	if first, second := <-sizes, <-sizes; first+second != 9<<10 {
		t.Errorf("got %d and %d bytes first, want the short ones", first, second)
	}
	held[0].Release()
	if last := <-sizes; last != 1<<20 {
		t.Errorf("got %d bytes last", last)
	}
}

func TestLimitLeavesRoomForTheProcess(t *testing.T) {
	for _, memoryLimit := range []int64{34 << 20, 112 << 20, 284 << 20, 536 << 20, 2 << 30} {
		got := memory.LimitsOf(memoryLimit, 4100)
		if softLimit := memoryLimit * 6 / 10; got.Held < softLimit/4 || got.Held > softLimit*7/10 {
			t.Errorf("got %d of %d", got.Held, softLimit)
		}
		if unread := int64(got.Connections) * memory.UnreadBytes; got.Soft+unread > memoryLimit*8/10 {
			t.Errorf("got %+v: a soft limit and %d unread bytes of %d", got, unread, memoryLimit)
		}
	}
}

// TestCallersLeaveDescriptors guards against connections of callers that leave none for the store, peers
// and endpoints.
func TestCallersLeaveDescriptors(t *testing.T) {
	for _, descriptors := range []int{700, 4100, 10250} {
		if got := memory.LimitsOf(64<<30, descriptors).Connections; got > (descriptors-200)/2 || got < descriptors/4 {
			t.Errorf("got %d connections of %d descriptors", got, descriptors)
		}
	}
}

func BenchmarkShortReservation(b *testing.B) {
	budget := memory.New(limit)
	b.ReportAllocs()
	for b.Loop() {
		r := budget.Reserve(memory.Body)
		r.TryGrow(4096)
		r.Release()
	}
}
