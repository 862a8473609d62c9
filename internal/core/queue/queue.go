// Package queue provides an unbounded first-in, first-out queue.
package queue

// compactThreshold is the number of removed items from which Pop reclaims their space.
const compactThreshold = 1024

// Queue is a first-in, first-out queue. The zero value is an empty queue.
type Queue[T any] struct {
	items []T
	// head is the index of the first item; earlier positions hold items that have been removed.
	head int
}

// Len returns the number of items.
func (q *Queue[T]) Len() int {
	return len(q.items) - q.head
}

// Push appends an item.
func (q *Queue[T]) Push(item T) {
	q.items = append(q.items, item)
}

// Peek returns the first item without removing it. It panics if the queue is empty.
func (q *Queue[T]) Peek() T {
	return q.items[q.head]
}

// Pop removes and returns the first item. It panics if the queue is empty.
func (q *Queue[T]) Pop() T {
	var zero T
	item := q.items[q.head]
	q.items[q.head] = zero
	q.head++
	if q.head == len(q.items) {
		q.items, q.head = q.items[:0], 0
	} else if q.head >= compactThreshold && q.head*2 >= len(q.items) {
		n := copy(q.items, q.items[q.head:])
		clear(q.items[n:])
		q.items, q.head = q.items[:n], 0
	}
	return item
}

// PopLast removes and returns the last item. It panics if the queue is empty.
func (q *Queue[T]) PopLast() T {
	var zero T
	last := len(q.items) - 1
	item := q.items[last]
	q.items[last] = zero
	q.items = q.items[:last]
	if q.head == len(q.items) {
		q.items, q.head = q.items[:0], 0
	}
	return item
}

// Contains reports whether match returns true for an item.
func (q *Queue[T]) Contains(match func(*T) bool) bool {
	for i := q.head; i < len(q.items); i++ {
		if match(&q.items[i]) {
			return true
		}
	}
	return false
}
