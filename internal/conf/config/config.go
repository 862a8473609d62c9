// Package config reads the operators' document and checks it as a whole.
package config

import (
	"net/netip"
	"time"

	"hawthorncourse/internal/conf/reader"
	"hawthorncourse/internal/core/model"
)

const (
	maxSlots       = 10_000
	maxConnections = 1_000_000
	maxQueue       = 100_000
	maxPercent     = 100
	maxText        = 1 << 20
)

// The intervals that a document gets when it names none.
var defaultTiming = model.Timing{
	Detection:   3 * time.Second,
	WarmLease:   1500 * time.Millisecond,
	BindingLife: 10 * time.Second,
	StreamLife:  24 * time.Hour,
}

// The values that a service gets when it names none.
const (
	defaultRequestTimeout  = 2 * time.Second
	defaultRefreshInterval = 10 * time.Second
	defaultQueueLimit      = 64
	defaultRetryPercent    = 10
)

// Parse reads a document; the error holds every fault with its line.
func Parse(text []byte) (*model.Document, error) {
	if len(text) > maxText {
		return nil, reader.Faults{{Line: 1, Field: "document", Reason: "is larger than one megabyte, the most that the platform holds"}}
	}
	doc := &model.Document{Timing: defaultTiming, KeyEpoch: 1}
	c := &checker{domains: map[model.DomainID]bool{}, names: map[string]bool{}, addresses: map[netip.AddrPort]string{}, tags: map[model.UpstreamTag]model.UpstreamID{}}
	faults := reader.Read(text, reader.Schema{
		"note":      reader.Text(&doc.Note),
		"operation": reader.Text(&doc.Operation),
		"earlier": func(f reader.Field) {
			f.Array(func(f reader.Field) {
				var id string
				reader.Text(&id)(f)
				doc.Earlier = append(doc.Earlier, id)
			})
		},
		"author":   reader.Text(&doc.Author),
		"keyEpoch": reader.Number(&doc.KeyEpoch, 1, 1<<16-1),
		"timing":   func(f reader.Field) { readTiming(f, &doc.Timing) },
		"domains": func(f reader.Field) {
			f.Array(func(f reader.Field) { doc.Domains = append(doc.Domains, c.readDomain(f)) })
		},
		"services": func(f reader.Field) {
			f.Array(func(f reader.Field) { doc.Services = append(doc.Services, c.readService(f)) })
		},
	})
	if len(doc.Domains) == 0 {
		faults = append(faults, reader.Fault{Line: 1, Field: "domains", Reason: "must name at least one failure domain"})
	}
	faults = append(faults, c.unknownDomains()...)
	if err := faults.Err(); err != nil {
		return nil, err
	}
	return doc, nil
}

func readTiming(f reader.Field, t *model.Timing) {
	f.Object(reader.Schema{
		"detection":   reader.Duration(&t.Detection, 500*time.Millisecond, 4*time.Second),
		"warmLease":   reader.Duration(&t.WarmLease, 100*time.Millisecond, time.Minute),
		"bindingLife": reader.Duration(&t.BindingLife, time.Second, time.Hour),
		"streamLife":  reader.Duration(&t.StreamLife, time.Minute, 30*24*time.Hour),
	})
}

// checker holds what must be unique or known in the whole document.
type checker struct {
	domains   map[model.DomainID]bool
	names     map[string]bool
	addresses map[netip.AddrPort]string
	tags      map[model.UpstreamTag]model.UpstreamID
	uses      []domainUse
}

type domainUse struct {
	field  reader.Field
	domain model.DomainID
}

func (c *checker) readDomain(f reader.Field) (d model.Domain) {
	f.Object(reader.Schema{
		"id":     reader.Text(&d.ID),
		"region": reader.Text(&d.Region),
		"out":    reader.Flag(&d.Out),
		"note":   reader.Text(&d.Note),
	})
	c.name(f, "domain", string(d.ID))
	c.domains[d.ID] = true
	return d
}

// kinds maps the words of the document to kinds of service.
var kinds = map[string]model.Kind{
	"coap":     model.KindCoAP,
	"datagram": model.KindDatagram,
}

func (c *checker) readService(f reader.Field) model.Service {
	s := model.Service{
		RequestTimeout:  defaultRequestTimeout,
		RefreshInterval: defaultRefreshInterval,
		QueueLimit:      defaultQueueLimit,
		RetryPercent:    defaultRetryPercent,
	}
	f.Object(reader.Schema{
		"id":              reader.Text(&s.ID),
		"kind":            func(f reader.Field) { readKind(f, &s.Kind) },
		"address":         reader.Address(&s.Address),
		"requestTimeout":  reader.Duration(&s.RequestTimeout, 10*time.Millisecond, time.Minute),
		"refreshInterval": reader.Duration(&s.RefreshInterval, 100*time.Millisecond, time.Hour),
		"queueLimit":      reader.Number(&s.QueueLimit, 1, maxQueue),
		"retryPercent":    reader.Number(&s.RetryPercent, 0, maxPercent),
		"note":            reader.Text(&s.Note),
		"upstreams": func(f reader.Field) {
			f.Array(func(f reader.Field) { s.Upstreams = append(s.Upstreams, c.readUpstream(f)) })
		},
	})
	c.name(f, "service", string(s.ID))
	f.Require("kind", s.Kind != 0)
	c.address(f, "address", s.Address, true)
	return s
}

func readKind(f reader.Field, kind *model.Kind) {
	var word string
	reader.Text(&word)(f)
	*kind = kinds[word]
	if *kind == 0 {
		f.Fault("must be \"coap\" or \"datagram\"")
	}
}

func (c *checker) readUpstream(f reader.Field) model.Upstream {
	u := model.Upstream{}
	f.Object(reader.Schema{
		"id":              reader.Text(&u.ID),
		"domain":          reader.Text(&u.Domain),
		"address":         reader.Address(&u.Address),
		"health":          reader.Address(&u.Health),
		"slots":           reader.Number(&u.Slots, 1, maxSlots),
		"connections":     reader.Number(&u.Connections, 1, maxConnections),
		"coldSlots":       reader.Number(&u.ColdSlots, 1, maxSlots),
		"coldConnections": reader.Number(&u.ColdConnections, 0, maxConnections),
		"coldFor":         reader.Duration(&u.ColdFor, 0, time.Hour),
		"leaving":         reader.Flag(&u.Leaving),
		"note":            reader.Text(&u.Note),
	})
	c.name(f, "upstream", string(u.ID))
	c.address(f, "address", u.Address, true)
	c.address(f, "health", u.Health, false)
	f.Require("slots", u.Slots > 0)
	f.Require("connections", u.Connections > 0)
	u.ColdSlots = max(u.ColdSlots, 1)
	if u.ColdSlots > u.Slots {
		f.Fault("coldSlots must not be above slots")
	}
	if other, taken := c.tags[u.ID.Tag()]; taken && other != u.ID {
		f.Fault("id has the same short form as %q; choose another", other)
	}
	c.tags[u.ID.Tag()] = u.ID
	c.uses = append(c.uses, domainUse{field: f, domain: u.Domain})
	return u
}

func (c *checker) name(f reader.Field, kind, id string) {
	if id == "" {
		f.Fault("id is missing")
		return
	}
	if c.names[kind+" "+id] {
		f.Fault("id %q is given to two of the same kind", id)
	}
	c.names[kind+" "+id] = true
}

func (c *checker) address(f reader.Field, name string, addr netip.AddrPort, required bool) {
	if !addr.IsValid() {
		if required {
			f.Fault("%s is missing", name)
		}
		return
	}
	if f2, taken := c.addresses[addr]; taken {
		f.Fault("%s %s is already that of %s", name, addr, f2)
	}
	c.addresses[addr] = f.Path()
}

func (c *checker) unknownDomains() reader.Faults {
	var faults reader.Faults
	for _, use := range c.uses {
		if use.domain == "" {
			faults = append(faults, reader.Fault{Line: use.field.Line(), Field: use.field.Path(), Reason: "domain is missing"})
		} else if !c.domains[use.domain] {
			faults = append(faults, reader.Fault{Line: use.field.Line(), Field: use.field.Path(), Reason: "domain \"" + string(use.domain) + "\" is not among domains"})
		}
	}
	return faults
}

// ObjectName is the name of the document on the platform.
const ObjectName = "document"
