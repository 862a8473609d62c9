package drive

import (
	"time"

	"hawthorncourse/internal/stand/upnode"
)

// Busy returns how long the slots of each upstream were in use so far.
func Busy(nodes []*upnode.Node) map[string]time.Duration {
	out := map[string]time.Duration{}
	for _, n := range nodes {
		out[n.Name()] = n.Stats().BusyTime
	}
	return out
}

// Imbalance returns the highest use of slots since before over the mean.
func Imbalance(nodes []*upnode.Node, before map[string]time.Duration) float64 {
	var top, sum time.Duration
	for _, n := range nodes {
		busy := n.Stats().BusyTime - before[n.Name()]
		top, sum = max(top, busy), sum+busy
	}
	if sum == 0 {
		return 0
	}
	return float64(top) * float64(len(nodes)) / float64(sum)
}
