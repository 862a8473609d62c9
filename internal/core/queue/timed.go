package queue

import (
	"container/heap"

	"hawthorncourse/internal/core/model"
)

// Timed is a priority queue of items that are due at a time, the earliest first; items of the same time keep their order. The zero value is an
// empty queue.
type Timed[T any] struct {
	items timedItems[T]
	// pushed counts the items pushed so far.
	pushed uint64
}

// Len returns the number of items.
func (q *Timed[T]) Len() int {
	return len(q.items)
}

// Push adds an item that is due at the given time.
func (q *Timed[T]) Push(at model.Instant, item T) {
	q.pushed++
	heap.Push(&q.items, timedItem[T]{at: at, seq: q.pushed, item: item})
}

// PopDue removes and returns the earliest item that is due; ok is false if none is.
func (q *Timed[T]) PopDue(now model.Instant) (item T, ok bool) {
	if len(q.items) == 0 || q.items[0].at > now {
		return item, false
	}
	return heap.Pop(&q.items).(timedItem[T]).item, true
}

// Next returns when the earliest item is due; ok is false if there is none.
func (q *Timed[T]) Next() (at model.Instant, ok bool) {
	if len(q.items) == 0 {
		return 0, false
	}
	return q.items[0].at, true
}

// timedItem is an item with its place in the order.
type timedItem[T any] struct {
	at   model.Instant
	seq  uint64
	item T
}

// timedItems implements heap.Interface.
type timedItems[T any] []timedItem[T]

func (h timedItems[T]) Len() int { return len(h) }
func (h timedItems[T]) Less(i, j int) bool {
	return h[i].at < h[j].at || (h[i].at == h[j].at && h[i].seq < h[j].seq)
}
func (h timedItems[T]) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *timedItems[T]) Push(x any)   { *h = append(*h, x.(timedItem[T])) }
func (h *timedItems[T]) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = timedItem[T]{}
	*h = old[:len(old)-1]
	return last
}
