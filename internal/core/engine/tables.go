package engine

import (
	"time"

	"hawthorncourse/internal/core/bind"
	"hawthorncourse/internal/core/model"
	"hawthorncourse/internal/core/recent"
)

const (
	// replyLife is longer than all retransmissions of one confirmable message take.
	replyLife = 250 * time.Second
	// replyLimit is the maximum number of messages whose acknowledgement is tracked.
	replyLimit = 1 << 18
	// streamLifeIntervals is the number of refresh intervals for which an unused stream is kept.
	streamLifeIntervals = 2
)

// stream is one stream that this instance relayed recently.
type stream struct {
	up *upstream
	// binding is the verified binding; a packet with the same bytes needs no second verification.
	binding [bind.Size]byte
}

type streamTable = *recent.Table[model.ExchangeKey, stream]

func newStreamTable(limit int) streamTable {
	return recent.New[model.ExchangeKey, stream](limit)
}

// replyKey identifies a confirmable message of an upstream that the caller has yet to acknowledge.
type replyKey struct {
	flow      model.FlowKey
	messageID uint16
}

type replyTable = *recent.Table[replyKey, *upstream]

func newReplyTable() replyTable {
	return recent.New[replyKey, *upstream](replyLimit)
}
