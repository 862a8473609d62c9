// Package recent provides a table of bounded size whose entries expire when they are idle.
package recent

import (
	"time"

	"hawthorncourse/internal/core/model"
	"hawthorncourse/internal/core/queue"
)

// Table maps keys to values that expire some time after their last use.
type Table[K comparable, V any] struct {
	items map[K]*item[V]
	// marks holds at least one mark for each item. Touch and Put update usedAt of the item only, so a mark may be older than its item;
	// Expire then queues a newer mark. Marks of deleted items remain until Expire drops them.
	marks queue.Queue[expiryMark[K]]
	limit int
}

// item is a value with the time of its last use.
type item[V any] struct {
	value  V
	usedAt model.Instant
}

// expiryMark is a queued check whether a key has expired.
type expiryMark[K comparable] struct {
	key    K
	usedAt model.Instant
}

// New returns an empty table of at most limit entries.
func New[K comparable, V any](limit int) *Table[K, V] {
	return &Table[K, V]{items: map[K]*item[V]{}, limit: limit}
}

// Len returns the number of entries.
func (t *Table[K, V]) Len() int {
	return len(t.items)
}

// Touch returns the value of the key and marks it as used now; it returns nil if there is none.
func (t *Table[K, V]) Touch(now model.Instant, key K) *V {
	entry := t.items[key]
	if entry == nil {
		return nil
	}
	entry.usedAt = now
	return &entry.value
}

// Peek returns the value of the key without marking it as used; it returns nil if there is none.
func (t *Table[K, V]) Peek(key K) *V {
	entry := t.items[key]
	if entry == nil {
		return nil
	}
	return &entry.value
}

// Put sets the value of the key and marks it as used now. It returns false if the key is new and the table is full.
func (t *Table[K, V]) Put(now model.Instant, key K, value V) bool {
	if entry := t.items[key]; entry != nil {
		entry.value, entry.usedAt = value, now
		return true
	}
	if len(t.items) >= t.limit {
		return false
	}
	t.items[key] = &item[V]{value: value, usedAt: now}
	t.marks.Push(expiryMark[K]{key: key, usedAt: now})
	return true
}

// Delete removes the key, if present.
func (t *Table[K, V]) Delete(key K) {
	delete(t.items, key)
}

// Expire removes the entries that have been idle for at least ttl and calls onExpire for each.
func (t *Table[K, V]) Expire(now model.Instant, ttl time.Duration, onExpire func(K, *V)) {
	for t.marks.Len() > 0 && now.Sub(t.marks.Peek().usedAt) >= ttl {
		m := t.marks.Pop()
		entry := t.items[m.key]
		switch {
		case entry == nil:
		case entry.usedAt > m.usedAt:
			t.marks.Push(expiryMark[K]{key: m.key, usedAt: entry.usedAt})
		default:
			delete(t.items, m.key)
			onExpire(m.key, &entry.value)
		}
	}
}

// Each calls visit for each entry, in no particular order, until visit returns false.
func (t *Table[K, V]) Each(visit func(K, *V) bool) {
	for key, entry := range t.items {
		if !visit(key, &entry.value) {
			return
		}
	}
}
