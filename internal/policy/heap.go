package policy

// notInHeap is the index of an item that is in no heap.
const notInHeap = -1

// indexedHeap is a binary heap whose items store their own index, so that any of them can
// be moved or removed.
type indexedHeap[T any] struct {
	items []T
	less  func(a, b T) bool
	// index returns where the index of an item is stored.
	index func(T) *int
}

func (h *indexedHeap[T]) len() int { return len(h.items) }

// first returns the least item of a heap that is not empty.
func (h *indexedHeap[T]) first() T { return h.items[0] }

func (h *indexedHeap[T]) push(x T) {
	h.items = append(h.items, x)
	*h.index(x) = len(h.items) - 1
	h.up(len(h.items) - 1)
}

// remove removes an item if it is in the heap.
func (h *indexedHeap[T]) remove(x T) {
	i := *h.index(x)
	if i == notInHeap {
		return
	}
	last := len(h.items) - 1
	h.swap(i, last)
	var zero T
	h.items[last] = zero
	h.items = h.items[:last]
	*h.index(x) = notInHeap
	if i < last {
		h.moveAt(i)
	}
}

// move restores the order after the key of an item has changed.
func (h *indexedHeap[T]) move(x T) {
	if i := *h.index(x); i != notInHeap {
		h.moveAt(i)
	}
}

func (h *indexedHeap[T]) moveAt(i int) {
	h.up(i)
	h.down(i)
}

func (h *indexedHeap[T]) swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	*h.index(h.items[i]) = i
	*h.index(h.items[j]) = j
}

func (h *indexedHeap[T]) up(i int) {
	for i > 0 {
		p := (i - 1) / 2
		if !h.less(h.items[i], h.items[p]) {
			return
		}
		h.swap(i, p)
		i = p
	}
}

func (h *indexedHeap[T]) down(i int) {
	for {
		c := 2*i + 1
		if c >= len(h.items) {
			return
		}
		if c+1 < len(h.items) && h.less(h.items[c+1], h.items[c]) {
			c++
		}
		if !h.less(h.items[c], h.items[i]) {
			return
		}
		h.swap(i, c)
		i = c
	}
}
