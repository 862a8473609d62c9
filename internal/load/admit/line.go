package admit

import (
	"cmp"
	"container/heap"
	"net/netip"
	"slices"

	"hawthorncourse/internal/core/model"
)

// entry is a waiting request.
type entry struct {
	request  Request
	deadline model.Instant
	class    int
	// share is the number of admissions that the caller had received when the request was offered, plus its requests that waited then.
	share int
	// seq is the order of arrival.
	seq uint64
	// expiry is the position in line.expiries.
	expiry int
}

// compare orders entries by class, then by the share of the caller, then by time left, then by arrival.
func (e *entry) compare(other *entry) int {
	return cmp.Or(
		cmp.Compare(e.class, other.class),
		cmp.Compare(e.share, other.share),
		cmp.Compare(e.deadline, other.deadline),
		cmp.Compare(e.seq, other.seq),
	)
}

// waitingOf identifies the waiting requests of one caller and class.
type waitingOf struct {
	caller netip.Addr
	class  int
}

// line holds the waiting requests. The share of a request is fixed when it is offered, so that the order is stable: the requests of a caller that
// opens ten flows at once alternate with those of callers that open one.
type line struct {
	// order holds the entries in the order of admission.
	order []*entry
	// expiries holds the same entries as a heap, the earliest deadline first.
	expiries expiryHeap
	byKey    map[model.FlowKey]*entry
	callers  map[waitingOf]int
	seq      uint64
}

func newLine() line {
	return line{byKey: make(map[model.FlowKey]*entry), callers: make(map[waitingOf]int)}
}

// prepare returns the entry of a request that does not wait yet, and the number of entries before it. It does not retain the entry.
func (l *line) prepare(r *Request, recent int) (e entry, before int) {
	class := r.class()
	e = entry{request: *r, deadline: r.deadline(), class: class, seq: l.seq + 1,
		share: recent + l.callers[waitingOf{caller: r.Caller, class: class}]}
	return e, l.position(&e)
}

// position returns the number of entries before e. It does not use package slices, which would make e escape to the heap for each refused request.
func (l *line) position(e *entry) int {
	low, high := 0, len(l.order)
	for low < high {
		middle := int(uint(low+high) >> 1)
		if l.order[middle].compare(e) < 0 {
			low = middle + 1
		} else {
			high = middle
		}
	}
	return low
}

// insert adds the entry at the position that prepare returned.
func (l *line) insert(e *entry, before int) {
	l.seq++
	l.order = slices.Insert(l.order, before, e)
	l.byKey[e.request.Key] = e
	l.callers[waitingOf{caller: e.request.Caller, class: e.class}]++
	heap.Push(&l.expiries, e)
}

// remove removes the entry.
func (l *line) remove(e *entry) {
	i := l.position(e)
	l.order = slices.Delete(l.order, i, i+1)
	heap.Remove(&l.expiries, e.expiry)
	delete(l.byKey, e.request.Key)
	of := waitingOf{caller: e.request.Caller, class: e.class}
	if l.callers[of]--; l.callers[of] == 0 {
		delete(l.callers, of)
	}
}

// start returns the position of the first entry of the class or a later one.
func (l *line) start(class int) int {
	i, _ := slices.BinarySearchFunc(l.order, class, func(e *entry, class int) int {
		return cmp.Or(cmp.Compare(e.class, class), 1)
	})
	return i
}

// expiryHeap implements heap.Interface.
type expiryHeap []*entry

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].deadline < h[j].deadline }
func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].expiry, h[j].expiry = i, j
}

func (h *expiryHeap) Push(x any) {
	e := x.(*entry)
	e.expiry = len(*h)
	*h = append(*h, e)
}

func (h *expiryHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return last
}
