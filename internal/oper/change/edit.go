package change

import (
	"encoding/json"

	"github.com/rotisserie/eris"
	"github.com/tailscale/hujson"

	"hawthorncourse/internal/core/model"
)

// patchOperation is one JSON Patch operation (RFC 6902).
type patchOperation struct {
	Op    string `json:"op"`
	Path  string `json:"path"`
	Value any    `json:"value"`
}

// apply applies JSON Patch operations to text (JSON with comments) and keeps its comments.
func apply(text []byte, patches ...patchOperation) ([]byte, error) {
	value, err := hujson.Parse(text)
	if err != nil {
		return nil, err
	}
	raw, err := json.Marshal(patches)
	if err != nil {
		return nil, err
	}
	if err := value.Patch(raw); err != nil {
		return nil, err
	}
	value.Format()
	return value.Pack(), nil
}

// stamp adds the operation ID, the author and the last maxEarlierIDs operation IDs to text. An update whose response was lost is thus found
// even after other updates have followed it.
func stamp(text []byte, id, author string, old *model.Document) ([]byte, error) {
	var earlier []string
	if old != nil && old.Operation != "" {
		earlier = append([]string{old.Operation}, old.Earlier...)
		earlier = earlier[:min(len(earlier), maxEarlierIDs)]
	}
	patches := []patchOperation{
		{Op: "add", Path: "/operation", Value: id},
		{Op: "add", Path: "/author", Value: author},
	}
	if len(earlier) > 0 {
		patches = append(patches, patchOperation{Op: "add", Path: "/earlier", Value: earlier})
	}
	return apply(text, patches...)
}

// SetDomainOut returns the text of d with a failure domain taken out or brought back; an empty note keeps the current one.
func SetDomainOut(d StoredDocument, id model.DomainID, out bool, note string) ([]byte, error) {
	if _, known := d.Document.Domain(id); !known {
		return nil, eris.Errorf("failure domain %q is not in the document", id)
	}
	return Edit{Kind: KindDomain, ID: string(id), Fields: fieldsWithNote("out", out, note)}.Apply(d)
}

// SetUpstreamLeaving returns the text of d with an upstream marked as leaving, or no longer so; an empty note keeps the current one.
func SetUpstreamLeaving(d StoredDocument, id model.UpstreamID, leaving bool, note string) ([]byte, error) {
	for _, s := range d.Document.Services {
		for _, u := range s.Upstreams {
			if u.ID == id {
				return Edit{Kind: KindUpstream, ID: string(id), Service: s.ID, Fields: fieldsWithNote("leaving", leaving, note)}.Apply(d)
			}
		}
	}
	return nil, eris.Errorf("upstream %q is not in the document", id)
}

// fieldsWithNote returns a boolean field, and the note unless it is empty.
func fieldsWithNote(name string, value bool, note string) []Field {
	fields := []Field{{Name: name, Value: value}}
	if note != "" {
		fields = append(fields, Field{Name: "note", Value: note})
	}
	return fields
}

// hasValue reports whether text has a value at a JSON pointer.
func hasValue(text []byte, path string) bool {
	value, err := hujson.Parse(text)
	return err == nil && value.Find(path) != nil
}
