// Package dgram classifies the datagrams of services with an opaque protocol; it does not inspect their content.
package dgram

import "hawthorncourse/internal/core/model"

// ParsePacket returns the packet for a caller's datagram; it references raw.
func ParsePacket(flow model.FlowKey, raw []byte) model.Packet {
	return model.Packet{Flow: flow, Class: model.ClassFlow, Raw: raw}
}

// ParseAnswer returns the answer for an upstream's datagram; it references raw. Every datagram counts as a notification, which leaves its flow
// open.
func ParseAnswer(flow model.FlowKey, raw []byte) model.Answer {
	return model.Answer{Flow: flow, Outcome: model.OutcomeNotification, Raw: raw}
}
