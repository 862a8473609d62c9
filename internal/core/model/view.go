package model

import (
	"net/netip"
	"time"
)

// UpstreamView is what one instance believes of one upstream, for operators.
type UpstreamView struct {
	ID      UpstreamID
	Service ServiceID
	Domain  DomainID
	// Owned is the number of its slots that the instance owns.
	Owned int
	// Limit is the number of requests that the instance may run there now.
	Limit int
	// Running is the number of requests that the instance runs there.
	Running int
	// Streams is the number of flows that the instance relayed lately.
	Streams         int
	Cold            bool
	StartUnverified bool
	NoNewWork       bool
}

// DirectView is what one instance believes of one upstream whose answers go straight to callers.
type DirectView struct {
	ID      UpstreamID
	Service ServiceID
	Domain  DomainID
	Address netip.AddrPort
	// State is what the registry proves of it.
	State string
	// Draining is its own word that it will leave.
	Draining bool
	// Cold is set while it bears only a few new flows.
	Cold bool
	// Reachable is set while new flows may go there as far as the instance sees.
	Reachable bool
	// Running is the number of requests without an answer that passed the instance.
	Running int
	// Flows is the number of open flows that passed the instance.
	Flows int
	// AnswerTime is the expected time from a request to its answer.
	AnswerTime time.Duration
}
