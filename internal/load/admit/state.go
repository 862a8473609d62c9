package admit

import "hawthorncourse/internal/core/model"

// Counts are numbers of requests since the gate was created.
type Counts struct {
	// Admitted includes AdmittedReserve, the requests of the lowest priority admitted from the reserve.
	Admitted, AdmittedReserve uint64
	// Waited counts the requests that had to wait, whatever became of them.
	Waited uint64
	// RefusedLate counts requests refused at once because their expected wait was too long.
	RefusedLate uint64
	// RefusedFull counts requests refused because the queue was full, or displaced from it by others.
	RefusedFull uint64
	// RefusedExpired counts requests refused after they waited for as long as their target permits.
	RefusedExpired uint64
	// Cancelled counts waiting requests whose caller gave up.
	Cancelled uint64
}

// State describes a gate for logs and metrics.
type State struct {
	// Known is whether the load is known and not older than 3 s.
	Known   bool
	Limited bool
	// Rate is the admission rate in flows per second; zero if not limited.
	Rate float64
	// Offered is the offered rate in flows per second, including retries.
	Offered float64
	// Waiting is the number of waiting requests.
	Waiting int
	// Load is the last reported load and FullLoad the load at which the service is full, in requests per slot; zero before the first report.
	Load, FullLoad float64
	// Updated is the time of the last update.
	Updated model.Instant
	Counts  Counts
}

// State returns the state as of the latest instant that the gate was called with.
func (g *Gate) State() State {
	s := State{
		Known:    g.control.known,
		Limited:  g.control.limited,
		Offered:  g.offered.rate(g.now),
		Waiting:  len(g.line.order),
		Load:     g.control.load,
		FullLoad: g.control.full,
		Updated:  g.control.at,
		Counts:   g.counts,
	}
	if s.Limited {
		s.Rate = g.control.rate()
	}
	return s
}
