package share

import (
	"golang.org/x/time/rate"

	"hawthorncourse/internal/core/model"
)

const (
	// fullReplyShare is the share of the instance's own link that full replies may take; the rest carries packets.
	fullReplyShare = 0.5
	// defaultLinkMbps is the speed assumed for a link of unknown speed, in Mbit/s.
	defaultLinkMbps = 1000.0
	// bytesPerMbps converts Mbit/s to bytes per second.
	bytesPerMbps = 125_000.0
	// upstreamBytes and routeBytes are the encoded sizes of an upstream and of a route, for names as long as the platform's.
	upstreamBytes, routeBytes = 110, 90
)

// newFullReplyLimiter returns a limiter of the bytes in full replies; its burst is one second's worth.
func newFullReplyLimiter(linkMbps float64) *rate.Limiter {
	return rate.NewLimiter(fullReplyRate(linkMbps), int(fullReplyRate(linkMbps)))
}

// fullReplyRate returns the bytes per second that full replies may take.
func fullReplyRate(linkMbps float64) rate.Limit {
	if linkMbps <= 0 {
		linkMbps = defaultLinkMbps
	}
	return rate.Limit(linkMbps * bytesPerMbps * fullReplyShare)
}

// fullReplySize estimates the bytes in a full reply. It is capped at the burst, as the limiter would never admit a larger one.
func (s *Share) fullReplySize(snap *model.Snapshot) int {
	return min(len(snap.Upstreams.Items)*upstreamBytes+len(snap.Routes.Routes)*routeBytes, s.fullReplyLimiter.Burst())
}
