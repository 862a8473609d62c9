package coap_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"
	"github.com/plgd-dev/go-coap/v3/udp/coder"

	"hawthorncourse/internal/core/model"
	"hawthorncourse/internal/wire/coap"
)

var flow = model.FlowKey{Caller: netip.MustParseAddrPort("127.0.0.4:40000"), Service: netip.MustParseAddrPort("127.0.0.10:5683")}

func encode(t testing.TB, m message.Message) []byte {
	t.Helper()
	raw := make([]byte, 256)
	n, err := coder.DefaultCoder.Encode(m, raw)
	if err != nil {
		t.Fatal(err)
	}
	return raw[:n]
}

func request(code codes.Code, opts ...message.Option) message.Message {
	return message.Message{Token: message.Token("token"), Code: code, MessageID: 7, Type: message.Confirmable, Options: opts, Payload: []byte("ref")}
}

func TestPacketClass(t *testing.T) {
	block := message.Option{ID: message.Block1, Value: []byte{0x1e}}
	observe := message.Option{ID: message.Observe}
	cases := map[string]struct {
		message message.Message
		class   model.Class
		block   uint32
	}{
		"GET":              {message: request(codes.GET), class: model.ClassIdempotent},
		"PUT":              {message: request(codes.PUT), class: model.ClassIdempotent},
		"POST":             {message: request(codes.POST), class: model.ClassOnce},
		"GET with Observe": {message: request(codes.GET, observe), class: model.ClassSticky},
		"PUT with Block1":  {message: request(codes.PUT, block), class: model.ClassSticky, block: 1},
		"POST with Block1": {message: request(codes.POST, block), class: model.ClassOnce, block: 1},
		"acknowledgement":  {message: message.Message{Code: codes.Empty, Type: message.Acknowledgement, MessageID: 7}, class: model.ClassReply},
		"reset":            {message: message.Message{Code: codes.Empty, Type: message.Reset, MessageID: 7}, class: model.ClassReply},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p, err := coap.ParsePacket(flow, encode(t, tc.message))
			is.NoErr(err)
			is.Equal(p.Class, tc.class)
			is.Equal(p.Block, tc.block)
		})
	}
}

// TestDigest checks that copies of a request with another token, message ID or binding have the same digest, and other requests another.
func TestDigest(t *testing.T) {
	is := is.New(t)
	first, err := coap.ParsePacket(flow, encode(t, request(codes.POST)))
	is.NoErr(err)
	again := request(codes.POST, message.Option{ID: message.Echo, Value: []byte("binding")})
	again.Token, again.MessageID = message.Token("other"), 8
	second, err := coap.ParsePacket(flow, encode(t, again))
	is.NoErr(err)
	is.Equal(first.Digest, second.Digest)
	is.Equal(string(second.Binding), "binding")
	again.Payload = []byte("another ref")
	third, err := coap.ParsePacket(flow, encode(t, again))
	is.NoErr(err)
	is.True(third.Digest != first.Digest)
}

func TestAnswerOutcome(t *testing.T) {
	cases := map[string]struct {
		message message.Message
		want    model.Outcome
	}{
		"success":       {message: request(codes.Changed), want: model.OutcomeDone},
		"unavailable":   {message: request(codes.ServiceUnavailable), want: model.OutcomeNotRun},
		"notification":  {message: request(codes.Content, message.Option{ID: message.Observe}), want: model.OutcomeNotification},
		"empty message": {message: message.Message{Code: codes.Empty, Type: message.Acknowledgement, MessageID: 7}, want: model.OutcomeControl},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			a, err := coap.ParseAnswer(flow, encode(t, tc.message))
			is.NoErr(err)
			is.Equal(a.Outcome, tc.want)
		})
	}
}

func TestReject(t *testing.T) {
	is := is.New(t)
	p, err := coap.ParsePacket(flow, encode(t, request(codes.POST)))
	is.NoErr(err)
	raw, err := coap.Reject(&p, model.ReasonQueueFull, 2*time.Second)
	is.NoErr(err)
	m := message.Message{Options: make(message.Options, 0, 8)}
	_, err = coder.DefaultCoder.Decode(raw, &m)
	is.NoErr(err)
	is.Equal(m.Code, codes.ServiceUnavailable)
	is.Equal(m.Type, message.Acknowledgement)
	is.Equal(string(m.Payload), "not run: queue_full")
	age, err := m.Options.GetUint32(message.MaxAge)
	is.NoErr(err)
	is.Equal(age, uint32(2))
	p.Class = model.ClassIdempotent
	raw, err = coap.Reject(&p, model.ReasonQueueFull, time.Second)
	is.NoErr(err)
	_, err = coder.DefaultCoder.Decode(raw, &m)
	is.NoErr(err)
	is.Equal(string(m.Payload), "refused: queue_full")
}

func FuzzPacket(f *testing.F) {
	f.Add(encode(f, request(codes.POST, message.Option{ID: message.Echo, Value: []byte("binding")})))
	f.Fuzz(func(t *testing.T, raw []byte) {
		p, err := coap.ParsePacket(flow, raw)
		if err != nil || p.Class == model.ClassReply {
			return
		}
		if _, err := coap.OutcomeUnknown(&p, model.ReasonAnswerLost); err != nil {
			t.Errorf("no response to a parsed packet: %v", err)
		}
	})
}
