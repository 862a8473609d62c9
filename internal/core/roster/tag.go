package roster

import (
	"encoding/binary"
	"maps"
	"time"

	"github.com/cespare/xxhash/v2"

	"hawthorncourse/internal/core/model"
)

const (
	// LostTagRetention is how long the tag of a run is known whose registration was lost. An instance that is cut off from the store together with the
	// upstream goes on opening flows there, and regions may lose each other for an hour.
	LostTagRetention = time.Hour
	// sweepInterval bounds the work for outdated tags.
	sweepInterval = time.Second
)

// tagKey is the lookup key of a run of an upstream. A tag is only meaningful within one service.
type tagKey struct {
	service model.ServiceID
	tag     model.RoutingTag
}

func (u *Upstream) key() tagKey {
	return tagKey{service: u.Service, tag: u.Tag}
}

// routingTag derives the tag of a run of an upstream from its registration alone, so that all instances compute the same tag.
func routingTag(r *model.Registration) model.RoutingTag {
	var buf [24]byte
	binary.BigEndian.PutUint64(buf[:], uint64(r.Number))
	binary.BigEndian.PutUint64(buf[8:], uint64(r.Boot))
	binary.BigEndian.PutUint64(buf[16:], xxhash.Sum64String(string(r.Service)))
	sum := xxhash.Sum64(buf[:])
	return model.RoutingTag(max(uint32(sum>>32), 1))
}

// ExpireTags removes the tags of upstreams that ended at least TagRetention ago.
func (r *Roster) ExpireTags(now model.Instant) {
	for len(r.ended) > 0 && now.Sub(r.ended[0].Since) >= r.cfg.TagRetention {
		oldest := r.ended[0]
		r.ended = r.ended[1:]
		if r.tags[oldest.key()] == oldest {
			delete(r.tags, oldest.key())
		}
		if !oldest.Replaced() {
			r.unused[oldest.Tag] = oldest.Since.Add(max(LostTagRetention, r.cfg.TagRetention))
		}
	}
	if now >= r.sweepAt {
		maps.DeleteFunc(r.seen, func(_ model.RoutingTag, s seenRun) bool { return now >= s.until })
		maps.DeleteFunc(r.unused, func(_ model.RoutingTag, until model.Instant) bool { return now >= until })
		r.sweepAt = now.Add(sweepInterval)
	}
}

// ByTag returns the run of an upstream of the service with the tag, or nil. The result may be in StateGone.
func (r *Roster) ByTag(service model.ServiceID, tag model.RoutingTag) *Upstream {
	return r.tags[tagKey{service: service, tag: tag}]
}

// Knows reports whether a tag is of any registration that was listed, applied or not, of any service. A flow with the tag may be open at its run even if
// ByTag does not find it among the services of the flow's route. The tags of replaced runs are known for TagRetention only, as ByTag finds them.
func (r *Roster) Knows(now model.Instant, tag model.RoutingTag) bool {
	if now < r.unused[tag] {
		return true
	}
	for service := range r.services {
		if r.ByTag(service, tag) != nil {
			return true
		}
	}
	return false
}

// keepUnused records that a registration was listed that was not applied, unless it is an older write of the run in use.
func (r *Roster) keepUnused(now model.Instant, reg *model.Registration) {
	if u := r.current[reg.ID]; u == nil || !u.isRun(reg) {
		tag := routingTag(reg)
		r.unused[tag] = max(r.unused[tag], now.Add(r.cfg.TagRetention))
		r.recordSeen(now, reg)
		r.correctAdopted(reg)
	}
}

// claimTag lets packets with the tag of a run go to it, unless the flows of another run with the tag may be open that has been listed
// here: an adopted run yields the tag.
func (r *Roster) claimTag(now model.Instant, u *Upstream) {
	holder := r.tags[u.key()]
	u.untagged = holder != nil && !holder.adopted && !holder.isSameStart(u) && !holder.Ended(now)
	if !u.untagged {
		r.tags[u.key()] = u
	}
}
