package route

// ordered is an item of a heap. It stores its own index, so that it can be removed
// in logarithmic time.
type ordered[T any] interface {
	less(other T) bool
	heapIndex() *int // index in the heap, -1 when not in a heap
}

// heap is a binary heap from which any item can be removed.
type heap[T ordered[T]] struct {
	items []T
}

func (h *heap[T]) len() int { return len(h.items) }

func (h *heap[T]) push(item T) {
	h.items = append(h.items, item)
	*item.heapIndex() = len(h.items) - 1
	h.up(len(h.items) - 1)
}

// remove removes item; it does nothing when the item is not in the heap.
func (h *heap[T]) remove(item T) {
	i := *item.heapIndex()
	if i < 0 {
		return
	}
	last := len(h.items) - 1
	h.swap(i, last)
	*item.heapIndex() = -1
	var zero T
	h.items[last] = zero
	h.items = h.items[:last]
	if i < last {
		h.down(i)
		h.up(i)
	}
}

func (h *heap[T]) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !h.items[i].less(h.items[parent]) {
			return
		}
		h.swap(i, parent)
		i = parent
	}
}

func (h *heap[T]) down(i int) {
	for {
		child := 2*i + 1
		if child >= len(h.items) {
			return
		}
		if child+1 < len(h.items) && h.items[child+1].less(h.items[child]) {
			child++
		}
		if !h.items[child].less(h.items[i]) {
			return
		}
		h.swap(i, child)
		i = child
	}
}

func (h *heap[T]) swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	*h.items[i].heapIndex() = i
	*h.items[j].heapIndex() = j
}
