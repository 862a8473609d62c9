package model

import (
	"cmp"
	"net/netip"
	"time"
)

// Revision is a revision number of the platform's store, which increases with every change of any object; zero means none.
type Revision uint64

// EndpointNumber is the prefix that addresses an upstream in each packet sent to it; zero addresses any upstream.
type EndpointNumber uint64

// Registration is the entry of an upstream in the platform's store, which the upstream writes itself.
type Registration struct {
	ID UpstreamID
	// Revision is the revision of the last write of the entry.
	Revision Revision
	// Number is derived from ID and is never zero.
	Number  EndpointNumber
	Service ServiceID
	Domain  DomainID
	Address netip.AddrPort
	// Boot identifies the current run of the upstream's process; it changes when the upstream restarts under the same ID.
	Boot BootID
	// Slots is the number of requests that the upstream processes concurrently; at least one.
	Slots int
	// ColdFor is the remaining time of the cold start, counted from the write.
	ColdFor time.Duration
	// Draining is true before a graceful shutdown: open flows continue, new ones go to other upstreams.
	Draining bool
}

// RouteKind states whether callers may retry requests on a route.
type RouteKind uint8

// Route kinds.
const (
	// RouteOnce is a route of non-idempotent requests, which must be executed at most once.
	RouteOnce RouteKind = iota + 1
	// RouteIdempotent is a route of idempotent requests, which callers retry after any failure.
	RouteIdempotent
)

// Target is one weighted destination of a route.
type Target struct {
	Service ServiceID
	// Weight is the share of new flows relative to the other targets of the route; greater than zero.
	Weight float64
}

// Route distributes the flows that callers open to one address over services.
type Route struct {
	Name    string
	Address netip.AddrPort
	Kind    RouteKind
	// Timeout is the maximum duration of a request.
	Timeout time.Duration
	// Target is the target latency of requests; zero means not stated.
	Target time.Duration
	// Targets are the services that new flows are distributed over; never empty.
	Targets []Target
}

// ServiceLimits holds the limits that operators configure for each upstream of a service.
type ServiceLimits struct {
	ID ServiceID
	// ColdRate is the number of new flows per second that a cold upstream can take.
	ColdRate float64
	// ColdFor is the duration of a cold start.
	ColdFor time.Duration
	// Connections is the maximum number of open flows.
	Connections int
	// HealthPath is the HTTP path of health requests to the upstreams of the service; empty if there is none.
	HealthPath string
}

// RouteTable is one accepted version of the routing configuration.
type RouteTable struct {
	// Version is the version number that operators see; it increases, but not always by one.
	Version Version
	// Revision is the store revision of the table.
	Revision Revision
	// Era is the era of Revision.
	Era      Era
	Routes   []Route
	Services []ServiceLimits
	// FlowIdle is the idle timeout of flows.
	FlowIdle time.Duration
}

// NewerThan reports whether t replaces other: a higher version does, which a restore of the store does not set back, and a later write of the same one.
func (t *RouteTable) NewerThan(other *RouteTable) bool {
	return cmp.Or(cmp.Compare(t.Version, other.Version), t.At().Compare(other.At())) > 0
}

// At returns the state of the store in which the table was written.
func (t *RouteTable) At() Position {
	return Position{Era: t.Era, Revision: t.Revision}
}
