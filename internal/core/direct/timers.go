package direct

import (
	"container/heap"

	"hawthorncourse/internal/core/model"
)

// timer is when an opening packet of a flow is overdue.
type timer struct {
	at   model.Instant
	flow model.FlowKey
	// sent is when the packet went out; a later one has a timer of its own.
	sent model.Instant
}

// timers orders timers, the earliest first.
type timers struct {
	list timerHeap
}

type timerHeap []timer

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h timerHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *timerHeap) Push(x any)        { *h = append(*h, x.(timer)) }
func (h *timerHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

func (t *timers) add(item timer) {
	heap.Push(&t.list, item)
}

// due removes and returns a timer that is due.
func (t *timers) due(now model.Instant) (item timer, ok bool) {
	if len(t.list) == 0 || t.list[0].at > now {
		return item, false
	}
	return heap.Pop(&t.list).(timer), true
}

// next returns when the first timer is due.
func (t *timers) next() (at model.Instant, ok bool) {
	if len(t.list) == 0 {
		return 0, false
	}
	return t.list[0].at, true
}
