// Package caller is a stand-in for callers: requests that follow bindings, and streams that check their sequence.
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
	maxDatagram       = 64 << 10
	maxOptions        = 64
	tokenSize         = 8
	retransmitTimeout = 400 * time.Millisecond
	// maxExchanges bounds how often one request follows a new binding.
	maxExchanges = 6
	inboxSize    = 32
)

// Outcome is how a request ended for its caller.
type Outcome uint8

// The outcomes of requests.
const (
	OutcomeDone Outcome = iota + 1
	OutcomeNotRun
	OutcomeUnknown
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

// Request is one request to make.
type Request struct {
	Code    codes.Code
	Path    string
	Query   string
	Payload string
	// Blockwise is set for one block of a transfer in parts, and Block is the value of its Block1 option.
	Blockwise bool
	Block     int
	// Binding is the binding of an earlier try to repeat; empty for a new request.
	Binding []byte
}

// Result is how a request ended.
type Result struct {
	Outcome Outcome
	// Payload is the payload of the last answer.
	Payload string
	Latency time.Duration
	// Binding is the binding that the request was made with.
	Binding []byte
}

// Config is what a Caller is built from.
type Config struct {
	// Local is the IP address of the caller.
	Local netip.Addr
	// Service is the address that it speaks to.
	Service netip.AddrPort
	// Seed feeds tokens.
	Seed uint64
	// Timeout bounds one request.
	Timeout time.Duration
}

// Caller is one caller with its own address.
type Caller struct {
	cfg  Config
	conn *net.UDPConn

	mu sync.Mutex
	// rng, messageID and waiting are guarded by mu.
	rng       *rand.Rand
	messageID uint16
	pending   map[model.Token]chan message.Message
}

// New opens a caller's socket.
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

// openInbox returns a new token and the box for its answers.
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

// Do makes one request: it follows a binding, repeats what gets no answer, and gives up after the caller's patience.
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

// exchange sends one message until it is answered or ctx ends.
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

func blockValue(v int) []byte {
	return []byte{byte(v >> 8), byte(v)}
}
