package allot_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"hawthorncourse/internal/core/allot"
	"hawthorncourse/internal/core/model"
)

// TestShare checks that the shares of all instances in all failure domains never exceed the capacity of an upstream.
func TestShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cold := allot.ColdUpstream{
			Upstream: model.UpstreamID(rapid.StringN(1, 8, -1).Draw(t, "upstream")),
			Capacity: rapid.IntRange(0, 40).Draw(t, "capacity"),
			Domains:  rapid.IntRange(1, 12).Draw(t, "domains"),
		}
		sum := 0
		for d := range cold.Domains {
			count := rapid.IntRange(0, 30).Draw(t, "instances")
			for n := range count {
				cold.Local, cold.Ordinal = d == 0, model.Ordinal{Index: n, Count: count}
				sum += cold.Share()
			}
		}
		if sum > cold.Capacity {
			t.Fatalf("total share is %d flows, capacity is %d", sum, cold.Capacity)
		}
	})
}

// TestShareIsEven checks that the flows to many cold upstreams are distributed evenly over all instances.
func TestShareIsEven(t *testing.T) {
	const upstreams, instances = 600, 24
	is := is.New(t)
	got := make([]int, instances)
	for u := range upstreams {
		for n := range instances {
			cold := allot.ColdUpstream{
				Upstream: model.UpstreamID(fmt.Sprintf("up-%d", u)), Capacity: 5, Local: true, Domains: 4,
				Ordinal: model.Ordinal{Index: n, Count: instances},
			}
			got[n] += cold.Share()
		}
	}
	for _, n := range got {
		is.True(n > 50 && n < 100)
	}
}

const (
	ordinalTTL      = 3 * time.Second
	confirmationTTL = 2 * time.Second
	// ordinalValidity is how long an instance considers its ordinal valid after it received it. It is below ordinalTTL to allow for the time
	// that a reply takes.
	ordinalValidity = 1400 * time.Millisecond
	step            = 100 * time.Millisecond
	readInterval    = time.Second
	instanceCount   = 8
)

// testInstance is an instance with the ordinal that it considers valid.
type testInstance struct {
	id         model.InstanceID
	ordinal    model.Ordinal
	validUntil model.Instant
	renewedAt  model.Instant
	stopped    bool
	// disconnected is true while the store does not answer the instance.
	disconnected bool
	allocator    *allot.Allocator
	// isReader is whether the instance is the reader according to its last read of the store, at readAt.
	isReader bool
	readAt   model.Instant
}

// TestAllocator lets instances start, stop, lose the connection to the store and become the reader in any order. No two instances may
// consider the same ordinal valid, and no instance may know a count that is less than or equal to a valid ordinal.
func TestAllocator(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := model.Instant(time.Minute)
		var all []*testInstance
		for n := range instanceCount {
			inst := &testInstance{id: model.InstanceID(fmt.Sprint(n)), allocator: allot.NewAllocator(allot.AllocatorConfig{OrdinalTTL: ordinalTTL, ConfirmationTTL: confirmationTTL})}
			all = append(all, inst)
		}
		reader := 0
		for range rapid.IntRange(200, 600).Draw(t, "steps") {
			now = now.Add(step)
			inst := all[rapid.IntRange(0, instanceCount-1).Draw(t, "who")]
			switch rapid.IntRange(0, 120).Draw(t, "event") {
			case 0:
				reader, inst.readAt, inst.disconnected, inst.stopped = slices.Index(all, inst), 0, false, false
			case 1, 2, 3:
				inst.stopped = !inst.stopped
			case 4, 5:
				inst.disconnected = !inst.disconnected
			}
			for n, inst := range all {
				if inst.stopped {
					continue
				}
				if now.Sub(inst.readAt) >= readInterval && !inst.disconnected {
					inst.readAt, inst.isReader = now, n == reader
					inst.allocator.Confirm(now, now, inst.isReader)
				}
				if now.Sub(inst.renewedAt) < readInterval {
					continue
				}
				// An instance may ask an instance that is no longer the reader.
				peer := all[rapid.SampledFrom([]int{reader, reader, n}).Draw(t, "asked")]
				if !peer.stopped {
					inst.renewedAt, inst.ordinal, inst.validUntil = now, peer.allocator.Assign(now, inst.id), now.Add(ordinalValidity)
				}
			}
			checkOrdinals(t, now, all)
		}
	})
}

func checkOrdinals(t *rapid.T, now model.Instant, all []*testInstance) {
	owner := map[int]model.InstanceID{}
	for _, inst := range all {
		if inst.ordinal.Count == 0 || now >= inst.validUntil {
			continue
		}
		if other, taken := owner[inst.ordinal.Index]; taken {
			t.Fatalf("%s and %s both consider ordinal %d valid", other, inst.id, inst.ordinal.Index)
		}
		owner[inst.ordinal.Index] = inst.id
	}
	for _, inst := range all {
		if inst.ordinal.Count == 0 || now >= inst.validUntil {
			continue
		}
		for n, id := range owner {
			if n >= inst.ordinal.Count {
				t.Fatalf("%s has ordinal %d, but %s knows a count of only %d", id, n, inst.id, inst.ordinal.Count)
			}
		}
	}
}
