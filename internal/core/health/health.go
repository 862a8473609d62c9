// Package health judges from real flows alone whether an upstream or a whole failure domain can be reached.
package health

import (
	"time"

	"hawthorncourse/internal/core/model"
)

const (
	// trialPause is the time between two flows that try an unreachable upstream; one in 14 upstreams costs a caller one resend a second.
	trialPause = time.Second
	// trialGrowth lengthens the pause after each trial that failed.
	trialGrowth = 2
	// trialLimit is a third of the shortest outage that operators plan for (12 s).
	trialLimit = 4 * time.Second
)

// Track follows the signs of life of one thing; its zero value knows nothing and trusts.
type Track struct {
	// misses counts the packets without an answer since the last sign of life.
	misses int
	// since is when the first of them was sent.
	since model.Instant
	// life is the last sign of life.
	life model.Instant
	// trial is when the next flow may try it.
	trial model.Instant
	pause time.Duration
}

// Alive notes a sign of life; it reports whether misses were forgotten with it.
func (t *Track) Alive(now model.Instant) bool {
	had := t.misses > 0
	*t = Track{life: now}
	return had
}

// Miss notes that a packet sent at the instant got no answer in time; one sent before the last sign of life says nothing.
func (t *Track) Miss(sent model.Instant) {
	if sent <= t.life && t.life > 0 {
		return
	}
	if t.misses == 0 || sent < t.since {
		t.since = sent
	}
	t.misses++
}

// Misses returns how many packets in a row got no answer.
func (t *Track) Misses() int {
	return t.misses
}

// Silent returns how long there was no answer although packets were sent.
func (t *Track) Silent(now model.Instant) time.Duration {
	if t.misses == 0 {
		return 0
	}
	return now.Sub(t.since)
}

// Try reports whether one flow may try the unreachable thing now, and then bars others for a while.
func (t *Track) Try(now model.Instant) bool {
	if now < t.trial {
		return false
	}
	t.pause = min(max(t.pause*trialGrowth, trialPause), trialLimit)
	t.trial = now.Add(t.pause)
	return true
}
