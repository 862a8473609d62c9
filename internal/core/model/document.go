package model

import (
	"net/netip"
	"slices"
	"time"
)

// Kind is the protocol of a service.
type Kind uint8

// Service kinds.
const (
	// KindCoAP is CoAP.
	KindCoAP Kind = iota + 1
	// KindDatagram is opaque datagrams, which are balanced per flow.
	KindDatagram
)

// Document is one accepted version of the operators' configuration.
type Document struct {
	// Version is the version of the object in the platform's store, in the era in which it was read. The version in use on an instance never
	// decreases within an era.
	Version Version
	Era     Era
	// Operation identifies the update that wrote this version.
	Operation string
	// Earlier identifies the preceding updates, newest first.
	Earlier []string
	// Author is the operator who wrote this version.
	Author string
	// Note is the operator's reason for this version.
	Note string
	// KeyEpoch is the newest generation of binding keys; it never decreases.
	KeyEpoch Epoch
	Timing   Timing
	// Domains lists the failure domains; IDs are unique.
	Domains []Domain
	// Services lists the services; IDs and addresses are unique.
	Services []Service
}

// At returns the state of the store in which the document was written, as seen in its era.
func (d *Document) At() Position {
	return Position{Era: d.Era, Revision: Revision(d.Version)}
}

// DerivesFrom reports whether d is known to be an update of other, by any number of steps.
func (d *Document) DerivesFrom(other *Document) bool {
	return other.Operation != "" && slices.Contains(d.Earlier, other.Operation)
}

// Timing holds the durations that all instances must agree on.
type Timing struct {
	// Detection is the upper bound on the time between the failure of an instance and its detection by the others.
	Detection time.Duration
	// WarmLease is how long after an answer an upstream may be assumed not to have restarted.
	WarmLease time.Duration
	// BindingLife is the validity period of a binding for a single request.
	BindingLife time.Duration
	// StreamLife is the validity period of a binding for a stream.
	StreamLife time.Duration
}

// Domain is the configuration of one failure domain.
type Domain struct {
	ID     DomainID
	Region string
	// Out is true while operators have taken the domain out of service.
	Out bool
	// Note is the operator's remark on the domain.
	Note string
}

// Service is one address that callers send requests to, with the upstreams behind it.
type Service struct {
	ID      ServiceID
	Kind    Kind
	Address netip.AddrPort
	// RequestTimeout is the maximum time from the first packet of a request to its answer.
	RequestTimeout time.Duration
	// RefreshInterval is the interval at which callers refresh a stream.
	RefreshInterval time.Duration
	// QueueLimit is the maximum number of requests that wait for a slot at one instance.
	QueueLimit int
	// RetryPercent is the maximum number of retries, as a percentage of first attempts.
	RetryPercent int
	// Note is the operator's remark on the service.
	Note string
	// Upstreams are the back ends; none is shared with another service.
	Upstreams []Upstream
}

// Upstream is the configuration of one back end of a service.
type Upstream struct {
	ID      UpstreamID
	Domain  DomainID
	Address netip.AddrPort
	// Health is the address of the health and load endpoint; the zero AddrPort means that there is none.
	Health netip.AddrPort
	// Slots is the maximum number of concurrent requests.
	Slots int
	// Connections is the maximum number of open streams.
	Connections int
	// ColdSlots is the maximum number of concurrent requests during a cold start; at most Slots.
	ColdSlots int
	// ColdConnections is the maximum number of streams that are opened during a cold start.
	ColdConnections int
	// ColdFor is the duration of a cold start.
	ColdFor time.Duration
	// Leaving is true while operators are draining the upstream: it gets no new work.
	Leaving bool
	// Note is the operator's remark on the upstream.
	Note string
}

// Domain returns the failure domain with the ID; the boolean is false if the document has none.
func (d *Document) Domain(id DomainID) (Domain, bool) {
	for _, dom := range d.Domains {
		if dom.ID == id {
			return dom, true
		}
	}
	return Domain{}, false
}

// Service returns the service at the address, or nil.
func (d *Document) Service(addr netip.AddrPort) *Service {
	for i := range d.Services {
		if d.Services[i].Address == addr {
			return &d.Services[i]
		}
	}
	return nil
}
