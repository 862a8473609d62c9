package share

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"hawthorncourse/internal/core/model"
)

// TestPublishWakesOnChange guards against polls that are answered because the reader published a snapshot that it got only along with loads: nothing in it
// is new.
func TestPublishWakesOnChange(t *testing.T) {
	const age = 2 * time.Second
	base := runsSnapshot(10, 0, 3, 5)
	cases := map[string]struct {
		change func(*model.Snapshot)
		wakes  bool
	}{
		"the same":                          {change: func(*model.Snapshot) {}},
		"confirmed a moment later":          {change: func(s *model.Snapshot) { s.Age -= wakeInterval / 2 }},
		"confirmed later":                   {change: func(s *model.Snapshot) { s.Age -= 2 * wakeInterval }, wakes: true},
		"other contents":                    {change: func(s *model.Snapshot) { *s = runsSnapshot(11, 0, 3, 5); s.Age = age }, wakes: true},
		"grace period":                      {change: func(s *model.Snapshot) { s.GraceLeft = time.Second }, wakes: true},
		"other reader":                      {change: func(s *model.Snapshot) { s.Readers = []model.ReaderRecord{{Domain: "east", Holder: "a"}} }, wakes: true},
		"later revision, the same contents": {change: func(s *model.Snapshot) { s.Revision++ }, wakes: true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newTableShare(t)
			snap := base
			snap.Age = age
			s.Publish(snap)
			changed := s.changed
			tc.change(&snap)
			s.Publish(snap)
			is.Equal(changed != s.changed, tc.wakes)
			is.Equal(s.digest, snap.Digest())
		})
	}
	t.Run("confirmed a moment later several times", func(t *testing.T) {
		is := is.New(t)
		s := newTableShare(t)
		snap := base
		snap.Age = age
		s.Publish(snap)
		changed := s.changed
		for range 4 {
			snap.Age -= wakeInterval / 2
			s.Publish(snap)
		}
		is.True(changed != s.changed)
	})
}
