package roster

import (
	"encoding/binary"
	"maps"
	"slices"
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

// prefixKey is the lookup key of the runs of a service whose tags have a prefix.
type prefixKey struct {
	service model.ServiceID
	prefix  model.TagPrefix
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
			r.removeTag(oldest.key())
		}
		if !oldest.Replaced() {
			r.unused[oldest.Tag.Prefix()] = oldest.Since.Add(max(LostTagRetention, r.cfg.TagRetention))
		}
	}
	if now >= r.sweepAt {
		maps.DeleteFunc(r.seen, func(_ model.RoutingTag, s seenRun) bool { return now >= s.until })
		maps.DeleteFunc(r.unused, func(_ model.TagPrefix, until model.Instant) bool { return now >= until })
		r.sweepAt = now.Add(sweepInterval)
	}
}

// ByTag returns the run of an upstream of the service with the tag, or nil. The result may be in StateGone.
func (r *Roster) ByTag(service model.ServiceID, tag model.RoutingTag) *Upstream {
	return r.tags[tagKey{service: service, tag: tag}]
}

// Knows reports whether a tag or opening tag is of any registration that was listed, applied or not, of any service. A flow with the tag may be open at its
// run even if ByTag does not find it among the services of the flow's route. The tags of replaced runs are known for TagRetention only, as ByTag finds them.
// In rare cases, a tag counts as known because another run's has the same prefix.
func (r *Roster) Knows(now model.Instant, tag model.RoutingTag) bool {
	if now < r.unused[tag.Prefix()] {
		return true
	}
	return r.AnyByPrefix(tag.Prefix(), func(*Upstream) bool { return true })
}

// AnyByPrefix reports whether match returns true for any run, of any service, whose tag has the prefix.
func (r *Roster) AnyByPrefix(prefix model.TagPrefix, match func(*Upstream) bool) bool {
	for service := range r.services {
		if slices.ContainsFunc(r.ByPrefix(service, prefix), match) {
			return true
		}
	}
	return false
}

// ByPrefix returns the runs of upstreams of the service whose tags have the prefix, in no particular order. The caller must not modify the slice.
func (r *Roster) ByPrefix(service model.ServiceID, prefix model.TagPrefix) []*Upstream {
	return r.prefixes[prefixKey{service: service, prefix: prefix}]
}

// setTag lets packets with the tag of a run go to it.
func (r *Roster) setTag(u *Upstream) {
	r.removeTag(u.key())
	r.tags[u.key()] = u
	prefix := prefixKey{service: u.Service, prefix: u.Tag.Prefix()}
	r.prefixes[prefix] = append(r.prefixes[prefix], u)
}

// removeTag forgets which run a tag is of.
func (r *Roster) removeTag(key tagKey) {
	u := r.tags[key]
	if u == nil {
		return
	}
	delete(r.tags, key)
	prefix := prefixKey{service: key.service, prefix: key.tag.Prefix()}
	// The old slice may be in use by a caller of ByPrefix.
	rest := slices.DeleteFunc(slices.Clone(r.prefixes[prefix]), func(v *Upstream) bool { return v == u })
	if len(rest) == 0 {
		delete(r.prefixes, prefix)
		return
	}
	r.prefixes[prefix] = rest
}

// keepUnused records that a registration was listed that was not applied, unless it is an older write of the run in use.
func (r *Roster) keepUnused(now model.Instant, reg *model.Registration) {
	if u := r.current[reg.ID]; u == nil || !u.isRun(reg) {
		prefix := routingTag(reg).Prefix()
		r.unused[prefix] = max(r.unused[prefix], now.Add(r.cfg.TagRetention))
		r.recordSeen(now, reg)
		r.correctAdopted(reg)
	}
}

// claimTag lets packets with the tag of a run go to it, unless the flows of another run with the tag may be open that has been listed
// here: an adopted run yields the tag.
func (r *Roster) claimTag(now model.Instant, u *Upstream) {
	holder := r.tags[u.key()]
	u.untagged = holder != nil && !holder.adopted && !holder.isSameStart(u) && !holder.Ended(now)
	if !u.untagged && holder != u {
		r.setTag(u)
	}
}
