// Package ring provides a bounded queue between goroutines whose producers never block.
package ring

import "context"

// Ring is a bounded FIFO queue. It is safe for concurrent use.
type Ring[T any] struct {
	items chan T
}

// New returns a ring with a capacity of size items.
func New[T any](size int) *Ring[T] {
	return &Ring[T]{items: make(chan T, size)}
}

// Offer adds an item without blocking; it reports false if the ring is full.
func (r *Ring[T]) Offer(item T) bool {
	select {
	case r.items <- item:
		return true
	default:
		return false
	}
}

// Take removes and returns the next item, and blocks while the ring is empty; it reports false if the context ends first.
func (r *Ring[T]) Take(ctx context.Context) (item T, ok bool) {
	select {
	case item = <-r.items:
		return item, true
	case <-ctx.Done():
		return item, false
	}
}

// Items returns the channel that holds the items, for goroutines that select on several rings.
func (r *Ring[T]) Items() <-chan T {
	return r.items
}

// Len returns the number of queued items.
func (r *Ring[T]) Len() int {
	return len(r.items)
}
