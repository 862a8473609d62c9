package fleet

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"time"

	"hawthorncourse/internal/core/model"
	"hawthorncourse/internal/stand/upnode"
)

// Setup is what a fleet looks like.
type Setup struct {
	Name     string
	Region   string
	Domains  []model.DomainID
	Services []Service
	// Instances is the number of entry instances, spread over the domains in turn.
	Instances int
	// ServiceTime is the mean time of one request at the fastest upstream.
	ServiceTime time.Duration
	// Slowest is how many times slower the slowest upstream is.
	Slowest float64
	// NoticeEvery is the time between notifications of a stream.
	NoticeEvery time.Duration
	// Ghosts is the number of upstreams that stand in the document only.
	Ghosts int
	// Duplicate is the share of callers' packets that the fabric doubles.
	Duplicate float64
	// Timing of the document; zero values are left to their defaults.
	Detection, WarmLease, BindingLife time.Duration
	RequestTimeout, Refresh           time.Duration
	ColdFor                           time.Duration
}

// Service is one service of a set-up.
type Service struct {
	ID          model.ServiceID
	Kind        string
	Upstreams   int
	Slots       int
	Connections int
}

// The sizes of both set-ups, as they run today.
const (
	instances        = 7
	largeUpstreams   = 14
	smallUpstreams   = 4
	connections      = 2000
	regieSlots       = 2
	ikirereSlots     = 3
	serviceTime      = 8 * time.Millisecond
	slowest          = 4
	noticeEvery      = time.Second
	coldFor          = 3 * time.Second
	refresh          = 3 * time.Second
	requestTimeout   = time.Second
	bindingLife      = 4 * time.Second
	detection        = 2 * time.Second
	warmLease        = 1500 * time.Millisecond
	coldShareOfSlots = 1
	coldConnections  = 50
)

// Regie returns the set-up of the Régie.
func Regie() Setup {
	return base("regie", "wallonie", []model.DomainID{"namur-ville", "jambes", "gembloux"}, []Service{
		{ID: "ruche-service", Kind: "coap", Upstreams: largeUpstreams, Slots: regieSlots, Connections: connections},
		{ID: "inspection-depot", Kind: "coap", Upstreams: smallUpstreams, Slots: regieSlots, Connections: connections},
	})
}

// Ikirere returns the set-up of Ikirere.
func Ikirere() Setup {
	return base("ikirere", "rw-north", []model.DomainID{"musanze", "gakenke", "burera"}, []Service{
		{ID: "order-desk", Kind: "coap", Upstreams: largeUpstreams, Slots: ikirereSlots, Connections: connections},
		{ID: "field-claims", Kind: "coap", Upstreams: smallUpstreams, Slots: ikirereSlots, Connections: connections},
	})
}

func base(name, region string, domains []model.DomainID, services []Service) Setup {
	return Setup{
		Name:           name,
		Region:         region,
		Domains:        domains,
		Services:       services,
		Instances:      instances,
		ServiceTime:    serviceTime,
		Slowest:        slowest,
		NoticeEvery:    noticeEvery,
		Detection:      detection,
		WarmLease:      warmLease,
		BindingLife:    bindingLife,
		RequestTimeout: requestTimeout,
		Refresh:        refresh,
		ColdFor:        coldFor,
	}
}

// node returns the stand-in of the service's n-th upstream; the last is the slowest.
func (s Setup) node(svc Service, n int, service, addr netip.AddrPort, seed uint64) upnode.Config {
	slower := 1.0
	if svc.Upstreams > 1 {
		slower += (s.Slowest - 1) * float64(n) / float64(svc.Upstreams-1)
	}
	return upnode.Config{
		Name:                 upstreamName(svc, n),
		Service:              service,
		Address:              addr,
		Slots:                svc.Slots,
		Connections:          svc.Connections,
		ColdSlots:            coldShareOfSlots,
		ColdConnections:      coldConnections,
		ColdFor:              s.ColdFor,
		RequestTime:          time.Duration(slower * float64(s.ServiceTime)),
		NotificationInterval: s.NoticeEvery,
		Opaque:               svc.Kind == "datagram",
		Seed:                 seed + uint64(n),
	}
}

func upstreamName(svc Service, n int) string {
	return fmt.Sprintf("%s-%d", svc.ID, n+1)
}

// domainOf returns the domain of a service's n-th upstream.
func (s Setup) domainOf(n int) model.DomainID {
	return s.Domains[n%len(s.Domains)]
}

// The wire types of the documents that fleets send.
type (
	wireDocument struct {
		Note     string        `json:"note"`
		Timing   wireTiming    `json:"timing"`
		Domains  []wireDomain  `json:"domains"`
		Services []wireService `json:"services"`
	}
	wireTiming struct {
		Detection   string `json:"detection"`
		WarmLease   string `json:"warmLease"`
		BindingLife string `json:"bindingLife"`
	}
	wireDomain struct {
		ID     string `json:"id"`
		Region string `json:"region"`
	}
	wireService struct {
		ID              string         `json:"id"`
		Kind            string         `json:"kind"`
		Address         string         `json:"address"`
		RequestTimeout  string         `json:"requestTimeout"`
		RefreshInterval string         `json:"refreshInterval"`
		Upstreams       []wireUpstream `json:"upstreams"`
	}
	wireUpstream struct {
		ID              string `json:"id"`
		Domain          string `json:"domain"`
		Address         string `json:"address"`
		Health          string `json:"health,omitempty"`
		Slots           int    `json:"slots"`
		Connections     int    `json:"connections"`
		ColdSlots       int    `json:"coldSlots"`
		ColdConnections int    `json:"coldConnections"`
		ColdFor         string `json:"coldFor"`
	}
)

// document returns the set-up as the operators' document.
func (f *Fleet) document() []byte {
	s := f.cfg.Setup
	doc := wireDocument{
		Note:   "Set-up " + s.Name,
		Timing: wireTiming{Detection: s.Detection.String(), WarmLease: s.WarmLease.String(), BindingLife: s.BindingLife.String()},
	}
	for _, id := range s.Domains {
		doc.Domains = append(doc.Domains, wireDomain{ID: string(id), Region: s.Region})
	}
	node := 0
	for _, svc := range s.Services {
		ws := wireService{
			ID:              string(svc.ID),
			Kind:            svc.Kind,
			Address:         f.Services[svc.ID].String(),
			RequestTimeout:  s.RequestTimeout.String(),
			RefreshInterval: s.Refresh.String(),
		}
		for n := range svc.Upstreams {
			ws.Upstreams = append(ws.Upstreams, f.wireUpstream(svc, n, node))
			node++
		}
		doc.Services = append(doc.Services, ws)
	}
	doc.Services = append(doc.Services, f.ghosts()...)
	text, _ := json.MarshalIndent(doc, "", "\t")
	return text
}

const (
	// ghostsEach is the number of upstreams behind one address.
	ghostsEach = 11
	ghostGroup = 150
	hostsEach  = 250
)

// ghosts returns services whose upstreams do not exist.
func (f *Fleet) ghosts() []wireService {
	var out []wireService
	for n := range f.cfg.Setup.Ghosts {
		if n%ghostsEach == 0 {
			out = append(out, wireService{
				ID:              fmt.Sprintf("ghost-%d", n/ghostsEach),
				Kind:            "coap",
				Address:         f.addr(0, 200, portService+1+n/ghostsEach).String(),
				RequestTimeout:  f.cfg.Setup.RequestTimeout.String(),
				RefreshInterval: f.cfg.Setup.Refresh.String(),
			})
		}
		svc := &out[len(out)-1]
		svc.Upstreams = append(svc.Upstreams, wireUpstream{
			ID:          fmt.Sprintf("ghost-%d", n),
			Domain:      string(f.cfg.Setup.domainOf(n)),
			Address:     f.addr(ghostGroup+n/hostsEach, 1+n%hostsEach, portUpstream).String(),
			Slots:       ikirereSlots,
			Connections: connections,
			ColdSlots:   coldShareOfSlots,
			ColdFor:     f.cfg.Setup.ColdFor.String(),
		})
	}
	return out
}

func (f *Fleet) wireUpstream(svc Service, n, node int) wireUpstream {
	s := f.cfg.Setup
	addr, err := f.wire(RoleUpstream, upstreamName(svc, n), f.Nodes[node].Address())
	if err != nil {
		addr = f.Nodes[node].Address()
	}
	return wireUpstream{
		ID:              upstreamName(svc, n),
		Domain:          string(s.domainOf(n)),
		Address:         addr.String(),
		Health:          f.Nodes[node].HealthAddress().String(),
		Slots:           svc.Slots,
		Connections:     svc.Connections,
		ColdSlots:       coldShareOfSlots,
		ColdConnections: coldConnections,
		ColdFor:         s.ColdFor.String(),
	}
}
