package engine

import (
	"slices"
	"time"

	"hawthorncourse/internal/core/choose"
	"hawthorncourse/internal/core/model"
	"hawthorncourse/internal/core/queue"
	"hawthorncourse/internal/core/units"
)

const (
	parkLimit    = 256
	backoffFirst = 250 * time.Millisecond
	backoffLimit = 2 * time.Second
	shedPause    = 250 * time.Millisecond
	retiredLimit = 8
)

// upstream is the state of one upstream at this instance.
type upstream struct {
	cfg     *model.Upstream
	service *service
	share   *units.Allocation
	// out is set while operators have taken its domain out.
	out bool
	// boot is the start that was heard last; zero for none.
	boot model.BootID
	// retired holds earlier starts, whose late answers prove nothing.
	retired []model.BootID
	// bootSeen is when any instance first heard of the boot.
	bootSeen model.Instant
	// restarted is when a change of the boot was last noticed; zero for never.
	restarted model.Instant
	// heard is when an answer last proved the boot; zero for never.
	heard model.Instant
	// suspect is set when it kept silent, so that it may have restarted.
	suspect bool
	// coldUntil is when the cold start is over.
	coldUntil model.Instant
	// guessed is set while the start is only known from the upstream's own answers: it may lie long before the first of them.
	guessed bool
	// owed is set while the owners of its slots have yet to hear from this instance when it started.
	owed bool
	// pauseUntil is when the upstream is tried again after it shed load or kept silent.
	pauseUntil model.Instant
	backoff    time.Duration
	// draining and down are what its health endpoint says; they only lower what it gets.
	draining, down bool
	// reported is the number of open streams by its load report.
	reported int
	// running is the number of requests forwarded from here and not answered.
	running int
	// probed is when a packet was last let through to prove the boot.
	probed model.Instant
	// parked holds packets of streams that wait for that proof.
	parked queue.Queue[*model.Packet]
	speed  choose.LatencyAverage
	busy   gauge
	// opened counts the streams placed here by interval.
	opened window
	// coldOpened counts the streams placed during this cold start.
	coldOpened int
	// streams is the number of streams that this instance relayed lately.
	streams int
	told    model.Instant
}

// Candidate is one free upstream, as placement policies see it.
type Candidate struct {
	up *upstream
	// Free is the number of its slots that may be used at once; at least one.
	Free int
	// Running is the number of requests that it runs for this instance.
	Running int
	// Mean is its expected service time.
	Mean time.Duration
	// Busy is the share of its owned slots that was lately in use.
	Busy float64
}

// Completion scores a candidate by the expected completion of one more request.
func Completion(c Candidate) float64 {
	return float64(c.Mean) * float64(c.Running+1) / float64(c.Running+c.Free)
}

// Utilisation scores a candidate by how busy its slots were lately.
func Utilisation(c Candidate) float64 {
	return c.Busy
}

// closed reports whether the upstream takes no new work at all.
func (u *upstream) closed() bool {
	return u.out || u.cfg.Leaving || u.draining
}

// unsure reports whether the upstream may have restarted unnoticed.
func (u *upstream) unsure(now model.Instant, lease time.Duration) bool {
	return u.heard == 0 || now.Sub(u.heard) > lease
}

// cold reports whether only the cold allowance may be used.
func (u *upstream) cold(now model.Instant, lease time.Duration) bool {
	return now < u.coldUntil || u.unsure(now, lease)
}

// limit returns how many requests this instance may have running there.
func (u *upstream) limit(now model.Instant, lease time.Duration) int {
	if u.closed() || u.share == nil || now < u.pauseUntil {
		return 0
	}
	if u.down && u.unsure(now, lease) {
		return 0
	}
	if !u.cold(now, lease) {
		return u.share.Usable(now)
	}
	if u.share.IsPrimary(now) {
		return u.cfg.ColdSlots
	}
	return 0
}

// room returns how many more streams this instance may place there.
func (u *upstream) room(now model.Instant, lease time.Duration, instances int) int {
	if u.limit(now, lease) == 0 {
		return 0
	}
	if u.cold(now, lease) {
		return u.cfg.ColdConnections - u.coldOpened
	}
	open := max(u.reported, u.streams*instances)
	share := float64(u.share.Usable(now)) / float64(u.cfg.Slots)
	return int(share*float64(u.cfg.Connections-open)) - u.opened.sum(now, u.service.cfg.RefreshInterval)
}

// pause keeps new work away for a time that grows with each call until the upstream answers.
func (u *upstream) pause(now model.Instant) {
	u.backoff = min(max(u.backoff*2, backoffFirst), backoffLimit)
	u.pauseUntil = now.Add(u.backoff)
}

// hear takes an answer as proof that the upstream runs as boot; it reports a restart.
func (u *upstream) hear(now model.Instant, boot model.BootID) (restarted bool) {
	if boot != 0 && slices.Contains(u.retired, boot) {
		return false
	}
	if boot == 0 && u.suspect {
		u.restart(now, 0)
	}
	if boot == 0 || boot == u.boot {
		u.heard, u.backoff, u.suspect = now, 0, false
		return false
	}
	restarted = u.boot != 0
	u.restart(now, boot)
	u.guessed = !restarted
	u.heard, u.backoff, u.suspect = now, 0, false
	return restarted
}

// restart takes note of a new start; boot is zero for an upstream that does not tell.
func (u *upstream) restart(now model.Instant, boot model.BootID) {
	if u.boot != 0 {
		u.restarted = now
		u.retired = append(u.retired, u.boot)
		u.retired = u.retired[max(0, len(u.retired)-retiredLimit):]
	}
	u.boot, u.bootSeen, u.guessed = boot, now, false
	u.coldUntil = now.Add(u.cfg.ColdFor)
	u.coldOpened = 0
}
