package units_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"hawthorncourse/internal/core/model"
	"hawthorncourse/internal/core/units"
)

const (
	instances = 5
	slots     = 3
)

func document() *model.Document {
	doc := &model.Document{Timing: model.Timing{Detection: 2 * time.Second}, Domains: []model.Domain{{ID: "a"}, {ID: "b"}}}
	svc := model.Service{ID: "s", RequestTimeout: time.Second}
	for n := range 4 {
		svc.Upstreams = append(svc.Upstreams, model.Upstream{ID: model.UpstreamID(fmt.Sprint("u", n)), Domain: doc.Domains[n%2].ID, Slots: slots})
	}
	doc.Services = []model.Service{svc}
	return doc
}

func members(states []model.MemberState) []model.Member {
	var out []model.Member
	for n, state := range states {
		domain := model.DomainID("a")
		if n%2 == 1 {
			domain = "b"
		}
		out = append(out, model.Member{ID: model.InstanceID(fmt.Sprint("i", n)), Domain: domain, State: state})
	}
	return out
}

// TestNoSlotTwice checks that no slot is usable at two instances while memberships change and the instances learn of it at different times.
func TestNoSlotTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		doc := document()
		var tables []*units.Table
		for n := range instances {
			tables = append(tables, units.NewTable(units.Config{Self: model.InstanceID(fmt.Sprint("i", n))}))
		}
		now := model.Instant(0)
		for range rapid.IntRange(1, 12).Draw(t, "changes") {
			states := make([]model.MemberState, instances)
			for n := range states {
				states[n] = rapid.SampledFrom([]model.MemberState{model.MemberAlive, model.MemberAlive, model.MemberLeaving, model.MemberDead}).Draw(t, "state")
			}
			for _, n := range rapid.Permutation([]int{0, 1, 2, 3, 4}).Draw(t, "order") {
				now = now.Add(doc.Timing.Detection / instances)
				tables[n].Update(now, units.Inputs{Document: doc, Members: members(states)})
				checkAllocations(t, doc, tables, now)
			}
			now = now.Add(time.Duration(rapid.IntRange(0, 6).Draw(t, "pause")) * time.Second)
			checkAllocations(t, doc, tables, now)
		}
	})
}

func checkAllocations(t *rapid.T, doc *model.Document, tables []*units.Table, now model.Instant) {
	for _, up := range doc.Services[0].Upstreams {
		usable, primaries := 0, 0
		for _, table := range tables {
			if alloc := table.Allocation(up.ID); alloc != nil {
				usable += alloc.Usable(now)
				if alloc.IsPrimary(now) {
					primaries++
				}
			}
		}
		if usable > slots || primaries > 1 {
			t.Fatalf("%s has %d usable slots and %d primaries", up.ID, usable, primaries)
		}
	}
}
