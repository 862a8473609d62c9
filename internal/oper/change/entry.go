package change

import (
	"encoding/json"
	"fmt"

	"github.com/rotisserie/eris"
	"github.com/tailscale/hujson"

	"hawthorncourse/internal/conf/config"
	"hawthorncourse/internal/core/model"
)

// Kind is the kind of an entry of the document.
type Kind string

// The kinds of entry.
const (
	KindDomain   Kind = "domain"
	KindService  Kind = "service"
	KindUpstream Kind = "upstream"
)

// Value is the value of one field of an entry in the document: a string, an integer or a boolean.
type Value any

// Field is one field that an edit sets; a nil value removes the field.
type Field struct {
	Name  string
	Value Value
}

// Edit sets fields of one entry, adding the entry if it does not exist, or removes the entry.
type Edit struct {
	Kind Kind
	ID   string
	// Service is the service that an upstream belongs to; empty for other kinds.
	Service model.ServiceID
	Fields  []Field
	Remove  bool
}

// Apply returns the text of d with the edit applied; comments are kept. The result is validated.
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
			return nil, eris.New("entry is not in the document")
		}
		return validated(apply(d.Text, patchOperation{Op: "remove", Path: path}))
	}
	if !found {
		return validated(e.insert(d.Text, path))
	}
	return validated(e.update(d.Text, path))
}

// validated returns text if err is nil and text is a valid document.
func validated(text []byte, err error) ([]byte, error) {
	if err != nil {
		return nil, err
	}
	_, err = config.Parse(text)
	return text, err
}

// locate returns the JSON pointer of the entry, or that of the end of its list and found false if the entry is new.
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

// insert adds the entry at the JSON pointer path.
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

// update sets or removes the edit's fields in the entry at the JSON pointer path.
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

// MarshalJSON implements json.Marshaler; a "remove" operation has no value.
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

// Values returns the scalar fields of an entry by name, formatted for a form; the map is empty if the entry does not exist.
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

// literalText formats a literal for a form; false is empty, as for an unchecked box.
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
