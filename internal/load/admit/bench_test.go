package admit

import (
	"testing"
	"time"

	"hawthorncourse/internal/core/model"
)

// BenchmarkOffer measures an admission without a limit, a refusal at once, and a limited gate at ten times its rate.
func BenchmarkOffer(b *testing.B) {
	b.Run("not limited", func(b *testing.B) {
		g := New(Config{Reserve: 0.1, QueueLimit: 1000})
		r := request(1, 1, 5, 0)
		b.ReportAllocs()
		for now := model.Instant(0); b.Loop(); now += model.Instant(time.Millisecond) {
			g.Offer(now, r)
		}
	})
	b.Run("refused", func(b *testing.B) {
		g := limitedGate(Config{Reserve: 0.1, QueueLimit: 1000}, 500)
		for n := range uint16(1000) {
			g.Offer(testStart, request(byte(n), n, 5, testStart))
		}
		r := request(1, 2000, 5, testStart)
		b.ReportAllocs()
		for b.Loop() {
			g.Offer(testStart, r)
		}
	})
	b.Run("limited", func(b *testing.B) {
		g := limitedGate(Config{Reserve: 0.1, QueueLimit: 1000}, 500)
		now, n := testStart, uint16(0)
		b.ReportAllocs()
		for b.Loop() {
			now, n = now.Add(200*time.Microsecond), n+1
			if n%1000 == 0 {
				hold(g, now)
			}
			g.Offer(now, request(byte(n), n, model.Priority(1+n%10/8), now))
			for at, ok := g.NextAt(); ok && at <= now; at, ok = g.NextAt() {
				g.Next(now)
			}
		}
	})
}
