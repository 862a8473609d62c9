package object_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"hawthorncourse/internal/plat/object"
)

// TestListWithoutRevision checks that a watch of a store whose lists carry no revision fails, so that the caller pauses before it repeats the call.
func TestListWithoutRevision(t *testing.T) {
	is := is.New(t)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write([]byte(`{"items": []}`))
	}))
	defer srv.Close()
	_, err := object.NewClient(srv.URL, netip.Addr{}).Watch(context.Background(), "document", none)
	is.True(err != nil && !errors.Is(err, object.ErrUnchanged))
}
