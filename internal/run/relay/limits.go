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
	// Domains is the number of failure domains; zero for unknown.
	Domains int
	// Seeds holds control addresses of instances that may know more at the start; they may be stale.
	Seeds []netip.AddrPort
	// MaxStaleness is the time in which any change must be in force.
	MaxStaleness time.Duration
	// StopWithin is the time in which a planned stop must end.
	StopWithin time.Duration
	// LinkMbps is the speed of the instance's own link in Mbit/s; zero for unknown.
	LinkMbps float64
	// FlowLife is the longest life of a flow.
	FlowLife time.Duration
	// ColdFactor multiplies the rate that a cold upstream bears.
	ColdFactor float64
	// ColdSlack is the number of flows a second that a cold upstream may get beyond its rate.
	ColdSlack float64
}

// engine returns the limits that decisions depend on.
func (l *Limits) engine() direct.Limits {
	return direct.Limits{Domains: l.Domains, FlowLife: l.FlowLife, ColdFactor: l.ColdFactor, ColdSlack: l.ColdSlack}
}

// SetLimits puts other limits in force while the instance runs.
func (r *Relay) SetLimits(ctx context.Context, l Limits) {
	r.counts.Counter("relay.reload").Inc(1)
	r.part("relay").With("changeBy", l.MaxStaleness).With("stopWithin", l.StopWithin).With("linkMbps", l.LinkMbps).With("flowLife", l.FlowLife).
		With("coldFactor", l.ColdFactor).With("coldSlack", l.ColdSlack).With("seeds", l.Seeds).Info("Changed settings are in force.")
	r.limits.Store(&l)
	r.changed.Store(&l)
	r.share.SetLinkMbps(l.LinkMbps)
	r.do(ctx, func(model.Instant) { r.engine.SetLimits(l.engine()) })
}

// takeUp lets the follow duty keep to limits that have changed. Numbers were given out for the times of before.
func (f *follower) takeUp(ctx context.Context) {
	l := f.changed.Swap(nil)
	if l == nil {
		return
	}
	f.keeper.SetLinkMbps(l.LinkMbps)
	if !f.keeper.SetMaxStaleness(l.MaxStaleness) {
		return
	}
	f.knownMu.Lock()
	f.trust.SetMaxStaleness(l.MaxStaleness)
	f.knownMu.Unlock()
	f.places.reset(f.keeper)
	f.take(ctx, model.Ordinal{})
}
