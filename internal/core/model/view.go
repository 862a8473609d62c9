package model

import (
	"net/netip"
	"time"
)

// UpstreamView is the state of an upstream as seen by one instance, for status reports.
type UpstreamView struct {
	ID      UpstreamID
	Service ServiceID
	Domain  DomainID
	// Owned is the number of the upstream's slots that the instance owns.
	Owned int
	// Limit is the number of concurrent requests that the instance may currently send to the upstream.
	Limit int
	// Running is the number of the upstream's slots that requests from the instance hold.
	Running int
	// Streams is the number of streams or flows that the instance relayed to the upstream recently.
	Streams int
	// Cold is true during a cold start.
	Cold bool
	// StartUnverified is true if the upstream may have restarted since its last answer.
	StartUnverified bool
	// NoNewWork is true if the upstream is draining or out of service.
	NoNewWork bool
}

// DirectView is the state of an upstream that answers callers directly, as seen by one instance, for status reports.
type DirectView struct {
	ID      UpstreamID
	Service ServiceID
	Domain  DomainID
	Address netip.AddrPort
	// State is the name of the upstream's registration state: listed, missing, unreadable or gone.
	State string
	// Draining is true if the upstream has announced its shutdown.
	Draining bool
	// Cold is true during a cold start, while the upstream can take only a few new flows.
	Cold bool
	// Reachable is true unless the instance has ejected the upstream or considers its failure domain partitioned.
	Reachable bool
	// Running is the number of unanswered requests that the instance forwarded to the upstream.
	Running int
	// Flows is the number of open flows that the instance forwards to the upstream.
	Flows int
	// AnswerTime is the moving average of the time from a request to its answer.
	AnswerTime time.Duration
}
