package direct

import (
	"container/heap"

	"hawthorncourse/internal/core/model"
)

// timer is the timeout of one SYN.
type timer struct {
	deadline model.Instant
	flow     model.FlowKey
	// sentAt is when the SYN was sent; a SYN sent again has its own timer.
	sentAt model.Instant
}

// timers is a priority queue of timers, the earliest first.
type timers struct {
	list timerHeap
}

type timerHeap []timer

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].deadline < h[j].deadline }
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

// popDue removes and returns a timer whose deadline has passed.
func (t *timers) popDue(now model.Instant) (item timer, ok bool) {
	if len(t.list) == 0 || t.list[0].deadline > now {
		return item, false
	}
	return heap.Pop(&t.list).(timer), true
}

// next returns the earliest deadline; ok is false when there are no timers.
func (t *timers) next() (at model.Instant, ok bool) {
	if len(t.list) == 0 {
		return 0, false
	}
	return t.list[0].deadline, true
}
