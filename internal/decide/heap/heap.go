// Package heap is a binary heap that reports the index of each element, so
// that any element can be reordered or removed in logarithmic time.
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

// None is the index of an element that has been removed from the heap.
const None = -1

// Heap is a binary heap with the least element first.
type Heap[T any] struct {
	items    []T
	less     func(a, b T) bool
	setIndex func(item T, index int)
}

// New returns an empty heap ordered by less. The heap calls setIndex whenever
// the index of an element changes.
func New[T any](less func(a, b T) bool, setIndex func(item T, index int)) *Heap[T] {
	return &Heap[T]{less: less, setIndex: setIndex}
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
	h.setIndex(item, last)
	h.siftUp(last)
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
	h.setIndex(removed, None)
	if i != last {
		h.Fix(i)
	}
	return removed
}

// Fix restores the heap order after the sort key of the element at index i has
// changed.
func (h *Heap[T]) Fix(i int) {
	if !h.siftDown(i) {
		h.siftUp(i)
	}
}

func (h *Heap[T]) siftUp(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !h.less(h.items[i], h.items[parent]) {
			return
		}
		h.swap(i, parent)
		i = parent
	}
}

func (h *Heap[T]) siftDown(i int) (moved bool) {
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
	h.setIndex(h.items[i], i)
	h.setIndex(h.items[j], j)
}
