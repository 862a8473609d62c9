package recent_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"hawthorncourse/internal/core/model"
	"hawthorncourse/internal/core/recent"
)

// TestExpire checks that idle entries expire, that a use postpones the expiry and that a full table accepts no new key.
func TestExpire(t *testing.T) {
	is := is.New(t)
	table := recent.New[string, int](2)
	is.True(table.Put(0, "kept", 1))
	is.True(table.Put(0, "lapsed", 2))
	is.True(!table.Put(0, "one too many", 3))
	now := model.Instant(0).Add(3 * time.Second)
	is.Equal(*table.Touch(now, "kept"), 1)
	var expired []string
	onExpire := func(key string, _ *int) { expired = append(expired, key) }
	table.Expire(now.Add(2*time.Second), 4*time.Second, onExpire)
	is.Equal(expired, []string{"lapsed"})
	table.Expire(now.Add(4*time.Second), 4*time.Second, onExpire)
	is.Equal(expired, []string{"lapsed", "kept"})
	is.Equal(table.Len(), 0)
}

// TestPutAfterDelete checks that the mark of a deleted entry does not expire a later entry of the same key.
func TestPutAfterDelete(t *testing.T) {
	is := is.New(t)
	table := recent.New[string, int](2)
	table.Put(0, "key", 1)
	table.Delete("key")
	table.Put(model.Instant(time.Second), "key", 2)
	table.Expire(model.Instant(1500*time.Millisecond), time.Second, func(string, *int) { t.Error("entry expired too early") })
	is.Equal(*table.Peek("key"), 2)
}
