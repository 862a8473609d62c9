package fleet

import (
	"context"
	"errors"
	"net/netip"

	"hawthorncourse/internal/core/model"
	"hawthorncourse/internal/oper/change"
	"hawthorncourse/internal/plat/object"
)

// Apply sends a document as an operator would.
func (f *Fleet) Apply(ctx context.Context, text []byte) (model.Version, error) {
	client := f.client()
	base, err := change.Read(ctx, client)
	if err != nil && !errors.Is(err, change.ErrNoDocument) {
		return 0, err
	}
	return change.Submit(ctx, client, base, text, "fleet")
}

// Edit changes the document in force as an operator would.
func (f *Fleet) Edit(ctx context.Context, edit func(change.StoredDocument) ([]byte, error)) (model.Version, error) {
	client := f.client()
	base, err := change.Read(ctx, client)
	if err != nil {
		return 0, err
	}
	text, err := edit(base)
	if err != nil {
		return 0, err
	}
	return change.Submit(ctx, client, base, text, "fleet")
}

func (f *Fleet) client() *object.Client {
	return object.NewClient(f.PlatformURL(), netip.Addr{})
}

// PlatformURL returns the URL of the platform for operators.
func (f *Fleet) PlatformURL() string {
	return "http://" + f.addr(0, 3, portPlatform).String()
}
