package relay

import (
	"context"
	"net/netip"
	"time"

	"hawthorncourse/internal/core/direct"
	"hawthorncourse/internal/core/model"
)

// Limits holds the settings that may change while an instance runs.
type Limits struct {
	// Domains is the number of failure domains; zero if unknown.
	Domains int
	// Seeds holds control addresses of instances that are polled for a snapshot at the start if the store does not answer. Addresses may be
	// out of date.
	Seeds []netip.AddrPort
	// MaxStaleness is the time within which any change in the platform's store must take effect.
	MaxStaleness time.Duration
	// StopWithin is the time within which a graceful shutdown must be complete.
	StopWithin time.Duration
	// LinkMbps is the speed of the instance's own link in Mbit/s; zero if unknown.
	LinkMbps float64
	// FlowLife is the maximum lifetime of a flow.
	FlowLife time.Duration
	// AddressReuse is the least time from the end of an upstream until another may use its address; zero if unknown.
	AddressReuse time.Duration
	// ColdFactor multiplies the rate of new flows that a cold upstream gets.
	ColdFactor float64
	// ColdSlack is the number of new flows per second that a cold upstream may get beyond its rate.
	ColdSlack float64
}

// engineLimits returns the limits that the engine needs.
func (l *Limits) engineLimits() direct.Limits {
	return direct.Limits{Domains: l.Domains, FlowLife: l.FlowLife, AddressReuse: l.AddressReuse, ColdFactor: l.ColdFactor, ColdSlack: l.ColdSlack}
}

// SetLimits replaces the limits while the instance runs.
func (r *Relay) SetLimits(ctx context.Context, l Limits) {
	r.counts.Counter("relay.reload").Inc(1)
	r.logger("relay").With("changeBy", l.MaxStaleness).With("stopWithin", l.StopWithin).With("linkMbps", l.LinkMbps).With("flowLife", l.FlowLife).With("addressReuse", l.AddressReuse).
		With("coldFactor", l.ColdFactor).With("coldSlack", l.ColdSlack).With("seeds", l.Seeds).Info("Changed settings have been applied.")
	r.limits.Store(&l)
	r.pendingLimits.Store(&l)
	r.share.SetLinkMbps(l.LinkMbps)
	r.submit(ctx, func(model.Instant) {
		r.engine.SetLimits(l.engineLimits())
		r.egress.SetLinkMbps(l.LinkMbps)
	})
}

// applyLimits applies changed limits to the scheduler. If the staleness bound has changed, all ordinals are reset, as they were assigned with
// the old time limits.
func (f *follower) applyLimits(ctx context.Context) {
	l := f.pendingLimits.Swap(nil)
	if l == nil {
		return
	}
	f.scheduler.SetLinkMbps(l.LinkMbps)
	if !f.scheduler.SetMaxStaleness(l.MaxStaleness) {
		return
	}
	f.snapshotMu.Lock()
	f.outages.SetMaxStaleness(l.MaxStaleness)
	f.snapshotMu.Unlock()
	f.ordinals.reset(f.scheduler)
	f.setOrdinal(ctx, model.Ordinal{})
}
