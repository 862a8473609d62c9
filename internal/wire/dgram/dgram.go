// Package dgram classifies opaque datagrams, of which nothing inside is read.
package dgram

import "hawthorncourse/internal/core/model"

// Packet returns what the decision packages must know of a caller's datagram.
func Packet(flow model.FlowKey, raw []byte) model.Packet {
	return model.Packet{Flow: flow, Class: model.ClassFlow, Raw: raw}
}

// Answer returns what the decision packages must know of an upstream's datagram.
func Answer(flow model.FlowKey, raw []byte) model.Answer {
	return model.Answer{Flow: flow, Outcome: model.OutcomeNotification, Raw: raw}
}
