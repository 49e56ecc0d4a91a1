package heap

import (
	"math/rand/v2"
	"slices"
	"testing"
)

type element struct{ value, index int }

func TestRandomOperationsKeepOrder(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	h := New(func(a, b *element) bool { return a.value < b.value }, func(e *element, index int) { e.index = index })
	var all []*element
	for range 20_000 {
		switch op := rng.IntN(4); {
		case op < 2 || len(all) == 0:
			e := &element{value: rng.IntN(1000)}
			h.Push(e)
			all = append(all, e)
		case op == 2:
			e := all[rng.IntN(len(all))]
			e.value = rng.IntN(1000)
			h.Fix(e.index)
		default:
			i := rng.IntN(len(all))
			if got := h.Remove(all[i].index); got != all[i] || got.index != None {
				t.Fatalf("Remove returned %v, want %v with index None", got, all[i])
			}
			all = slices.Delete(all, i, i+1)
		}
		if h.Len() > 0 && h.At(h.Peek().index) != h.Peek() {
			t.Fatal("the index of the first element does not point to it")
		}
	}
	last := -1
	for h.Len() > 0 {
		if e := h.Pop(); e.value < last {
			t.Fatalf("popped %d after %d, want ascending order", e.value, last)
		} else {
			last = e.value
		}
	}
}
