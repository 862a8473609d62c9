package object

import (
	"context"
	"encoding/json"
	"net/netip"

	"hawthorncourse/internal/core/model"
)

// wireInstance is the stored JSON form of an Instance.
type wireInstance struct {
	Domain  string `json:"domain"`
	Control string `json:"controlAddress"`
	Leaving bool   `json:"leaving"`
}

// Instances returns the platform's list of instances, which may be out of date.
func (c *Client) Instances(ctx context.Context) (list []Instance, err error) {
	defer annotate(&err, "list instances")
	if c.addrErr != nil {
		return nil, c.addrErr
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	items, _, err := c.store.List(ctx, KindInstances)
	if err != nil {
		return nil, err
	}
	for _, item := range items {
		var w wireInstance
		if err := json.Unmarshal(item.Spec, &w); err != nil {
			return nil, err
		}
		addr, err := netip.ParseAddrPort(w.Control)
		if err != nil {
			return nil, err
		}
		list = append(list, Instance{ID: model.InstanceID(item.Name), Domain: model.DomainID(w.Domain), Control: addr, Leaving: w.Leaving})
	}
	return list, nil
}

// FormatInstance returns the stored JSON form of an instance.
func FormatInstance(in Instance) (spec json.RawMessage, err error) {
	defer annotate(&err, "format instance %s", in.ID)
	return json.Marshal(wireInstance{Domain: string(in.Domain), Control: in.Control.String(), Leaving: in.Leaving})
}
