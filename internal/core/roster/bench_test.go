package roster_test

import (
	"fmt"
	"testing"
	"time"

	"hawthorncourse/internal/core/model"
	"hawthorncourse/internal/core/roster"
)

// planned is the number of upstreams at the size to design for.
const planned = 24_000

func many(n int) model.Listing[model.Registration] {
	var list model.Listing[model.Registration]
	for i := range n {
		list.Items = append(list.Items, model.Registration{
			ID: model.UpstreamID(fmt.Sprintf("i-%010x", i+1)), Revision: 1, Number: model.EndpointNumber(i + 1),
			Service: model.ServiceID(fmt.Sprintf("service-%d", i%2200)), Domain: "east", Boot: 1, Slots: 2,
		})
	}
	return list
}

// BenchmarkSync takes over a whole listing in which one upstream has changed.
func BenchmarkSync(b *testing.B) {
	list := many(planned)
	r := roster.New(roster.Config{TagRetention: time.Minute})
	r.Sync(1, list)
	for b.Loop() {
		list.Items[7].Revision++
		r.Sync(2, list)
	}
}

// BenchmarkApply takes over one changed upstream.
func BenchmarkMerge(b *testing.B) {
	list := many(planned)
	for b.Loop() {
		list = list.Apply(model.Changes[model.Registration]{Items: list.Items[7:8]}, model.UpstreamName)
	}
}
