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
	// parkLimit is the maximum number of packets parked for one upstream.
	parkLimit = 256
	// backoffInitial and backoffMax bound the pause of new requests to an upstream that did not answer.
	backoffInitial = 250 * time.Millisecond
	backoffMax     = 2 * time.Second
	// shedPause is how long an upstream gets no new requests after it shed one.
	shedPause = 250 * time.Millisecond
	// previousBootLimit is the maximum number of earlier boots kept for one upstream.
	previousBootLimit = 8
)

// upstream is the state of one upstream at this instance.
type upstream struct {
	cfg        *model.Upstream
	service    *service
	allocation *units.Allocation
	// out is set while operators have taken its failure domain out of service.
	out bool
	// boot is the last known boot; zero for none.
	boot model.BootID
	// previousBoots holds earlier boots; late answers from them confirm nothing.
	previousBoots []model.BootID
	// bootObservedAt is when any instance first observed the boot.
	bootObservedAt model.Instant
	// restartedAt is when a change of the boot was last observed; zero for never.
	restartedAt model.Instant
	// confirmedAt is when an answer last confirmed the boot; zero for never.
	confirmedAt model.Instant
	// suspect is set when the upstream did not answer, so that it may have restarted.
	suspect bool
	// coldUntil is when the cold start ends.
	coldUntil model.Instant
	// bootTimeInferred is set while the boot is only known from the upstream's answers: it may have started long before the first of them.
	bootTimeInferred bool
	// updateDue is set while this instance has yet to report the boot time to the owners of its slots.
	updateDue bool
	// pauseUntil is when the upstream gets new requests again after it shed load or did not answer.
	pauseUntil model.Instant
	// backoff is the last pause for a missing answer; zero after an answer.
	backoff time.Duration
	// draining and down are the states from its health endpoint; they can only reduce its load.
	draining, down bool
	// reportedStreams is the number of open streams from its load report.
	reportedStreams int
	// running is the number of slots that requests forwarded by this instance hold.
	running int
	// probedAt is when a packet was last forwarded to confirm the boot; zero for never.
	probedAt model.Instant
	// parked holds the packets of streams and flows that wait for the confirmation.
	parked      queue.Queue[*model.Packet]
	serviceTime choose.LatencyAverage
	utilisation gauge
	// openedStreams counts the streams and flows that this instance recently assigned to it.
	openedStreams window
	// coldStreams counts the streams that the present or a possible cold start must bear: those assigned since the boot was recorded or,
	// after the cold start, since the boot was last confirmed, and the flows assigned during the cold start.
	coldStreams int
	// streams is the number of its streams and flows that this instance tracks.
	streams int
	// updateSentAt is when its last observation was sent to peers; zero for never.
	updateSentAt model.Instant
}

// Candidate is one upstream with a free slot, as seen by selection policies.
type Candidate struct {
	up *upstream
	// FreeSlots is the number of its slots that this instance may use now; at least one.
	FreeSlots int
	// Running is the number of requests of this instance that it runs.
	Running int
	// ServiceTime is the expected time to serve one request.
	ServiceTime time.Duration
	// Utilisation is the recent mean fraction of this instance's slots in use.
	Utilisation float64
}

// CompletionTime scores a candidate by the expected time to complete one more request, in nanoseconds.
func CompletionTime(c Candidate) float64 {
	return float64(c.ServiceTime) * float64(c.Running+1) / float64(c.Running+c.FreeSlots)
}

// Utilisation scores a candidate by the recent utilisation of its slots.
func Utilisation(c Candidate) float64 {
	return c.Utilisation
}

// noNewWork reports whether the upstream accepts no new requests and streams at all.
func (u *upstream) noNewWork() bool {
	return u.out || u.cfg.Leaving || u.draining
}

// unconfirmed reports whether no answer within the lease confirms the boot, so that the upstream may have restarted unnoticed.
func (u *upstream) unconfirmed(now model.Instant, lease time.Duration) bool {
	return u.confirmedAt == 0 || now.Sub(u.confirmedAt) > lease
}

// cold reports whether only the limits of a cold start may be used, because of a cold start or because the boot is unconfirmed.
func (u *upstream) cold(now model.Instant, lease time.Duration) bool {
	return now < u.coldUntil || u.unconfirmed(now, lease)
}

// requestLimit returns how many requests this instance may run at the upstream concurrently.
func (u *upstream) requestLimit(now model.Instant, lease time.Duration) int {
	if u.noNewWork() || u.allocation == nil || now < u.pauseUntil {
		return 0
	}
	if u.down && u.unconfirmed(now, lease) {
		return 0
	}
	if !u.cold(now, lease) {
		return u.allocation.Usable(now)
	}
	if u.allocation.IsPrimary(now) {
		return u.cfg.ColdSlots
	}
	return 0
}

// streamRoom returns how many more streams this instance may assign to the upstream. instances is the number of instances that use it.
func (u *upstream) streamRoom(now model.Instant, lease time.Duration, instances int) int {
	if u.requestLimit(now, lease) == 0 {
		return 0
	}
	if u.cold(now, lease) {
		return u.cfg.ColdConnections - u.coldStreams
	}
	open := max(u.reportedStreams, u.streams*instances)
	fraction := float64(u.allocation.Usable(now)) / float64(u.cfg.Slots)
	return int(fraction*float64(u.cfg.Connections-open)) - u.openedStreams.sum(now, u.service.cfg.RefreshInterval)
}

// backOff pauses new requests; the pause doubles with each call up to backoffMax until the upstream answers.
func (u *upstream) backOff(now model.Instant) {
	u.backoff = min(max(u.backoff*2, backoffInitial), backoffMax)
	u.pauseUntil = now.Add(u.backoff)
}

// confirm records the boot that an answer carries; boot is zero for an upstream that does not report it. It reports whether the answer
// reveals a restart.
func (u *upstream) confirm(now model.Instant, boot model.BootID) (restarted bool) {
	if boot != 0 && slices.Contains(u.previousBoots, boot) {
		return false
	}
	if boot == 0 && u.suspect {
		u.recordBoot(now, 0)
	}
	if boot == 0 || boot == u.boot {
		u.confirmedAt, u.backoff, u.suspect = now, 0, false
		if now >= u.coldUntil {
			u.coldStreams = 0
		}
		return false
	}
	restarted = u.boot != 0
	u.recordBoot(now, boot)
	u.bootTimeInferred = !restarted
	u.confirmedAt, u.backoff, u.suspect = now, 0, false
	return restarted
}

// recordBoot records a new boot and starts its cold start; boot is zero for an upstream that does not report it.
func (u *upstream) recordBoot(now model.Instant, boot model.BootID) {
	if u.boot != 0 {
		u.restartedAt = now
		u.previousBoots = append(u.previousBoots, u.boot)
		u.previousBoots = u.previousBoots[max(0, len(u.previousBoots)-previousBootLimit):]
	}
	u.boot, u.bootObservedAt, u.bootTimeInferred = boot, now, false
	u.coldUntil = now.Add(u.cfg.ColdFor)
	u.coldStreams = 0
}
