package drive

import (
	"time"

	"hawthorncourse/internal/stand/upnode"
)

// BusyTimes returns how long the slots of each upstream were in use so far.
func BusyTimes(upstreams []*upnode.Node) map[string]time.Duration {
	out := map[string]time.Duration{}
	for _, n := range upstreams {
		out[n.Name()] = n.Stats().BusyTime
	}
	return out
}

// Imbalance returns the highest use of slots since before over the mean.
func Imbalance(upstreams []*upnode.Node, before map[string]time.Duration) float64 {
	var highest, sum time.Duration
	for _, n := range upstreams {
		busy := n.Stats().BusyTime - before[n.Name()]
		highest, sum = max(highest, busy), sum+busy
	}
	if sum == 0 {
		return 0
	}
	return float64(highest) * float64(len(upstreams)) / float64(sum)
}
