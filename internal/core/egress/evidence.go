package egress

import "time"

// saturationShare is the share of a link's speed from which on a missing answer is more likely due to the link than to the other side.
const saturationShare = 0.7

// Saturated reports whether bytes received or sent within a period fill a link of the given speed in Mbit/s. A link of unknown speed (zero) never
// counts as saturated.
func Saturated(linkMbps float64, bytes int64, period time.Duration) bool {
	return linkMbps > 0 && float64(bytes) >= linkMbps*bytesPerMbps*saturationShare*period.Seconds()
}
