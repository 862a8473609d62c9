// Package config parses and validates the document in which operators configure failure domains, services and upstreams.
package config

import (
	"net/netip"
	"time"

	"hawthorncourse/internal/conf/reader"
	"hawthorncourse/internal/core/model"
)

// The upper limits of values, and of the document's size in bytes, which is the platform's limit for an object.
const (
	maxSlots       = 10_000
	maxConnections = 1_000_000
	maxQueue       = 100_000
	maxPercent     = 100
	maxBytes       = 1 << 20
)

// defaultTiming holds the intervals that apply where a document does not set them.
var defaultTiming = model.Timing{
	Detection:   3 * time.Second,
	WarmLease:   1500 * time.Millisecond,
	BindingLife: 10 * time.Second,
	StreamLife:  24 * time.Hour,
}

// The defaults for the optional fields of a service.
const (
	defaultRequestTimeout  = 2 * time.Second
	defaultRefreshInterval = 10 * time.Second
	defaultQueueLimit      = 64
	defaultRetryPercent    = 10
)

// Parse parses a document; the error is a reader.Faults that lists every error in the document with its line.
func Parse(text []byte) (*model.Document, error) {
	if len(text) > maxBytes {
		return nil, reader.Faults{{Line: 1, Field: "document", Reason: "exceeds 1 MiB, the platform's limit for an object"}}
	}
	doc := &model.Document{Timing: defaultTiming, KeyEpoch: 1}
	c := &checker{domains: map[model.DomainID]bool{}, ids: map[string]bool{}, addresses: map[netip.AddrPort]string{}, tags: map[model.UpstreamTag]model.UpstreamID{}}
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
		faults = append(faults, reader.Fault{Line: 1, Field: "domains", Reason: "must contain at least one failure domain"})
	}
	faults = append(faults, c.domainFaults()...)
	faults.Sort()
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

// checker checks constraints that span the whole document: unique IDs, addresses and tags, and references to failure domains.
type checker struct {
	// domains holds the declared failure domains.
	domains map[model.DomainID]bool
	// ids holds the used IDs, each preceded by the kind of its object and a space.
	ids map[string]bool
	// addresses maps each used address to the path of the service or upstream that uses it.
	addresses map[netip.AddrPort]string
	// tags maps the tag of each used upstream ID, a 32-bit hash, to the ID; two IDs must not have the same tag.
	tags       map[model.UpstreamTag]model.UpstreamID
	domainRefs []domainRef
}

// domainRef is an upstream's reference to a failure domain, which is checked after the whole document has been read.
type domainRef struct {
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
	c.checkID(f, "domain", string(d.ID))
	c.domains[d.ID] = true
	return d
}

// kindsByName maps the names of service kinds in the document to their values.
var kindsByName = map[string]model.Kind{
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
	c.checkID(f, "service", string(s.ID))
	f.Require("kind", s.Kind != 0)
	c.checkAddress(f, "address", s.Address, true)
	return s
}

func readKind(f reader.Field, kind *model.Kind) {
	var name string
	reader.Text(&name)(f)
	*kind = kindsByName[name]
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
	c.checkID(f, "upstream", string(u.ID))
	c.checkAddress(f, "address", u.Address, true)
	c.checkAddress(f, "health", u.Health, false)
	f.Require("slots", u.Slots > 0)
	f.Require("connections", u.Connections > 0)
	u.ColdSlots = max(u.ColdSlots, 1)
	if u.Slots > 0 && u.ColdSlots > u.Slots {
		f.Fault("coldSlots must not exceed slots")
	}
	if other, taken := c.tags[u.ID.Tag()]; taken && other != u.ID {
		f.Fault("id has the same 32-bit hash as %q; choose another id", other)
	}
	c.tags[u.ID.Tag()] = u.ID
	c.domainRefs = append(c.domainRefs, domainRef{field: f, domain: u.Domain})
	return u
}

// checkID records a fault if the ID is empty or used before by an object of the same kind.
func (c *checker) checkID(f reader.Field, kind, id string) {
	if id == "" {
		f.Fault("id is missing")
		return
	}
	if c.ids[kind+" "+id] {
		f.Fault("id %q is already used by another object of the same kind", id)
	}
	c.ids[kind+" "+id] = true
}

// checkAddress records a fault if a required address is missing or if the address is used before in the document.
func (c *checker) checkAddress(f reader.Field, name string, addr netip.AddrPort, required bool) {
	if !addr.IsValid() {
		f.Require(name, !required)
		return
	}
	if other, taken := c.addresses[addr]; taken {
		f.Fault("%s %s is already used by %s", name, addr, other)
	}
	c.addresses[addr] = f.Path()
}

// domainFaults returns a fault for each upstream whose failure domain is missing or not declared.
func (c *checker) domainFaults() reader.Faults {
	var faults reader.Faults
	for _, ref := range c.domainRefs {
		if ref.domain == "" {
			faults = append(faults, reader.Fault{Line: ref.field.Line(), Field: ref.field.Path(), Reason: "domain is missing"})
		} else if !c.domains[ref.domain] {
			faults = append(faults, reader.Fault{Line: ref.field.Line(), Field: ref.field.Path(), Reason: "domain \"" + string(ref.domain) + "\" is not declared in domains"})
		}
	}
	return faults
}

// ObjectName is the name of the document's object in the platform's store.
const ObjectName = "document"
