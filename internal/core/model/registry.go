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
	// RouteDownload is a route of idempotent requests whose responses are large. Instances pass the value on to each other; one of an earlier build,
	// which does not know it, treats the route as not idempotent.
	RouteDownload
)

var routeKindNames = map[RouteKind]string{
	RouteOnce:       "at most once",
	RouteIdempotent: "idempotent",
	RouteDownload:   "download",
}

// String returns the name of the kind as used in reports; it is empty for an unknown kind.
func (k RouteKind) String() string {
	return routeKindNames[k]
}

// Idempotent reports whether callers may retry requests on the route after any failure. It is false for an unknown kind.
func (k RouteKind) Idempotent() bool {
	return k == RouteIdempotent || k == RouteDownload
}

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
	// Timeout is the maximum duration of a request; zero if not stated.
	Timeout time.Duration
	// Priority is the rank of the route's requests when capacity is short, from 0 to LowestPriority.
	Priority Priority
	// Target is the response time that operators want for the route's requests; zero if not stated.
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
	// HealthPath is the path of health requests to an upstream, which begins with a slash; empty if not stated.
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
	// Partial is set if a route was left out because its address or its targets could not be read. An address without a route here may have one, so
	// flows that are open there are not reset.
	Partial bool
	// Omitted lists the values that could not be read and count as not stated. It is known to the instance that has read the store only.
	Omitted []Omission
}

// Omission is a value of a configuration that could not be read and was left out.
type Omission struct {
	// Object is what the value belongs to, such as "route feed", and Field the field that holds it.
	Object, Field string
	// Reason quotes the value and says what counts instead.
	Reason string
}

// NewerThan reports whether t replaces other: a higher version does, which a restore of the store does not set back, and a later write of the same one.
func (t *RouteTable) NewerThan(other *RouteTable) bool {
	return cmp.Or(cmp.Compare(t.Version, other.Version), t.At().Compare(other.At())) > 0
}

// At returns the state of the store in which the table was written.
func (t *RouteTable) At() Position {
	return Position{Era: t.Era, Revision: t.Revision}
}
