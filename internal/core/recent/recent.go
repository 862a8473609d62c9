// Package recent holds a bounded table whose entries lapse when they are not used.
package recent

import (
	"time"

	"hawthorncourse/internal/core/model"
	"hawthorncourse/internal/core/queue"
)

// Table maps keys to values that lapse some time after their last use.
type Table[K comparable, V any] struct {
	items map[K]*item[V]
	// order holds one mark for each item; a mark is at most as new as its item.
	order queue.Queue[mark[K]]
	limit int
}

type item[V any] struct {
	value V
	seen  model.Instant
}

type mark[K comparable] struct {
	key  K
	seen model.Instant
}

// New returns a table of at most limit entries.
func New[K comparable, V any](limit int) *Table[K, V] {
	return &Table[K, V]{items: map[K]*item[V]{}, limit: limit}
}

// Len returns the number of entries.
func (t *Table[K, V]) Len() int {
	return len(t.items)
}

// Touch returns the value of the key and keeps it from lapsing; it returns nil for none.
func (t *Table[K, V]) Touch(now model.Instant, key K) *V {
	it := t.items[key]
	if it == nil {
		return nil
	}
	it.seen = now
	return &it.value
}

// Peek returns the value of the key, or nil, without keeping it.
func (t *Table[K, V]) Peek(key K) *V {
	it := t.items[key]
	if it == nil {
		return nil
	}
	return &it.value
}

// Put sets the value of the key; it reports false when the table is full.
func (t *Table[K, V]) Put(now model.Instant, key K, value V) bool {
	if it := t.items[key]; it != nil {
		it.value, it.seen = value, now
		return true
	}
	if len(t.items) >= t.limit {
		return false
	}
	t.items[key] = &item[V]{value: value, seen: now}
	t.order.Push(mark[K]{key: key, seen: now})
	return true
}

// Delete removes the key.
func (t *Table[K, V]) Delete(key K) {
	delete(t.items, key)
}

// Expire removes the entries unused for life and calls gone for each.
func (t *Table[K, V]) Expire(now model.Instant, life time.Duration, gone func(K, *V)) {
	for t.order.Len() > 0 && now.Sub(t.order.Peek().seen) >= life {
		m := t.order.Pop()
		it := t.items[m.key]
		switch {
		case it == nil:
		case it.seen > m.seen:
			t.order.Push(mark[K]{key: m.key, seen: it.seen})
		default:
			delete(t.items, m.key)
			gone(m.key, &it.value)
		}
	}
}

// Each calls visit for each entry until it returns false.
func (t *Table[K, V]) Each(visit func(K, *V) bool) {
	for key, it := range t.items {
		if !visit(key, &it.value) {
			return
		}
	}
}
