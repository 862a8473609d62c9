// Package model defines the types that the decision packages share.
//
// Two engines decide on packets. Package engine balances CoAP requests, streams and datagram flows according to a Document; the answers pass
// through an instance. Package direct balances flows according to a Snapshot of the platform's store; upstreams answer callers directly, and
// the packets of a flow carry the routing tag of its upstream.
//
// Terms used throughout:
//   - A run of a process is its execution from a start to its exit; it is identified by a BootID.
//   - A slot is the capacity of an upstream for one concurrent request. In package engine, each slot is owned by one instance.
//   - A stream is a CoAP observation (the Observe option): a long-lived exchange in which an upstream sends notifications.
//   - A binding is an authenticated value in a request. It ties a stream to its upstream, or a request that must be executed at most once to
//     the instance that issued the binding.
//   - A cold start is the time after the start of an upstream in which it can take only little load.
package model

import (
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
)

// InstanceID identifies an instance of the load balancer.
type InstanceID string

// DomainID identifies a failure domain.
type DomainID string

// ServiceID identifies a service.
type ServiceID string

// UpstreamID identifies an upstream; it is unique across all services.
type UpstreamID string

// BootID identifies one run of a process. Instances and registered upstreams use their start time, so that a higher value is a later start.
// Zero means unknown.
type BootID uint64

// Version is the version number of one object in the platform's store; zero means none.
type Version uint64

// Epoch is the generation number of a set of binding keys; zero means none.
type Epoch uint16

// Priority is the rank of requests when capacity is short; 0 is the highest.
type Priority int

// LowestPriority is the lowest priority, that of routes whose configuration states none. The platform defines the range.
const LowestPriority Priority = 9

// Instant is a time on the monotonic clock of the process, in nanoseconds since the process started.
type Instant int64

// Add returns t+d.
func (t Instant) Add(d time.Duration) Instant {
	return t + Instant(d)
}

// Sub returns the duration t-u.
func (t Instant) Sub(u Instant) time.Duration {
	return time.Duration(t - u)
}

// UpstreamTag is a 32-bit hash of an upstream's ID that identifies it inside a binding.
type UpstreamTag uint32

// Tag returns the tag that identifies the upstream inside a binding.
func (id UpstreamID) Tag() UpstreamTag {
	return UpstreamTag(xxhash.Sum64String(string(id)))
}

// IssuerTag is a 48-bit hash that identifies one run of an instance, the issuer of a binding, inside that binding.
type IssuerTag uint64

const issuerTagMask = 1<<48 - 1

// NewIssuerTag returns the tag of the run of an instance that boot identifies.
func NewIssuerTag(id InstanceID, boot BootID) IssuerTag {
	h := xxhash.Sum64String(string(id)) ^ uint64(boot)*0x9e3779b97f4a7c15
	return IssuerTag(h & issuerTagMask)
}

// FlowKey identifies a flow by the addresses of its caller and of the service.
type FlowKey struct {
	Caller  netip.AddrPort
	Service netip.AddrPort
}

// Hash returns a hash of both addresses; it is the same on every instance.
func (k FlowKey) Hash() uint64 {
	var buf [36]byte
	caller, service := k.Caller.Addr().As16(), k.Service.Addr().As16()
	copy(buf[:16], caller[:])
	copy(buf[16:32], service[:])
	buf[32], buf[33] = byte(k.Caller.Port()>>8), byte(k.Caller.Port())
	buf[34], buf[35] = byte(k.Service.Port()>>8), byte(k.Service.Port())
	return xxhash.Sum64(buf[:])
}
