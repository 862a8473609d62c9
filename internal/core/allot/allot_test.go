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

// TestShare checks that all instances of all failure domains together never get more than an upstream bears.
func TestShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := allot.ColdUpstream{
			Upstream: model.UpstreamID(rapid.StringN(1, 8, -1).Draw(t, "upstream")),
			Capacity: rapid.IntRange(0, 40).Draw(t, "bears"),
			Domains:  rapid.IntRange(1, 12).Draw(t, "domains"),
		}
		sum := 0
		for d := range c.Domains {
			of := rapid.IntRange(0, 30).Draw(t, "instances")
			for n := range of {
				c.Local, c.Ordinal = d == 0, model.Ordinal{Index: n, Count: of}
				sum += c.Share()
			}
		}
		if sum > c.Capacity {
			t.Fatalf("%d flows for an upstream that bears %d", sum, c.Capacity)
		}
	})
}

// TestTurns checks that the flows of many cold upstreams fall to all instances in like parts.
func TestTurns(t *testing.T) {
	const upstreams, instances = 600, 24
	is := is.New(t)
	got := make([]int, instances)
	for u := range upstreams {
		for n := range instances {
			c := allot.ColdUpstream{
				Upstream: model.UpstreamID(fmt.Sprintf("up-%d", u)), Capacity: 5, Local: true, Domains: 4,
				Ordinal: model.Ordinal{Index: n, Count: instances},
			}
			got[n] += c.Share()
		}
	}
	for _, n := range got {
		is.True(n > 50 && n < 100)
	}
}

const (
	life  = 3 * time.Second
	trust = 2 * time.Second
	// believed is how long an instance believes in its number after it was told: below life, for replies that are on their way.
	believed = 1400 * time.Millisecond
	step     = 100 * time.Millisecond
	reads    = time.Second
	most     = 8
)

// holder is one instance with what it believes.
type holder struct {
	id    model.InstanceID
	place model.Ordinal
	until model.Instant
	asked model.Instant
	gone  bool
	// cut is set while the store does not answer the instance.
	cut  bool
	book *allot.Allocator
	// seat is what the instance last read of who reads.
	reading bool
	read    model.Instant
}

// TestBook lets instances come, go, lose the store and become the one that reads in any order: no two of them ever believe in the same
// number, and nobody believes in fewer numbers than are in use.
func TestBook(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := model.Instant(time.Minute)
		var all []*holder
		for n := range most {
			h := &holder{id: model.InstanceID(fmt.Sprint(n)), book: allot.NewAllocator(allot.AllocatorConfig{OrdinalTTL: life, ConfirmationTTL: trust})}
			all = append(all, h)
		}
		seat := 0
		for range rapid.IntRange(200, 600).Draw(t, "steps") {
			now = now.Add(step)
			h := all[rapid.IntRange(0, most-1).Draw(t, "who")]
			switch rapid.IntRange(0, 120).Draw(t, "event") {
			case 0:
				seat, h.read, h.cut, h.gone = slices.Index(all, h), 0, false, false
			case 1, 2, 3:
				h.gone = !h.gone
			case 4, 5:
				h.cut = !h.cut
			}
			for n, h := range all {
				if h.gone {
					continue
				}
				if now.Sub(h.read) >= reads && !h.cut {
					h.read, h.reading = now, n == seat
					h.book.Confirm(now, now, h.reading)
				}
				if now.Sub(h.asked) < reads {
					continue
				}
				// An instance may ask one that has read for the domain until lately.
				peer := all[rapid.SampledFrom([]int{seat, seat, n}).Draw(t, "asked")]
				if !peer.gone {
					h.asked, h.place, h.until = now, peer.book.Assign(now, h.id), now.Add(believed)
				}
			}
			checkNumbers(t, now, all)
		}
	})
}

func checkNumbers(t *rapid.T, now model.Instant, all []*holder) {
	owner := map[int]model.InstanceID{}
	for _, h := range all {
		if h.place.Count == 0 || now >= h.until {
			continue
		}
		if other, taken := owner[h.place.Index]; taken {
			t.Fatalf("%s and %s both believe in number %d", other, h.id, h.place.Index)
		}
		owner[h.place.Index] = h.id
	}
	for _, h := range all {
		if h.place.Count == 0 || now >= h.until {
			continue
		}
		for n, id := range owner {
			if n >= h.place.Count {
				t.Fatalf("%s has number %d, and %s believes in %d only", id, n, h.id, h.place.Count)
			}
		}
	}
}
