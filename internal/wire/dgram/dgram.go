// Package dgram classifies opaque datagrams, of which nothing inside is read.
package dgram

import "hawthorncourse/internal/core/model"

// ParsePacket returns what the decision packages must know of a caller's datagram.
func ParsePacket(flow model.FlowKey, raw []byte) model.Packet {
	return model.Packet{Flow: flow, Class: model.ClassFlow, Raw: raw}
}

// ParseAnswer returns what the decision packages must know of an upstream's datagram.
func ParseAnswer(flow model.FlowKey, raw []byte) model.Answer {
	return model.Answer{Flow: flow, Outcome: model.OutcomeNotification, Raw: raw}
}
