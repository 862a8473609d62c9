package entry

import (
	"context"
	"time"

	"hawthorncourse/internal/core/model"
)

// decide is the decision loop, the only goroutine that uses the engine. It handles packets, answers, commands and timer ticks in turn.
func (e *Entry) decide(ctx context.Context) error {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		select {
		case p := <-e.packets.Items():
			e.act(e.engine.Packet(e.now(), &p))
		case a := <-e.answers.Items():
			e.act(e.engine.Answer(e.now(), &a))
		case c := <-e.commands.Items():
			c(e.now())
		case <-tick.C:
			e.act(e.engine.Tick(e.now()))
		case <-ctx.Done():
			return nil
		}
		if e.engine.TakeUrgent() {
			e.sendUrgentUpdates()
		}
	}
}

// act queues the datagrams that the engine's actions call for.
func (e *Entry) act(actions []model.Action) {
	for i := range actions {
		a := &actions[i]
		e.counters.count(a)
		d, err := e.datagram(a)
		if err != nil {
			e.counts.Counter("entry.encode_failed").Inc(1)
			continue
		}
		if d.conn == nil {
			continue
		}
		if !e.out.Offer(d) {
			e.counters.drop(model.ReasonRingFull)
		}
	}
}
