package drive

import (
	"time"

	"hawthorncourse/internal/stand/upnode"
)

// BusyTimes returns the cumulative busy time of the slots of each upstream, by upstream name.
func BusyTimes(upstreams []*upnode.Node) map[string]time.Duration {
	out := map[string]time.Duration{}
	for _, n := range upstreams {
		out[n.Name()] = n.Stats().BusyTime
	}
	return out
}

// Imbalance returns the ratio of the highest to the mean busy time of the upstreams since the call of BusyTimes that returned before.
// It returns zero if no upstream was busy.
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
