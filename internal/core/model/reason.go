package model

// Reason states why a packet or answer was refused, dropped, retried or handed off. Each reason has its own counter.
type Reason uint8

// Reasons.
const (
	// ReasonNone is the zero value: the action has no particular reason.
	ReasonNone Reason = iota
	// ReasonNoService means that no service of the document has the destination address.
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
	// ReasonWoken is counted after a pause of the process that was so long that the hold-off of its slots restarts.
	ReasonWoken
	// ReasonBindingForged means that the binding failed authentication or does not fit the request.
	ReasonBindingForged
	// ReasonBindingExpired means that the binding, or the key that sealed it, is too old.
	ReasonBindingExpired
	// ReasonBindingUsed means that the binding was issued for another request or another use.
	ReasonBindingUsed
	// ReasonBindingMissing means that the request needs a binding and has none.
	ReasonBindingMissing
	// ReasonBindingMoved means that the stream has to move because its upstream has ended or restarted; also counted when a restart is detected.
	ReasonBindingMoved
	// ReasonIssuerGone means that the instance that issued the binding is no longer a member.
	ReasonIssuerGone
	// ReasonIssuerSevered means that the instance that issued the binding is unreachable, but may still be running.
	ReasonIssuerSevered
	// ReasonIssuerElsewhere marks a request handed off to the instance that issued its binding.
	ReasonIssuerElsewhere
	// ReasonAnswerLost means that the request was forwarded, but no answer arrived in time.
	ReasonAnswerLost
	// ReasonAnswerLate means that the answer's request was already finished.
	ReasonAnswerLate
	// ReasonAnswerUnexpected means that the answer came from an unknown sender or belongs to no known flow.
	ReasonAnswerUnexpected
	// ReasonReplyUnknown means that a caller's acknowledgement or rejection matches no message of an upstream.
	ReasonReplyUnknown
	// ReasonUpstreamSilent means that an upstream did not answer, or may have restarted since its last answer.
	ReasonUpstreamSilent
	// ReasonUpstreamShed is counted when an upstream rejects a request without executing it.
	ReasonUpstreamShed
	// ReasonRetryBudget means that the retry budget was exhausted.
	ReasonRetryBudget
	// ReasonRepeat marks a retransmission of a known request.
	ReasonRepeat
	// ReasonMalformed means that the datagram could not be parsed.
	ReasonMalformed
	// ReasonRingFull means that an internal ring buffer was full.
	ReasonRingFull
	// ReasonSendFailed means that the datagram could not be sent.
	ReasonSendFailed
	// ReasonBorrow marks new work handed off to an instance of the same failure domain that owns slots of the service.
	ReasonBorrow
	// ReasonSpill marks new work handed off to an instance of another failure domain.
	ReasonSpill
	// ReasonHome marks a packet or answer handed off to the home instance of its flow, which the hash of the flow key selects.
	ReasonHome
	// ReasonFlowLimit means that the table of flows or streams was full.
	ReasonFlowLimit
	// ReasonNoRoute means that the destination address of a new flow has no route.
	ReasonNoRoute
	// ReasonNotReady means that the instance has started too recently to decide.
	ReasonNotReady
	// ReasonTagUnknown means that the packet's routing tag matches no known upstream of the route.
	ReasonTagUnknown
	// ReasonTagMissing means that the packet has no routing tag and its flow is unknown.
	ReasonTagMissing
	// ReasonUpstreamGone means that the upstream of the flow has ended.
	ReasonUpstreamGone
	// ReasonUpstreamUnreachable means that the upstream of the flow answers neither the flow nor probes.
	ReasonUpstreamUnreachable
	// ReasonHandshakeSilent marks an opening packet sent to a further upstream because the previous one did not answer in time.
	ReasonHandshakeSilent
	// ReasonCallerRepeats marks an opening packet that the caller retransmitted because no upstream had answered.
	ReasonCallerRepeats
	// ReasonRouteRemoved means that the route of an open flow was removed from the configuration.
	ReasonRouteRemoved
	// ReasonKeyAhead means that the binding was sealed with a key that other instances have, but this one has not received yet.
	ReasonKeyAhead
	// ReasonStale means that the packet had waited too long because the instance was paused.
	ReasonStale
	// ReasonReceiveFailed means that receiving a datagram failed.
	ReasonReceiveFailed
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
