// Package caller provides fake callers: CoAP requests that carry the bindings issued by the load balancer, CoAP observe streams that check the
// sequence of notifications, and opaque flows.
package caller

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"
	"github.com/plgd-dev/go-coap/v3/udp/coder"

	"hawthorncourse/internal/core/model"
)

const (
	maxDatagram = 64 << 10
	maxOptions  = 64
	tokenSize   = 8
	// retransmitTimeout is the time after which a message without a response is sent again.
	retransmitTimeout = 400 * time.Millisecond
	// maxExchanges is the maximum number of exchanges for one request; each response with a new binding takes one.
	maxExchanges = 6
	// inboxSize is the maximum number of unread messages for one token; further ones are dropped.
	inboxSize = 32
)

// Outcome is the result of a request as the caller sees it.
type Outcome uint8

// The outcomes of requests.
const (
	// OutcomeDone is a response of the upstream.
	OutcomeDone Outcome = iota + 1
	// OutcomeNotRun is a response that guarantees that the request was not run: 5.03 (Service Unavailable).
	OutcomeNotRun
	// OutcomeUnknown is a response that leaves open whether the request was run: 5.04 (Gateway Timeout).
	OutcomeUnknown
	// OutcomeTimeout is the lack of a final response within Config.Timeout.
	OutcomeTimeout
)

var outcomeNames = map[Outcome]string{
	OutcomeDone:    "done",
	OutcomeNotRun:  "not run",
	OutcomeUnknown: "unknown",
	OutcomeTimeout: "timeout",
}

// String returns the outcome's name.
func (o Outcome) String() string {
	return outcomeNames[o]
}

// Request is one CoAP request.
type Request struct {
	Code    codes.Code
	Path    string
	Query   string
	Payload string
	// Blockwise is set for one block of a block-wise transfer, and Block is the value of its Block1 option (RFC 7959).
	Blockwise bool
	Block     int
	// Binding is the binding of an earlier attempt that this request repeats; it is empty for a new request.
	Binding []byte
}

// Result is the result of a request.
type Result struct {
	Outcome Outcome
	// Payload is the payload of the final response; it is empty after a timeout.
	Payload string
	// Latency is the time from the call of Do to its result.
	Latency time.Duration
	// Binding is the last binding that the load balancer issued for the request, or Request.Binding if it issued none.
	Binding []byte
}

// Config configures a Caller.
type Config struct {
	// Local is the caller's IP address.
	Local netip.Addr
	// Service is the address of the service that the caller uses.
	Service netip.AddrPort
	// Seed is the random seed of tokens and of the first message ID.
	Seed uint64
	// Timeout is the time limit of one request, over all its exchanges.
	Timeout time.Duration
}

// Caller is one caller with a socket of its own.
type Caller struct {
	cfg  Config
	conn *net.UDPConn

	mu sync.Mutex
	// rng, messageID and pending are guarded by mu.
	rng       *rand.Rand
	messageID uint16
	// pending holds the inbox of each token in use.
	pending map[model.Token]chan message.Message
}

// New opens the socket of a caller and starts to receive messages.
func New(cfg Config) (*Caller, error) {
	conn, err := net.DialUDP("udp", net.UDPAddrFromAddrPort(netip.AddrPortFrom(cfg.Local, 0)), net.UDPAddrFromAddrPort(cfg.Service))
	if err != nil {
		return nil, err
	}
	c := &Caller{
		cfg:     cfg,
		conn:    conn,
		rng:     rand.New(rand.NewPCG(cfg.Seed, 2)),
		pending: map[model.Token]chan message.Message{},
	}
	c.messageID = uint16(c.rng.Uint32())
	go c.receive()
	return c, nil
}

// Close closes the socket.
func (c *Caller) Close() {
	_ = c.conn.Close()
}

// Address returns the caller's address.
func (c *Caller) Address() netip.AddrPort {
	return c.conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

// receive dispatches messages until the socket is closed.
func (c *Caller) receive() {
	buf := make([]byte, maxDatagram)
	for {
		n, err := c.conn.Read(buf)
		if err != nil {
			return
		}
		m := message.Message{Options: make(message.Options, 0, maxOptions)}
		if _, err := coder.DefaultCoder.Decode(append([]byte{}, buf[:n]...), &m); err != nil {
			continue
		}
		c.dispatch(m)
	}
}

// dispatch acknowledges a confirmable message and delivers it to the inbox of its token. It drops messages with an unknown token and messages
// to a full inbox.
func (c *Caller) dispatch(m message.Message) {
	if m.Type == message.Confirmable {
		c.send(message.Message{Code: codes.Empty, Type: message.Acknowledgement, MessageID: m.MessageID})
	}
	c.mu.Lock()
	inbox := c.pending[model.NewToken(m.Token)]
	c.mu.Unlock()
	if inbox == nil {
		return
	}
	select {
	case inbox <- m:
	default:
	}
}

// send sends a message; messages that cannot be encoded are dropped.
func (c *Caller) send(m message.Message) {
	size, err := coder.DefaultCoder.Size(m)
	if err != nil {
		return
	}
	raw := make([]byte, size)
	n, err := coder.DefaultCoder.Encode(m, raw)
	if err != nil {
		return
	}
	_, _ = c.conn.Write(raw[:n])
}

// openInbox returns a new token and the inbox for messages with that token.
func (c *Caller) openInbox() (message.Token, chan message.Message) {
	c.mu.Lock()
	defer c.mu.Unlock()
	token := make(message.Token, tokenSize)
	for i := range token {
		token[i] = byte(c.rng.Uint32())
	}
	inbox := make(chan message.Message, inboxSize)
	c.pending[model.NewToken(token)] = inbox
	return token, inbox
}

func (c *Caller) closeInbox(token message.Token) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, model.NewToken(token))
}

func (c *Caller) nextMessageID() int32 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.messageID++
	return int32(c.messageID)
}

// Do makes one request. A 4.01 (Unauthorized) response carries a binding in its Echo option, with which the request is sent again. Messages
// without a response are retransmitted until Config.Timeout.
func (c *Caller) Do(ctx context.Context, req Request) Result {
	start := time.Now()
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Timeout)
	defer cancel()
	binding := req.Binding
	for range maxExchanges {
		m, ok := c.exchange(ctx, req, binding)
		if !ok {
			break
		}
		if m.Code == codes.Unauthorized {
			binding, _ = m.Options.GetBytes(message.Echo)
			continue
		}
		return Result{Outcome: outcomeOf(m), Payload: string(m.Payload), Latency: time.Since(start), Binding: binding}
	}
	return Result{Outcome: OutcomeTimeout, Latency: time.Since(start), Binding: binding}
}

// outcomeOf returns the outcome that a final response stands for.
func outcomeOf(m message.Message) Outcome {
	switch m.Code {
	case codes.ServiceUnavailable:
		return OutcomeNotRun
	case codes.GatewayTimeout:
		return OutcomeUnknown
	default:
		return OutcomeDone
	}
}

// exchange sends one message and retransmits it until a response arrives; the second result is false if ctx ends before. An empty
// acknowledgement is not a response.
func (c *Caller) exchange(ctx context.Context, req Request, binding []byte) (message.Message, bool) {
	token, inbox := c.openInbox()
	defer c.closeInbox(token)
	m := message.Message{
		Token:     token,
		Code:      req.Code,
		Options:   req.options(binding),
		Payload:   []byte(req.Payload),
		MessageID: c.nextMessageID(),
		Type:      message.Confirmable,
	}
	for {
		c.send(m)
		select {
		case res := <-inbox:
			if res.Code != codes.Empty {
				return res, true
			}
		case <-time.After(retransmitTimeout):
		case <-ctx.Done():
			return message.Message{}, false
		}
	}
}

// options returns the CoAP options of the request, with the binding in the Echo option.
func (r Request) options(binding []byte) message.Options {
	opts := make(message.Options, 0, maxOptions)
	for _, part := range strings.Split(strings.Trim(r.Path, "/"), "/") {
		opts = opts.Add(message.Option{ID: message.URIPath, Value: []byte(part)})
	}
	if r.Query != "" {
		opts = opts.Add(message.Option{ID: message.URIQuery, Value: []byte(r.Query)})
	}
	if r.Blockwise {
		opts = opts.Add(message.Option{ID: message.Block1, Value: blockValue(r.Block)})
	}
	if len(binding) > 0 {
		opts = opts.Add(message.Option{ID: message.Echo, Value: binding})
	}
	return opts
}

// blockValue returns v as an option value of two bytes.
func blockValue(v int) []byte {
	return []byte{byte(v >> 8), byte(v)}
}
