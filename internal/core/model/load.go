package model

import "time"

// LoadReport holds what upstreams have stated about their load.
type LoadReport struct {
	// Digest is that of the snapshot which lists the upstreams.
	Digest uint64
	// Loads holds at most one entry per upstream; an upstream without one has not been asked, or has not answered.
	Loads []UpstreamLoad
	// Urgent is set while the load of a service exceeds its slots, so that instances should know its changes sooner than usual.
	Urgent bool
}

// UpstreamLoad is the load of one run of an upstream.
type UpstreamLoad struct {
	ID UpstreamID
	// Boot is that of the registration of the run.
	Boot BootID
	// Work is the number of requests that run or wait at the upstream; never negative, zero if it is not known.
	Work int
	// Known is false if the answer of the upstream stated no valid load.
	Known bool
	// Age is the time since the upstream stated its load; it is overestimated, never underestimated.
	Age time.Duration
}

// HealthAnswer is what the answer to a health request says.
type HealthAnswer struct {
	// Upstream is the ID of the upstream that has answered; empty if it is not stated.
	Upstream UpstreamID
	// Running and Queued are the numbers of requests that the upstream processes and that wait there, and Slots is the number that it processes
	// concurrently. They are zero if Known is false.
	Running, Queued, Slots int
	// Known is false if the answer states no valid load.
	Known bool
}
