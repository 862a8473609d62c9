package share

import (
	"net/netip"
	"time"

	"hawthorncourse/internal/core/model"
)

// NextArgs asks for the next word of a peer.
type NextArgs struct {
	// From is the name of the caller.
	From string
	// Have is the digest of what the caller knows.
	Have uint64
	// Wait is in nanoseconds.
	Wait int64
	// Heard is the number of the last word of doubt that the caller has from this peer; zero for none.
	Heard uint64
}

// scope is how much of a peer's knowledge a reply holds.
type scope uint8

const (
	// scopeNothing says that what the caller has is still the newest.
	scopeNothing scope = iota + 1
	// scopeChanges holds what has changed since.
	scopeChanges
	// scopeAll holds everything.
	scopeAll
)

// NextReply is what a peer knows, as far as the caller lacks it; Age and Unsure are in nanoseconds.
type NextReply struct {
	Revision uint64
	Age      int64
	Unsure   int64
	// Index and Of number the caller among the instances of its failure domain; Of is zero for no number.
	Index, Of int
	// Doubts holds the words after the one that the caller heard last, and Spread is the number of the last of them.
	Doubts DoubtArgs
	Spread uint64
	Scope  scope
	// GoneUpstreams and GoneRoutes hold what vanished, by name.
	GoneUpstreams []string
	GoneRoutes    []string
	Upstreams     []Upstream
	Unreadable    []string
	ListedAt      uint64
	Routes        Routes
	Out           []string
	OutAt         uint64
}

// Upstream is a registration as sent.
type Upstream struct {
	ID       string
	Revision uint64
	Number   uint64
	Service  string
	Domain   string
	Address  string
	Boot     uint64
	Slots    int
	ColdFor  int64
	Draining bool
}

// Routes is a configuration as sent.
type Routes struct {
	Version  uint64
	Revision uint64
	FlowIdle int64
	Routes   []Route
	Services []Service
}

// Route is a route as sent.
type Route struct {
	Name    string
	Address string
	Kind    uint8
	Timeout int64
	Targets []Target
}

// Target is a target as sent.
type Target struct {
	Service string
	Weight  float64
}

// Service is the limits of a service as sent.
type Service struct {
	ID          string
	ColdRate    float64
	ColdFor     int64
	Connections int
}

// toWire returns a reply; missed is what a reply of changes holds.
func toWire(k *model.Snapshot, sc scope, missed step) NextReply {
	out := NextReply{Revision: uint64(k.Revision), Age: int64(k.Age), Unsure: int64(k.GraceLeft), Scope: sc}
	if sc == scopeNothing {
		return out
	}
	out.Unreadable, out.ListedAt, out.OutAt = k.Upstreams.Unreadable, uint64(k.Upstreams.Revision), uint64(k.OutRevision)
	out.GoneUpstreams, out.GoneRoutes = missed.goneUpstreams, missed.goneRoutes
	upstreams, routes := wanted(sc, missed.upstreams), wanted(sc, missed.routes)
	for i := range k.Upstreams.Items {
		if u := &k.Upstreams.Items[i]; upstreams(string(u.ID)) {
			out.Upstreams = append(out.Upstreams, upstreamToWire(u))
		}
	}
	out.Routes = routesToWire(&k.Routes, routes)
	for _, d := range k.Out {
		out.Out = append(out.Out, string(d))
	}
	return out
}

// wanted returns which names belong into a reply.
func wanted(sc scope, changed []string) func(name string) bool {
	if sc == scopeAll {
		return func(string) bool { return true }
	}
	names := make(map[string]bool, len(changed))
	for _, name := range changed {
		names[name] = true
	}
	return func(name string) bool { return names[name] }
}

func upstreamToWire(u *model.Registration) Upstream {
	return Upstream{
		ID:       string(u.ID),
		Revision: uint64(u.Revision),
		Number:   uint64(u.Number),
		Service:  string(u.Service),
		Domain:   string(u.Domain),
		Address:  u.Address.String(),
		Boot:     uint64(u.Boot),
		Slots:    u.Slots,
		ColdFor:  int64(u.ColdFor),
		Draining: u.Draining,
	}
}

func routesToWire(t *model.RouteTable, wanted func(name string) bool) Routes {
	out := Routes{Version: uint64(t.Version), Revision: uint64(t.Revision), FlowIdle: int64(t.FlowIdle)}
	for _, r := range t.Routes {
		if !wanted(r.Name) {
			continue
		}
		w := Route{Name: r.Name, Address: r.Address.String(), Kind: uint8(r.Kind), Timeout: int64(r.Timeout)}
		for _, target := range r.Targets {
			w.Targets = append(w.Targets, Target{Service: string(target.Service), Weight: target.Weight})
		}
		out.Routes = append(out.Routes, w)
	}
	for _, s := range t.Services {
		out.Services = append(out.Services, Service{ID: string(s.ID), ColdRate: s.ColdRate, ColdFor: int64(s.ColdFor), Connections: s.Connections})
	}
	return out
}

func fromWire(w *NextReply) (k model.Snapshot, err error) {
	k = model.Snapshot{
		Revision: model.Revision(w.Revision), Age: time.Duration(w.Age), GraceLeft: time.Duration(w.Unsure), Ordinal: model.Ordinal{Index: w.Index, Count: w.Of},
	}
	k.OutRevision = model.Revision(w.OutAt)
	k.Upstreams = model.Listing[model.Registration]{Unreadable: w.Unreadable, Revision: model.Revision(w.ListedAt)}
	for _, u := range w.Upstreams {
		address, err := netip.ParseAddrPort(u.Address)
		if err != nil {
			return k, err
		}
		k.Upstreams.Items = append(k.Upstreams.Items, model.Registration{
			ID:       model.UpstreamID(u.ID),
			Revision: model.Revision(u.Revision),
			Number:   model.EndpointNumber(u.Number),
			Service:  model.ServiceID(u.Service),
			Domain:   model.DomainID(u.Domain),
			Address:  address,
			Boot:     model.BootID(u.Boot),
			Slots:    u.Slots,
			ColdFor:  time.Duration(u.ColdFor),
			Draining: u.Draining,
		})
	}
	for _, d := range w.Out {
		k.Out = append(k.Out, model.DomainID(d))
	}
	k.Routes, err = routesFromWire(&w.Routes)
	return k, err
}

func routesFromWire(w *Routes) (t model.RouteTable, err error) {
	t = model.RouteTable{Version: model.Version(w.Version), Revision: model.Revision(w.Revision), FlowIdle: time.Duration(w.FlowIdle)}
	for _, r := range w.Routes {
		address, err := netip.ParseAddrPort(r.Address)
		if err != nil {
			return t, err
		}
		route := model.Route{Name: r.Name, Address: address, Kind: model.RouteKind(r.Kind), Timeout: time.Duration(r.Timeout)}
		for _, target := range r.Targets {
			route.Targets = append(route.Targets, model.Target{Service: model.ServiceID(target.Service), Weight: target.Weight})
		}
		t.Routes = append(t.Routes, route)
	}
	for _, s := range w.Services {
		t.Services = append(t.Services, model.ServiceLimits{
			ID: model.ServiceID(s.ID), ColdRate: s.ColdRate, ColdFor: time.Duration(s.ColdFor), Connections: s.Connections,
		})
	}
	return t, nil
}
