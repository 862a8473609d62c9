package fleet

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"time"

	"hawthorncourse/internal/core/model"
	"hawthorncourse/internal/stand/upnode"
)

// Setup describes the services, sizes and timing of a fleet.
type Setup struct {
	Name string
	// Region is the region of all failure domains.
	Region   string
	Domains  []model.DomainID
	Services []Service
	// Instances is the number of entry instances, assigned to the failure domains in turn.
	Instances int
	// RequestTime is the mean execution time of a request at the fastest upstream of a service.
	RequestTime time.Duration
	// MaxSlowdown is the ratio of the request times of the slowest and the fastest upstream; the others are spaced evenly between them.
	MaxSlowdown float64
	// NotificationInterval is the interval between notifications of a stream.
	NotificationInterval time.Duration
	// AbsentUpstreams is the number of additional upstreams that are in the document but do not exist, which makes the document larger without load.
	AbsentUpstreams int
	// DuplicateRate is the share of callers' packets that the fabric duplicates, between 0 and 1.
	DuplicateRate float64
	// The timing parameters of the document. All are required, as the document is rejected if one is out of range; only ColdDuration may be zero.
	Detection, WarmLease, BindingLifetime time.Duration
	RequestTimeout, RefreshInterval       time.Duration
	ColdDuration                          time.Duration
}

// Service describes a service of a set-up. Kind is coap or datagram; Slots and Connections limit the concurrent requests and the open streams
// of each upstream.
type Service struct {
	ID          model.ServiceID
	Kind        string
	Upstreams   int
	Slots       int
	Connections int
}

// Sizes and timing of both set-ups. The sizes are those of the users' production sites.
const (
	instanceCount        = 7
	largeUpstreams       = 14
	smallUpstreams       = 4
	connections          = 2000
	regieSlots           = 2
	ikirereSlots         = 3
	requestTime          = 8 * time.Millisecond
	maxSlowdown          = 4
	notificationInterval = time.Second
	coldDuration         = 3 * time.Second
	refreshInterval      = 3 * time.Second
	requestTimeout       = time.Second
	bindingLifetime      = 4 * time.Second
	detection            = 2 * time.Second
	warmLease            = 1500 * time.Millisecond
	coldSlots            = 1
	coldConnections      = 50
)

// Regie returns the set-up that models the Régie's site.
func Regie() Setup {
	return newSetup("regie", "wallonie", []model.DomainID{"namur-ville", "jambes", "gembloux"}, []Service{
		{ID: "ruche-service", Kind: "coap", Upstreams: largeUpstreams, Slots: regieSlots, Connections: connections},
		{ID: "inspection-depot", Kind: "coap", Upstreams: smallUpstreams, Slots: regieSlots, Connections: connections},
	})
}

// Ikirere returns the set-up that models Ikirere's site.
func Ikirere() Setup {
	return newSetup("ikirere", "rw-north", []model.DomainID{"musanze", "gakenke", "burera"}, []Service{
		{ID: "order-desk", Kind: "coap", Upstreams: largeUpstreams, Slots: ikirereSlots, Connections: connections},
		{ID: "field-claims", Kind: "coap", Upstreams: smallUpstreams, Slots: ikirereSlots, Connections: connections},
	})
}

func newSetup(name, region string, domains []model.DomainID, services []Service) Setup {
	return Setup{
		Name:                 name,
		Region:               region,
		Domains:              domains,
		Services:             services,
		Instances:            instanceCount,
		RequestTime:          requestTime,
		MaxSlowdown:          maxSlowdown,
		NotificationInterval: notificationInterval,
		Detection:            detection,
		WarmLease:            warmLease,
		BindingLifetime:      bindingLifetime,
		RequestTimeout:       requestTimeout,
		RefreshInterval:      refreshInterval,
		ColdDuration:         coldDuration,
	}
}

// upstreamConfig returns the configuration of the fake upstream with the given index in its service; the last one is the slowest.
func (s Setup) upstreamConfig(svc Service, index int, service, addr netip.AddrPort, seed uint64) upnode.Config {
	slowdown := 1.0
	if svc.Upstreams > 1 {
		slowdown += (s.MaxSlowdown - 1) * float64(index) / float64(svc.Upstreams-1)
	}
	return upnode.Config{
		Name:                 upstreamName(svc, index),
		Service:              service,
		Address:              addr,
		Slots:                svc.Slots,
		Connections:          svc.Connections,
		ColdSlots:            coldSlots,
		ColdConnections:      coldConnections,
		ColdFor:              s.ColdDuration,
		RequestTime:          time.Duration(slowdown * float64(s.RequestTime)),
		NotificationInterval: s.NotificationInterval,
		Opaque:               svc.Kind == "datagram",
		Seed:                 seed + uint64(index),
	}
}

func upstreamName(svc Service, index int) string {
	return fmt.Sprintf("%s-%d", svc.ID, index+1)
}

// domainOf returns the failure domain of the instance or upstream with the given index.
func (s Setup) domainOf(index int) model.DomainID {
	return s.Domains[index%len(s.Domains)]
}

// The JSON format of the document that a fleet submits.
type (
	documentJSON struct {
		Note     string        `json:"note"`
		Timing   timingJSON    `json:"timing"`
		Domains  []domainJSON  `json:"domains"`
		Services []serviceJSON `json:"services"`
	}
	timingJSON struct {
		Detection   string `json:"detection"`
		WarmLease   string `json:"warmLease"`
		BindingLife string `json:"bindingLife"`
	}
	domainJSON struct {
		ID     string `json:"id"`
		Region string `json:"region"`
	}
	serviceJSON struct {
		ID              string         `json:"id"`
		Kind            string         `json:"kind"`
		Address         string         `json:"address"`
		RequestTimeout  string         `json:"requestTimeout"`
		RefreshInterval string         `json:"refreshInterval"`
		Upstreams       []upstreamJSON `json:"upstreams"`
	}
	upstreamJSON struct {
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

// document returns the set-up as an operators' document in JSON.
func (f *Fleet) document() []byte {
	s := f.cfg.Setup
	doc := documentJSON{
		Note:   "Set-up " + s.Name,
		Timing: timingJSON{Detection: s.Detection.String(), WarmLease: s.WarmLease.String(), BindingLife: s.BindingLifetime.String()},
	}
	for _, id := range s.Domains {
		doc.Domains = append(doc.Domains, domainJSON{ID: string(id), Region: s.Region})
	}
	fakeIndex := 0
	for _, svc := range s.Services {
		entry := serviceJSON{
			ID:              string(svc.ID),
			Kind:            svc.Kind,
			Address:         f.Services[svc.ID].String(),
			RequestTimeout:  s.RequestTimeout.String(),
			RefreshInterval: s.RefreshInterval.String(),
		}
		for n := range svc.Upstreams {
			entry.Upstreams = append(entry.Upstreams, f.upstreamEntry(svc, n, fakeIndex))
			fakeIndex++
		}
		doc.Services = append(doc.Services, entry)
	}
	doc.Services = append(doc.Services, f.absentServices()...)
	text, _ := json.MarshalIndent(doc, "", "\t")
	return text
}

const (
	// absentPerService is the number of absent upstreams in each of their services.
	absentPerService = 11
	// firstAbsentSubnet is the third byte of the addresses of the first hostsPerSubnet absent upstreams.
	firstAbsentSubnet = 150
	hostsPerSubnet    = 250
)

// absentServices returns services with AbsentUpstreams upstreams in total, none of which exist.
func (f *Fleet) absentServices() []serviceJSON {
	var out []serviceJSON
	for n := range f.cfg.Setup.AbsentUpstreams {
		if n%absentPerService == 0 {
			out = append(out, serviceJSON{
				ID:              fmt.Sprintf("ghost-%d", n/absentPerService),
				Kind:            "coap",
				Address:         f.addr(0, 200, portService+1+n/absentPerService).String(),
				RequestTimeout:  f.cfg.Setup.RequestTimeout.String(),
				RefreshInterval: f.cfg.Setup.RefreshInterval.String(),
			})
		}
		svc := &out[len(out)-1]
		svc.Upstreams = append(svc.Upstreams, upstreamJSON{
			ID:          fmt.Sprintf("ghost-%d", n),
			Domain:      string(f.cfg.Setup.domainOf(n)),
			Address:     f.addr(firstAbsentSubnet+n/hostsPerSubnet, 1+n%hostsPerSubnet, portUpstream).String(),
			Slots:       ikirereSlots,
			Connections: connections,
			ColdSlots:   coldSlots,
			ColdFor:     f.cfg.Setup.ColdDuration.String(),
		})
	}
	return out
}

// upstreamEntry returns the document entry of the upstream with the given index in its service and fakeIndex in f.Upstreams.
func (f *Fleet) upstreamEntry(svc Service, index, fakeIndex int) upstreamJSON {
	s := f.cfg.Setup
	addr, err := f.linkAddress(LinkUpstream, upstreamName(svc, index), f.Upstreams[fakeIndex].Address())
	if err != nil {
		addr = f.Upstreams[fakeIndex].Address()
	}
	return upstreamJSON{
		ID:              upstreamName(svc, index),
		Domain:          string(s.domainOf(index)),
		Address:         addr.String(),
		Health:          f.Upstreams[fakeIndex].HealthAddress().String(),
		Slots:           svc.Slots,
		Connections:     svc.Connections,
		ColdSlots:       coldSlots,
		ColdConnections: coldConnections,
		ColdFor:         s.ColdDuration.String(),
	}
}
