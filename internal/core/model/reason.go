package model

// Reason states why a packet or answer was refused, dropped, retried or handed off. Each reason has its own counter.
type Reason uint8

// Reasons.
const (
	// ReasonNone is the zero value: the action has no particular reason.
	ReasonNone Reason = iota
	// ReasonNoService means that no service of the document has the destination address, or that the service was removed while the request
	// was queued.
	ReasonNoService
	// ReasonNoDocument means that the instance has not loaded a document yet.
	ReasonNoDocument
	// ReasonNoKeys means that the instance has no binding keys yet.
	ReasonNoKeys
	// ReasonNoUpstream means that no upstream could take the request, stream or flow.
	ReasonNoUpstream
	// ReasonQueueFull means that the service's queue at the instance was at its limit.
	ReasonQueueFull
	// ReasonQueueTimeout means that the request did not get a slot in time.
	ReasonQueueTimeout
	// ReasonWoken is counted after a stall of the process of at least half the detection time, which restarts the hold-off of its slots.
	ReasonWoken
	// ReasonBindingForged means that the binding failed authentication or was issued for another caller or service. For a stream, it also
	// means that the signing key is no longer valid or that the binding was issued for a single request.
	ReasonBindingForged
	// ReasonBindingExpired means that the binding has expired or, for a non-idempotent request, that the key that signed it is no longer
	// valid.
	ReasonBindingExpired
	// ReasonBindingUsed means that the binding of a non-idempotent request was issued for another request or for a stream.
	ReasonBindingUsed
	// ReasonBindingMissing means that the request needs a binding and has none.
	ReasonBindingMissing
	// ReasonBindingMoved means that the stream has to move because its upstream was removed, was taken out of service with its failure
	// domain or has restarted; also counted when a restart is detected.
	ReasonBindingMoved
	// ReasonIssuerGone means that the instance that issued the binding has restarted, is dead or is unknown, or that the request cannot be
	// handed off to it because MaxHops is reached.
	ReasonIssuerGone
	// ReasonIssuerSevered means that the instance that issued the binding may still be running behind a network partition: every instance of
	// its failure domain is considered dead.
	ReasonIssuerSevered
	// ReasonIssuerElsewhere marks a request handed off to the instance that issued its binding.
	ReasonIssuerElsewhere
	// ReasonAnswerLost means that the request was forwarded, but no answer arrived in time.
	ReasonAnswerLost
	// ReasonAnswerLate means that the answer matches no unanswered request; most such answers arrive after their request was finished.
	ReasonAnswerLate
	// ReasonAnswerUnexpected means that the sender of the answer is not an upstream of the service, or not the upstream of the flow.
	ReasonAnswerUnexpected
	// ReasonReplyUnknown means that a caller's acknowledgement or rejection matches no message of an upstream, or that the upstream was
	// removed or taken out of service.
	ReasonReplyUnknown
	// ReasonUpstreamSilent means that an upstream did not answer, or may have restarted since its last answer.
	ReasonUpstreamSilent
	// ReasonUpstreamShed is counted when an upstream rejects a request without executing it.
	ReasonUpstreamShed
	// ReasonRetryBudget means that the retry budget was exhausted or, for a request that its upstream did not run, that too little time was
	// left for a retry.
	ReasonRetryBudget
	// ReasonRepeat marks a retransmission of a known request, a copy of the SYN of an open flow, or a different idempotent request that reuses the
	// token of a recent one.
	ReasonRepeat
	// ReasonMalformed means that the datagram could not be parsed.
	ReasonMalformed
	// ReasonRingFull means that an internal ring buffer was full.
	ReasonRingFull
	// ReasonSendFailed means that the datagram could not be sent.
	ReasonSendFailed
	// ReasonBorrow marks new work handed off to an instance that owns slots of upstreams in the same failure domain.
	ReasonBorrow
	// ReasonSpill marks new work handed off to an instance that owns slots of upstreams in another failure domain.
	ReasonSpill
	// ReasonHome marks a packet or answer handed off to the home instance of its flow, which the hash of the flow key selects, or to the
	// flow's previous home after a change of the members or the document.
	ReasonHome
	// ReasonFlowLimit means that the table of flows, streams, flow assignments or pending acknowledgements was full.
	ReasonFlowLimit
	// ReasonNoRoute means that the destination address of a new flow has no route.
	ReasonNoRoute
	// ReasonNotReady means that the instance has started too recently to decide.
	ReasonNotReady
	// ReasonTagUnknown means that the packet's routing tag matches no known upstream of the route.
	ReasonTagUnknown
	// ReasonTagMissing means that the packet has no routing tag, and its flow is unknown or may be open at one of several upstreams.
	ReasonTagMissing
	// ReasonUpstreamGone means that the upstream of the flow has ended.
	ReasonUpstreamGone
	// ReasonUpstreamUnreachable means that an idempotent flow was reset because its upstream does not answer probes; see health.Tracker.
	ReasonUpstreamUnreachable
	// ReasonHandshakeSilent marks a SYN sent to a further upstream because the previous one did not answer in time.
	ReasonHandshakeSilent
	// ReasonCallerRepeats marks a SYN that the caller retransmitted because no upstream had answered.
	ReasonCallerRepeats
	// ReasonRouteRemoved means that the destination address of an open flow has no route: it was removed from the configuration.
	ReasonRouteRemoved
	// ReasonKeyAhead means that the binding was signed with a key that other instances have, but this one has not received yet.
	ReasonKeyAhead
	// ReasonStale means that the packet was queued before or during a long stall of the instance.
	ReasonStale
	// ReasonReceiveFailed means that receiving a datagram failed.
	ReasonReceiveFailed
	// ReasonHeldTooLong means that a held packet could not be decided upon in time.
	ReasonHeldTooLong
	// ReasonEgressFull means that the queue in front of the instance's own link was full.
	ReasonEgressFull
	// ReasonCopyQueued marks a retransmission of data that is still in that queue.
	ReasonCopyQueued
	// ReasonTagChanged marks a packet of an established flow whose tag names another upstream than the flow's earlier packets.
	ReasonTagChanged
	// ReasonRouteUnknown means that the destination address of an open flow has no route at this instance, which may lack a newer configuration.
	ReasonRouteUnknown
	// ReasonOverloaded means that the upstreams of the service are full: the SYN waits for its turn, or is refused because it would not be served within
	// the target latency.
	ReasonOverloaded
	// ReasonTagUnproven means that the packet has an opening tag, but is not the first of its flow, which this instance does not know: the flow may be open at
	// another upstream. The packet is held, as the first one may have been overtaken.
	ReasonTagUnproven
	reasonCount
)

var reasonNames = [reasonCount]string{
	ReasonNone:                "none",
	ReasonNoService:           "no_service",
	ReasonNoDocument:          "no_document",
	ReasonNoKeys:              "no_keys",
	ReasonNoUpstream:          "no_upstream",
	ReasonQueueFull:           "queue_full",
	ReasonQueueTimeout:        "queue_timeout",
	ReasonWoken:               "woken",
	ReasonBindingForged:       "binding_forged",
	ReasonBindingExpired:      "binding_expired",
	ReasonBindingUsed:         "binding_used",
	ReasonBindingMissing:      "binding_missing",
	ReasonBindingMoved:        "binding_moved",
	ReasonIssuerGone:          "issuer_gone",
	ReasonIssuerSevered:       "issuer_severed",
	ReasonIssuerElsewhere:     "issuer_elsewhere",
	ReasonAnswerLost:          "answer_lost",
	ReasonAnswerLate:          "answer_late",
	ReasonAnswerUnexpected:    "answer_unexpected",
	ReasonReplyUnknown:        "reply_unknown",
	ReasonUpstreamSilent:      "upstream_silent",
	ReasonUpstreamShed:        "upstream_shed",
	ReasonRetryBudget:         "retry_budget",
	ReasonRepeat:              "repeat",
	ReasonMalformed:           "malformed",
	ReasonRingFull:            "ring_full",
	ReasonSendFailed:          "send_failed",
	ReasonBorrow:              "borrow",
	ReasonSpill:               "spill",
	ReasonHome:                "home",
	ReasonFlowLimit:           "flow_limit",
	ReasonNoRoute:             "no_route",
	ReasonNotReady:            "not_ready",
	ReasonTagUnknown:          "tag_unknown",
	ReasonTagMissing:          "tag_missing",
	ReasonUpstreamGone:        "upstream_gone",
	ReasonUpstreamUnreachable: "upstream_unreachable",
	ReasonHandshakeSilent:     "handshake_silent",
	ReasonCallerRepeats:       "caller_repeats",
	ReasonRouteRemoved:        "route_removed",
	ReasonKeyAhead:            "key_ahead",
	ReasonStale:               "stale",
	ReasonReceiveFailed:       "receive_failed",
	ReasonHeldTooLong:         "held_too_long",
	ReasonEgressFull:          "egress_full",
	ReasonCopyQueued:          "copy_queued",
	ReasonTagChanged:          "tag_changed",
	ReasonRouteUnknown:        "route_unknown",
	ReasonOverloaded:          "overloaded",
	ReasonTagUnproven:         "tag_unproven",
}

// String returns the name of the reason as used in metrics and logs.
func (r Reason) String() string {
	if r >= reasonCount {
		return "invalid"
	}
	return reasonNames[r]
}

// Reasons returns all reasons, in the order of their values.
func Reasons() []Reason {
	all := make([]Reason, 0, reasonCount)
	for r := range reasonCount {
		all = append(all, r)
	}
	return all
}
