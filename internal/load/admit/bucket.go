package admit

import (
	"math"
	"time"

	"hawthorncourse/internal/core/model"
)

const (
	// burstWindow is the time, in nanoseconds, for which an unused rate is kept. All instances may spend it at the same time, so it stays within the
	// order of one short request for each slot.
	burstWindow = 20 * time.Millisecond
	// overdraftWindow is the time, in nanoseconds, whose rate the higher priorities may spend in advance; the page on overload names half a second.
	overdraftWindow = 500 * time.Millisecond
	// tokenSlack absorbs rounding errors of a bucket, in flows.
	tokenSlack = 1e-6
)

// bucket is a token bucket of two parts. The reserve accrues a fixed share of the rate and is spent on the lowest priority only; what overflows it
// goes to the main part, so that no capacity is lost while the lowest priority needs less.
type bucket struct {
	// rate is in flows per second.
	rate float64
	// share is the share of the rate that the reserve accrues, 0 to 1.
	share float64
	// extra is a rate of admissions from elsewhere of which the reserve accrues the share as well.
	extra float64
	// main is at most the depth of the bucket; it is negative while higher priorities have overdrawn it.
	main float64
	// reserve is 0 to the depth of the reserve.
	reserve float64
	at      model.Instant
}

// depth returns the number of tokens that a part with the given rate may hold; it is at least one, so that slow gates admit anything.
func depth(rate float64) float64 {
	return max(1, rate*burstWindow.Seconds())
}

// refill adds the tokens accrued since the last call.
func (b *bucket) refill(now model.Instant) {
	if now <= b.at {
		return
	}
	elapsed := now.Sub(b.at).Seconds()
	accrued := b.rate * elapsed
	b.at = now
	b.reserve += b.reserveRate() * elapsed
	overflow := max(0, b.reserve-depth(b.reserveRate()))
	b.reserve -= overflow
	b.main = min(b.main+accrued*(1-b.share)+overflow, depth(b.rate))
}

// reserveRate returns the rate at which the reserve accrues.
func (b *bucket) reserveRate() float64 {
	return (b.rate + b.extra) * b.share
}

// debt returns the number of tokens by which the main part is overdrawn.
func (b *bucket) debt() float64 {
	return max(0, -b.main)
}

// mainIn returns the time until the main part holds the given number of tokens if nothing is spent.
func (b *bucket) mainIn(tokens float64) time.Duration {
	missing := tokens - b.main
	if missing <= tokenSlack {
		return 0
	}
	// The main part accrues its own share, and the whole rate once the reserve is full.
	fills := 0.0
	if b.share > 0 {
		fills = (depth(b.reserveRate()) - b.reserve) / b.reserveRate()
	}
	if own := fills * b.rate * (1 - b.share); own < missing {
		return seconds(fills + (missing-own)/(b.rate+b.extra*b.share))
	}
	return seconds(missing / (b.rate * (1 - b.share)))
}

// reserveIn returns the time until the reserve holds one token, forever if there is no reserve.
func (b *bucket) reserveIn() time.Duration {
	missing := 1 - b.reserve
	if missing <= tokenSlack {
		return 0
	}
	return seconds(missing / b.reserveRate())
}

// forever is longer than any wait.
const forever = 1000 * time.Hour

// seconds converts to a duration, rounded up to at least a nanosecond and bounded by forever.
func seconds(s float64) time.Duration {
	if !(s < forever.Seconds()) {
		return forever
	}
	return max(1, time.Duration(math.Ceil(s*float64(time.Second))))
}
