package upnode

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"
	"github.com/plgd-dev/go-coap/v3/udp/coder"

	"hawthorncourse/internal/core/model"
	"hawthorncourse/internal/wire/frame"
)

const (
	maxOptions = 64
	// requestTimeSpread is the largest deviation of a request time from Config.RequestTime, as a share of it, in both directions.
	requestTimeSpread = 0.5
	// blockMoreBit is the bit of a Block1 option that announces further blocks (RFC 7959).
	blockMoreBit = 0x08
)

func bootID(boot uint64) model.BootID {
	return model.BootID(boot)
}

// handleCoAP handles one CoAP message, which the instance at from has forwarded. It drops messages that it cannot decode.
func (n *Node) handleCoAP(ctx context.Context, f frame.Frame, from netip.AddrPort) {
	m := message.Message{Options: make(message.Options, 0, maxOptions)}
	if _, err := coder.DefaultCoder.Decode(f.Payload, &m); err != nil {
		return
	}
	switch {
	case m.Type == message.Acknowledgement:
		n.handleAck(f.Source, uint16(m.MessageID))
	case m.Type == message.Reset:
		n.handleReset(f.Source, uint16(m.MessageID))
	case m.Options.HasOption(message.Observe):
		n.handleObserve(f.Source, m, from)
	default:
		n.handleRequest(ctx, f.Source, m, from)
	}
}

// handleRequest runs a request in a slot, or sheds it with 5.03 (Service Unavailable) if all slots are in use or shedding is on.
func (n *Node) handleRequest(ctx context.Context, caller netip.AddrPort, m message.Message, from netip.AddrPort) {
	n.mu.Lock()
	n.running++
	boot := n.boot
	n.stats.LastArrival = time.Now()
	n.stats.MaxRunning = max(n.stats.MaxRunning, n.running)
	limit := n.cfg.Slots
	if n.cold() {
		n.stats.MaxColdRunning = max(n.stats.MaxColdRunning, n.running)
		limit = n.cfg.ColdSlots
	}
	if n.running > limit || n.shedding {
		n.running--
		n.stats.Shed++
		n.mu.Unlock()
		n.respond(caller, m, codes.ServiceUnavailable, "shed", from, boot)
		return
	}
	n.stats.Requests++
	if m.Code == codes.POST {
		n.stats.Executions[string(m.Payload)]++
	}
	requestTime := time.Duration(float64(n.cfg.RequestTime) * (1 - requestTimeSpread + 2*requestTimeSpread*n.rng.Float64()))
	n.mu.Unlock()
	go func() {
		select {
		case <-time.After(requestTime):
		case <-ctx.Done():
			return
		}
		n.finishRequest(caller, m, from, boot, requestTime)
	}()
}

// finishRequest frees the slot of a request and responds, unless the node was killed or restarted meanwhile.
func (n *Node) finishRequest(caller netip.AddrPort, m message.Message, from netip.AddrPort, boot uint64, requestTime time.Duration) {
	n.mu.Lock()
	if n.boot != boot || n.down {
		n.mu.Unlock()
		return
	}
	n.running--
	n.stats.BusyTime += requestTime
	n.mu.Unlock()
	n.respond(caller, m, successCode(m), n.responseText(m), from, boot)
}

func successCode(m message.Message) codes.Code {
	block, err := m.Options.GetUint32(message.Block1)
	switch {
	case err == nil && block&blockMoreBit != 0:
		return codes.Continue
	case m.Code == codes.GET:
		return codes.Content
	default:
		return codes.Changed
	}
}

// responseText returns a response that names the node and every part of the request, so that callers detect a response to another request.
func (n *Node) responseText(m message.Message) string {
	path, _ := m.Options.Path()
	queries, _ := m.Options.Queries()
	return fmt.Sprintf("%s %s %s %s %s", n.cfg.Name, m.Code, path, strings.Join(queries, "&"), m.Payload)
}

// respond sends a response. The response to a confirmable request is piggybacked on its acknowledgement.
func (n *Node) respond(caller netip.AddrPort, m message.Message, code codes.Code, text string, to netip.AddrPort, boot uint64) {
	typ := message.NonConfirmable
	if m.Type == message.Confirmable {
		typ = message.Acknowledgement
	}
	res := message.Message{Token: m.Token, Code: code, Payload: []byte(text), MessageID: m.MessageID, Type: typ}
	if index, _, err := m.Options.Find(message.Block1); err == nil {
		res.Options = message.Options{m.Options[index]}
	}
	n.send(caller, encode(res), to, boot)
}

// encode returns the encoded message, or nil if it cannot be encoded.
func encode(m message.Message) []byte {
	size, err := coder.DefaultCoder.Size(m)
	if err != nil {
		return nil
	}
	raw := make([]byte, size)
	used, err := coder.DefaultCoder.Encode(m, raw)
	if err != nil {
		return nil
	}
	return raw[:used]
}

// serveHealth serves the health endpoint. While the node is down, connections are aborted without a response.
func (n *Node) serveHealth(w http.ResponseWriter, _ *http.Request) {
	n.mu.Lock()
	down := n.down
	r := HealthReport{State: "warm", Connections: len(n.streams)}
	if n.cold() {
		r.State = "cold"
	}
	if n.draining {
		r.State = "draining"
	}
	if n.healthOverride != nil {
		r, down = *n.healthOverride, false
	}
	n.mu.Unlock()
	if down {
		panic(http.ErrAbortHandler)
	}
	_ = json.NewEncoder(w).Encode(r)
}
