// Package heap is a binary heap whose elements know their position, so that
// any of them can be moved or removed in logarithmic time.
//
// # Usage
//
//	type job struct{ due clock.Millis; index int }
//
//	jobs := heap.New(
//		func(a, b *job) bool { return a.due < b.due },
//		func(j *job, index int) { j.index = index },
//	)
//	jobs.Push(j)
//	j.due = later
//	jobs.Fix(j.index)
//
// The index of an element that is not in the heap is None.
package heap

// None is the index that an element gets when it leaves the heap.
const None = -1

// Heap keeps the least element at the front.
type Heap[T any] struct {
	items []T
	less  func(a, b T) bool
	moved func(item T, index int)
}

// New returns an empty heap ordered by less. moved is told the index of an
// element each time that it changes.
func New[T any](less func(a, b T) bool, moved func(item T, index int)) *Heap[T] {
	return &Heap[T]{less: less, moved: moved}
}

// Len returns the number of elements.
func (h *Heap[T]) Len() int {
	return len(h.items)
}

// Peek returns the least element; the heap must not be empty.
func (h *Heap[T]) Peek() T {
	return h.items[0]
}

// At returns the element at index i.
func (h *Heap[T]) At(i int) T {
	return h.items[i]
}

// Push adds an element.
func (h *Heap[T]) Push(item T) {
	h.items = append(h.items, item)
	last := len(h.items) - 1
	h.moved(item, last)
	h.up(last)
}

// Pop removes and returns the least element; the heap must not be empty.
func (h *Heap[T]) Pop() T {
	return h.Remove(0)
}

// Remove removes and returns the element at index i.
func (h *Heap[T]) Remove(i int) T {
	var zero T
	removed := h.items[i]
	last := len(h.items) - 1
	if i != last {
		h.swap(i, last)
	}
	h.items[last] = zero
	h.items = h.items[:last]
	h.moved(removed, None)
	if i != last {
		h.Fix(i)
	}
	return removed
}

// Fix restores the order after the element at index i has changed.
func (h *Heap[T]) Fix(i int) {
	if !h.down(i) {
		h.up(i)
	}
}

func (h *Heap[T]) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !h.less(h.items[i], h.items[parent]) {
			return
		}
		h.swap(i, parent)
		i = parent
	}
}

func (h *Heap[T]) down(i int) (moved bool) {
	for {
		child := 2*i + 1
		if child >= len(h.items) {
			return moved
		}
		if right := child + 1; right < len(h.items) && h.less(h.items[right], h.items[child]) {
			child = right
		}
		if !h.less(h.items[child], h.items[i]) {
			return moved
		}
		h.swap(i, child)
		i = child
		moved = true
	}
}

func (h *Heap[T]) swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	h.moved(h.items[i], i)
	h.moved(h.items[j], j)
}
