package change

import (
	"encoding/json"
	"fmt"

	"github.com/rotisserie/eris"
	"github.com/tailscale/hujson"

	"hawthorncourse/internal/conf/config"
	"hawthorncourse/internal/core/model"
)

// Kind names the kind of an entry of the document.
type Kind string

// The kinds of entries.
const (
	KindDomain   Kind = "domain"
	KindService  Kind = "service"
	KindUpstream Kind = "upstream"
)

// Value is one field of an entry as the document writes it: a string, a whole number, or true or false.
type Value any

// Field is one field that an edit sets; a nil value takes the field away.
type Field struct {
	Name  string
	Value Value
}

// Edit sets fields of one entry, adds it if it is not there, or removes it.
type Edit struct {
	Kind Kind
	ID   string
	// Service is where an upstream belongs.
	Service model.ServiceID
	Fields  []Field
	Remove  bool
}

// Apply returns the text of the draft with the edit made; comments stay.
func (e Edit) Apply(d StoredDocument) (text []byte, err error) {
	defer func() {
		if err != nil {
			err = eris.Wrapf(err, "edit %s %s", e.Kind, e.ID)
		}
	}()
	path, found, err := e.locate(d.Document)
	if err != nil {
		return nil, err
	}
	if e.Remove {
		if !found {
			return nil, eris.New("it is not in the document")
		}
		return validated(apply(d.Text, patchOperation{Op: "remove", Path: path}))
	}
	if !found {
		return validated(e.insert(d.Text, path))
	}
	return validated(e.update(d.Text, path))
}

func validated(text []byte, err error) ([]byte, error) {
	if err != nil {
		return nil, err
	}
	_, err = config.Parse(text)
	return text, err
}

// locate returns the entry's path, or that of its list and found false if it is new.
func (e Edit) locate(doc *model.Document) (path string, found bool, err error) {
	switch e.Kind {
	case KindDomain:
		for n, d := range doc.Domains {
			if string(d.ID) == e.ID {
				return fmt.Sprintf("/domains/%d", n), true, nil
			}
		}
		return "/domains/-", false, nil
	case KindService:
		for n, s := range doc.Services {
			if string(s.ID) == e.ID {
				return fmt.Sprintf("/services/%d", n), true, nil
			}
		}
		return "/services/-", false, nil
	case KindUpstream:
		return e.locateUpstream(doc)
	default:
		return "", false, eris.Errorf("%q is not a kind of entry", e.Kind)
	}
}

func (e Edit) locateUpstream(doc *model.Document) (path string, found bool, err error) {
	for n, s := range doc.Services {
		if s.ID != e.Service {
			continue
		}
		for k, u := range s.Upstreams {
			if string(u.ID) == e.ID {
				return fmt.Sprintf("/services/%d/upstreams/%d", n, k), true, nil
			}
		}
		return fmt.Sprintf("/services/%d/upstreams/-", n), false, nil
	}
	return "", false, eris.Errorf("service %q is not in the document", e.Service)
}

func (e Edit) insert(text []byte, path string) ([]byte, error) {
	entry := map[string]any{"id": e.ID}
	if e.Kind == KindService {
		entry["upstreams"] = []any{}
	}
	for _, f := range e.Fields {
		if f.Value != nil {
			entry[f.Name] = f.Value
		}
	}
	return apply(text, patchOperation{Op: "add", Path: path, Value: entry})
}

func (e Edit) update(text []byte, path string) ([]byte, error) {
	for _, f := range e.Fields {
		op := patchOperation{Op: "add", Path: path + "/" + f.Name, Value: f.Value}
		if f.Value == nil {
			op.Op = "remove"
			if !hasValue(text, op.Path) {
				continue
			}
		}
		var err error
		if text, err = apply(text, op); err != nil {
			return nil, err
		}
	}
	return text, nil
}

// MarshalJSON leaves the value out of a removal.
func (p patchOperation) MarshalJSON() ([]byte, error) {
	type full patchOperation
	if p.Op == "remove" {
		return json.Marshal(struct {
			Op   string `json:"op"`
			Path string `json:"path"`
		}{Op: p.Op, Path: p.Path})
	}
	return json.Marshal(full(p))
}

// Values returns the fields of an entry as the document writes them; there are none for a new entry.
func Values(d StoredDocument, kind Kind, id string) map[string]string {
	out := map[string]string{}
	value, err := hujson.Parse(d.Text)
	if err != nil {
		return out
	}
	edit := Edit{Kind: kind, ID: id}
	for _, s := range d.Document.Services {
		for _, u := range s.Upstreams {
			if string(u.ID) == id {
				edit.Service = s.ID
			}
		}
	}
	path, found, err := edit.locate(d.Document)
	if err != nil || !found {
		return out
	}
	entry, _ := value.Find(path).Value.(*hujson.Object)
	for _, m := range entry.Members {
		name, _ := m.Name.Value.(hujson.Literal)
		if lit, ok := m.Value.Value.(hujson.Literal); ok {
			out[name.String()] = literalText(lit)
		}
	}
	return out
}

// literalText returns a literal as a form shows it; false is empty.
func literalText(lit hujson.Literal) string {
	switch lit.Kind() {
	case '"':
		return lit.String()
	case 'f':
		return ""
	default:
		return string(lit)
	}
}
