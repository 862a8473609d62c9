package share

import (
	"golang.org/x/time/rate"

	"hawthorncourse/internal/core/model"
)

const (
	// wholeShare is the part of an instance's own link that replies which hold everything may take; the rest carries packets.
	wholeShare = 0.5
	// unknownLink is taken for a link whose speed nobody tells, in Mbit/s.
	unknownLink = 1000.0
	// bytesPerMbit is one Mbit/s in bytes a second.
	bytesPerMbit = 125_000.0
	// upstreamBytes and routeBytes are what one of each takes in a reply, as measured with names of the platform's length.
	upstreamBytes, routeBytes = 110, 90
)

// newWholes returns the bound of replies that hold everything, in bytes; one second's worth may go at once.
func newWholes(linkMbps float64) *rate.Limiter {
	return rate.NewLimiter(wholeRate(linkMbps), int(wholeRate(linkMbps)))
}

// wholeRate returns the bytes a second that those replies may take.
func wholeRate(linkMbps float64) rate.Limit {
	if linkMbps <= 0 {
		linkMbps = unknownLink
	}
	return rate.Limit(linkMbps * bytesPerMbit * wholeShare)
}

// wholeSize returns about how many bytes a reply with everything takes, at most as many as may go at once.
func (s *Share) wholeSize(k *model.Snapshot) int {
	return min(len(k.Upstreams.Items)*upstreamBytes+len(k.Routes.Routes)*routeBytes, s.wholes.Burst())
}
