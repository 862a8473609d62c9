package fleet

import (
	"context"
	"errors"
	"net/netip"

	"hawthorncourse/internal/core/model"
	"hawthorncourse/internal/oper/change"
	"hawthorncourse/internal/plat/object"
)

// Apply submits a document in place of the current one, through the same calls as the operators' command.
func (f *Fleet) Apply(ctx context.Context, text []byte) (model.Version, error) {
	client := f.client()
	base, err := change.Read(ctx, client)
	if err != nil && !errors.Is(err, change.ErrNoDocument) {
		return 0, err
	}
	at, err := change.Submit(ctx, client, base, text, "fleet")
	return model.Version(at.Revision), err
}

// Edit submits the current document with the changes of edit, through the same calls as the operators' command.
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
	at, err := change.Submit(ctx, client, base, text, "fleet")
	return model.Version(at.Revision), err
}

func (f *Fleet) client() *object.Client {
	return object.NewClient(f.PlatformURL(), netip.Addr{})
}

// PlatformURL returns the URL of the fake platform, without an interposed proxy.
func (f *Fleet) PlatformURL() string {
	return "http://" + f.addr(0, 3, portPlatform).String()
}
