package share

import (
	"net/netip"
	"time"

	"hawthorncourse/internal/core/model"
)

// NextArgs are the arguments of a poll.
type NextArgs struct {
	// From is the ID of the caller.
	From string
	// Have is the digest of the caller's snapshot; zero if it has none.
	Have uint64
	// Wait is the maximum wait, in nanoseconds.
	Wait int64
	// Heard is the sequence number of the last suspicion that the caller received from this peer; zero for none.
	Heard uint64
	// Readers is set if the caller is the reader of another failure domain: it gets the reader records and no ordinal.
	Readers bool
	// Loads, LoadsOf, LoadAge and LoadAges hold the loads that the caller knows, as in NextReply; a caller that sets Readers sends them.
	Loads    []byte
	LoadsOf  uint64
	LoadAge  int64
	LoadAges []byte
	// LoadStamp is that of the last reply to the caller, and LoadSince the time from its arrival to the poll, in nanoseconds. Together they bound the time
	// that the poll was under way without a clock that two machines share.
	LoadStamp int64
	LoadSince int64
	// LoadUrgent is set while the load of a service exceeds its slots.
	LoadUrgent bool
	// WantEnded is set while the caller has run for less than the life of a flow. HaveEnded is the digest of the last list of ended runs that it received
	// from this peer; zero for none.
	WantEnded bool
	HaveEnded uint64
}

// scope says how much of the snapshot a reply holds.
type scope uint8

const (
	// scopeNothing is a reply to a caller whose snapshot is current.
	scopeNothing scope = iota + 1
	// scopeChanges is a reply with the changes since the caller's snapshot.
	scopeChanges
	// scopeAll is a full reply.
	scopeAll
)

// NextReply is the reply to a poll. It holds what the caller lacks of the peer's snapshot, according to Scope; an empty reply holds no
// snapshot at all.
type NextReply struct {
	// Revision is that of the snapshot; zero in an empty reply. Era is that of the snapshot and of its list of upstreams.
	Revision uint64
	Era      uint64
	// Age is the time since the store confirmed the snapshot when the reply was written, in nanoseconds.
	Age int64
	// Held is the time from the arrival of the poll to that instant, in nanoseconds; zero from an instance that does not state it.
	Held int64
	// Unsure is the rest of the grace period after an outage of the store, in nanoseconds.
	Unsure int64
	// Index and Of are the Index and Count of the caller's model.Ordinal; Of is zero if no ordinal is assigned.
	Index, Of int
	// Doubts holds the suspicions after NextArgs.Heard, and Spread is the sequence number of the last one.
	Doubts DoubtArgs
	Spread uint64
	Scope  scope
	// GoneUpstreams and GoneRoutes hold the names of deleted upstreams and routes.
	GoneUpstreams []string
	GoneRoutes    []string
	// Upstreams holds all upstreams, or the new and changed ones.
	Upstreams []Upstream
	// Unreadable holds the names of upstreams whose registrations cannot be parsed.
	Unreadable []string
	// ListedAt is the revision of the list of upstreams.
	ListedAt uint64
	// Routes holds the route configuration with all routes, or with the new and changed ones.
	Routes Routes
	// Out holds the failure domains that operators have taken out of service, as of revision OutAt.
	Out   []string
	OutAt uint64
	// Readers holds the reader records of all failure domains, for callers that set NextArgs.Readers.
	Readers []Reader
	// Loads holds the known loads of the upstreams of the snapshot, packed in the order of their IDs; empty if none is known. LoadsOf is the digest of the
	// snapshot that lists them.
	Loads   []byte
	LoadsOf uint64
	// LoadAge is the age of the youngest of Loads when the reply was written, in nanoseconds.
	LoadAge int64
	// LoadAges holds by how much each of Loads is older than LoadAge, in units of loadAgeUnit, or noLoad if there is nothing to tell of the upstream. If it
	// is empty, all have the age LoadAge.
	LoadAges []byte
	// LoadStamp is the time at which the reply was written, by a clock that only this instance reads, in nanoseconds; zero if NextArgs.Readers is not set.
	LoadStamp int64
	// Ended holds the ended runs that the peer knows, and EndedDigest is their digest; zero if the caller does not want them or has them.
	Ended       []EndedRun
	EndedDigest uint64
	// ClockEpoch, ClockEarliest and ClockLatest are a clock.Reading of the time at which the reply was written, in nanoseconds; ClockEpoch is zero if the time
	// is not known, and from an instance that does not state it.
	ClockEpoch    uint64
	ClockEarliest int64
	ClockLatest   int64
}

// Reader is a model.ReaderRecord on the wire.
type Reader struct {
	Domain   string
	Holder   string
	Control  string
	Revision uint64
	Era      uint64
}

func readersToWire(records []model.ReaderRecord) (out []Reader) {
	for _, r := range records {
		out = append(out, Reader{Domain: string(r.Domain), Holder: string(r.Holder), Control: r.Control.String(), Revision: uint64(r.Revision), Era: uint64(r.Era)})
	}
	return out
}

func readersFromWire(list []Reader) (records []model.ReaderRecord, err error) {
	for _, r := range list {
		control, err := netip.ParseAddrPort(r.Control)
		if err != nil {
			return nil, err
		}
		records = append(records, model.ReaderRecord{
			Domain: model.DomainID(r.Domain), Holder: model.InstanceID(r.Holder), Control: control, Revision: model.Revision(r.Revision), Era: model.Era(r.Era),
		})
	}
	return records, nil
}

// Upstream is a model.Registration on the wire. ColdFor is in nanoseconds.
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

// Routes is a model.RouteTable on the wire. FlowIdle is in nanoseconds.
type Routes struct {
	Version  uint64
	Revision uint64
	Era      uint64
	FlowIdle int64
	// Partial is false in replies of an earlier build, which refuses a configuration that it cannot read completely.
	Partial  bool
	Routes   []Route
	Services []Service
}

// Route is a model.Route on the wire. Timeout and Target are in nanoseconds.
type Route struct {
	Name    string
	Address string
	// Kind is a model.RouteKind. An instance of an earlier build treats a kind that it does not know, such as model.RouteDownload, as not idempotent.
	Kind    uint8
	Timeout int64
	// Priority is the priority plus one, since gob leaves zero in place of a field that is absent. Zero, from an instance of an earlier build, means that
	// no priority is stated.
	Priority int
	// Target is zero if no target latency is stated, and in replies of an earlier build.
	Target  int64
	Targets []Target
}

// Target is a model.Target on the wire.
type Target struct {
	Service string
	Weight  float64
}

// Service is a model.ServiceLimits on the wire. ColdFor is in nanoseconds.
type Service struct {
	ID          string
	ColdRate    float64
	ColdFor     int64
	Connections int
	// HealthPath is empty if none is stated, and in replies of an earlier build.
	HealthPath string
}

// toWire returns a reply of the given scope; missing holds the changes for scopeChanges.
func toWire(snap *model.Snapshot, sc scope, missing delta) NextReply {
	out := NextReply{Revision: uint64(snap.Revision), Era: uint64(snap.Era), Age: int64(snap.Age), Unsure: int64(snap.GraceLeft), Scope: sc}
	if sc == scopeNothing {
		return out
	}
	out.Unreadable, out.ListedAt, out.OutAt = snap.Upstreams.Unreadable, uint64(snap.Upstreams.Revision), uint64(snap.OutRevision)
	out.GoneUpstreams, out.GoneRoutes = missing.deletedUpstreams, missing.deletedRoutes
	upstreams, routes := nameFilter(sc, missing.upstreams), nameFilter(sc, missing.routes)
	for i := range snap.Upstreams.Items {
		if u := &snap.Upstreams.Items[i]; upstreams(string(u.ID)) {
			out.Upstreams = append(out.Upstreams, upstreamToWire(u))
		}
	}
	out.Routes = routesToWire(&snap.Routes, routes)
	for _, d := range snap.Out {
		out.Out = append(out.Out, string(d))
	}
	return out
}

// nameFilter returns a function that reports whether a reply of the given scope includes the upstream or route with a name.
func nameFilter(sc scope, changed []string) func(name string) bool {
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

func routesToWire(t *model.RouteTable, include func(name string) bool) Routes {
	out := Routes{Version: uint64(t.Version), Revision: uint64(t.Revision), Era: uint64(t.Era), FlowIdle: int64(t.FlowIdle), Partial: t.Partial}
	for _, r := range t.Routes {
		if !include(r.Name) {
			continue
		}
		w := Route{
			Name: r.Name, Address: r.Address.String(), Kind: uint8(r.Kind), Timeout: int64(r.Timeout), Priority: priorityToWire(r.Priority), Target: int64(r.Target),
		}
		for _, target := range r.Targets {
			w.Targets = append(w.Targets, Target{Service: string(target.Service), Weight: target.Weight})
		}
		out.Routes = append(out.Routes, w)
	}
	for _, s := range t.Services {
		out.Services = append(out.Services, Service{ID: string(s.ID), ColdRate: s.ColdRate, ColdFor: int64(s.ColdFor), Connections: s.Connections, HealthPath: s.HealthPath})
	}
	return out
}

// priorityToWire returns the value of Route.Priority for a priority.
func priorityToWire(p model.Priority) int {
	return int(p) + 1
}

// priorityFromWire returns the priority for a value of Route.Priority; it is the lowest one if none is stated or the value is out of range.
func priorityFromWire(n int) model.Priority {
	if n < 1 || n > int(model.LowestPriority)+1 {
		return model.LowestPriority
	}
	return model.Priority(n - 1)
}

func fromWire(w *NextReply) (snap model.Snapshot, err error) {
	snap = model.Snapshot{
		Revision: model.Revision(w.Revision), Era: model.Era(w.Era), Age: time.Duration(w.Age), GraceLeft: time.Duration(w.Unsure), Ordinal: model.Ordinal{Index: w.Index, Count: w.Of},
	}
	if snap.Readers, err = readersFromWire(w.Readers); err != nil {
		return snap, err
	}
	snap.OutRevision = model.Revision(w.OutAt)
	snap.Upstreams = model.Listing[model.Registration]{Unreadable: w.Unreadable, Revision: model.Revision(w.ListedAt), Era: model.Era(w.Era)}
	for i := range w.Upstreams {
		reg, err := upstreamFromWire(&w.Upstreams[i])
		if err != nil {
			return snap, err
		}
		snap.Upstreams.Items = append(snap.Upstreams.Items, reg)
	}
	for _, d := range w.Out {
		snap.Out = append(snap.Out, model.DomainID(d))
	}
	snap.Routes, err = routesFromWire(&w.Routes)
	return snap, err
}

func upstreamFromWire(w *Upstream) (reg model.Registration, err error) {
	address, err := netip.ParseAddrPort(w.Address)
	if err != nil {
		return reg, err
	}
	return model.Registration{
		ID:       model.UpstreamID(w.ID),
		Revision: model.Revision(w.Revision),
		Number:   model.EndpointNumber(w.Number),
		Service:  model.ServiceID(w.Service),
		Domain:   model.DomainID(w.Domain),
		Address:  address,
		Boot:     model.BootID(w.Boot),
		Slots:    w.Slots,
		ColdFor:  time.Duration(w.ColdFor),
		Draining: w.Draining,
	}, nil
}

func routesFromWire(w *Routes) (t model.RouteTable, err error) {
	t = model.RouteTable{Version: model.Version(w.Version), Revision: model.Revision(w.Revision), Era: model.Era(w.Era), FlowIdle: time.Duration(w.FlowIdle), Partial: w.Partial}
	for _, r := range w.Routes {
		address, err := netip.ParseAddrPort(r.Address)
		if err != nil {
			return t, err
		}
		route := model.Route{
			Name: r.Name, Address: address, Kind: model.RouteKind(r.Kind), Timeout: time.Duration(r.Timeout),
			Priority: priorityFromWire(r.Priority), Target: max(time.Duration(r.Target), 0),
		}
		for _, target := range r.Targets {
			route.Targets = append(route.Targets, model.Target{Service: model.ServiceID(target.Service), Weight: target.Weight})
		}
		t.Routes = append(t.Routes, route)
	}
	for _, s := range w.Services {
		t.Services = append(t.Services, model.ServiceLimits{
			ID: model.ServiceID(s.ID), ColdRate: s.ColdRate, ColdFor: time.Duration(s.ColdFor), Connections: s.Connections, HealthPath: s.HealthPath,
		})
	}
	return t, nil
}
