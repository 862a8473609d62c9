package roster_test

import (
	"fmt"
	"testing"
	"time"

	"hawthorncourse/internal/core/model"
	"hawthorncourse/internal/core/roster"
)

// designSize is the number of upstreams that the system is designed for.
const designSize = 24_000

func syntheticListing(n int) model.Listing[model.Registration] {
	var list model.Listing[model.Registration]
	for i := range n {
		list.Items = append(list.Items, model.Registration{
			ID: model.UpstreamID(fmt.Sprintf("i-%010x", i+1)), Revision: 1, Number: model.EndpointNumber(i + 1),
			Service: model.ServiceID(fmt.Sprintf("service-%d", i%2200)), Domain: "east", Boot: 1, Slots: 2,
		})
	}
	return list
}

// BenchmarkSync applies a complete listing in which one upstream has changed.
func BenchmarkSync(b *testing.B) {
	list := syntheticListing(designSize)
	r := roster.New(roster.Config{TagRetention: time.Minute})
	r.Sync(1, list)
	for b.Loop() {
		list.Items[7].Revision++
		r.Sync(2, list)
	}
}

// BenchmarkApply applies a change of one upstream to a listing.
func BenchmarkApply(b *testing.B) {
	list := syntheticListing(designSize)
	for b.Loop() {
		list = list.Apply(model.Changes[model.Registration]{Items: list.Items[7:8]}, model.UpstreamName)
	}
}
