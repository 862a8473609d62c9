package model

// Reason names why a packet was refused, dropped, retried or handed on; each has its own counter.
type Reason uint8

// The reasons.
const (
	ReasonNone Reason = iota
	ReasonNoService
	ReasonNoDocument
	ReasonNoKeys
	ReasonNoUpstream
	ReasonQueueFull
	ReasonQueueTimeout
	ReasonWoken
	ReasonBindingForged
	ReasonBindingExpired
	ReasonBindingUsed
	ReasonBindingMissing
	ReasonBindingMoved
	ReasonIssuerGone
	ReasonIssuerSevered
	ReasonIssuerElsewhere
	ReasonAnswerLost
	ReasonAnswerLate
	ReasonAnswerUnexpected
	ReasonReplyUnknown
	ReasonUpstreamSilent
	ReasonUpstreamShed
	ReasonRetryBudget
	ReasonRepeat
	ReasonMalformed
	ReasonRingFull
	ReasonSendFailed
	ReasonBorrow
	ReasonSpill
	ReasonHome
	ReasonFlowLimit
	ReasonNoRoute
	ReasonNotReady
	ReasonTagUnknown
	ReasonTagMissing
	ReasonUpstreamGone
	ReasonUpstreamUnreachable
	ReasonHandshakeSilent
	ReasonCallerRepeats
	ReasonRouteRemoved
	ReasonKeyAhead
	ReasonStale
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

// String returns the name that counters use.
func (r Reason) String() string {
	if r >= reasonCount {
		return "invalid"
	}
	return reasonNames[r]
}

// Reasons returns every reason.
func Reasons() []Reason {
	all := make([]Reason, 0, reasonCount)
	for r := range reasonCount {
		all = append(all, r)
	}
	return all
}
