package admit

import (
	"net/netip"
	"time"

	"hawthorncourse/internal/core/model"
)

// maxPatience is the longest wait, in nanoseconds, of a request. A caller sends a copy of its SYN after 200 ms, which may reach an upstream through another
// instance; a refusal after that would not be true.
const maxPatience = 180 * time.Millisecond

// patienceShare is the divisor of the target that gives the longest wait. The other half remains for the queue of the upstream and the response.
const patienceShare = 2

// priorities is the number of priorities; the configuration permits 0 to 9. A request with a value outside counts as the nearest.
const priorities = 10

// Request is a flow that asks to be opened.
type Request struct {
	// Key identifies the flow; a copy of a SYN has the key of its original.
	Key model.FlowKey
	// Caller is the address whose share of the admissions is balanced against that of other callers.
	Caller netip.Addr
	// Priority is that of the flow's route.
	Priority model.Priority
	// Target is the target latency of the flow's route; zero means not stated.
	Target time.Duration
	// Arrived is the arrival of the first SYN of the flow.
	Arrived model.Instant
}

// deadline returns the instant up to which the request may wait.
func (r *Request) deadline() model.Instant {
	if r.Target <= 0 {
		return r.Arrived.Add(maxPatience)
	}
	return r.Arrived.Add(min(r.Target/patienceShare, maxPatience))
}

// class returns the priority, bounded to 0 to priorities-1.
func (r *Request) class() int {
	return min(max(int(r.Priority), 0), priorities-1)
}

// Verdict is the decision on a request.
type Verdict uint8

const (
	// VerdictAdmit means that the flow is forwarded. It is final.
	VerdictAdmit Verdict = iota + 1
	// VerdictWait means that Next returns the request later, with its final verdict.
	VerdictWait
	// VerdictRefuse means that the flow is reset before it opens. It is final.
	VerdictRefuse
)

// String returns the verdict for log lines and test output.
func (v Verdict) String() string {
	switch v {
	case VerdictAdmit:
		return "admit"
	case VerdictWait:
		return "wait"
	case VerdictRefuse:
		return "refuse"
	default:
		return "unknown"
	}
}
