package forms

import (
	"net/http"
	"net/url"
	"strconv"

	"github.com/rotisserie/eris"

	"hawthorncourse/internal/core/model"
	"hawthorncourse/internal/oper/change"
)

// inputKind is the type of value that a form field takes.
type inputKind uint8

const (
	inputText inputKind = iota
	inputNumber
	inputFlag
)

// input is one field of a form; pages.html reads the exported fields.
type input struct {
	Name, Label, Hint string
	kind              inputKind
	Value             string
}

// Flag reports whether the field is a checkbox.
func (i input) Flag() bool { return i.kind == inputFlag }

// inputs holds the form fields of each kind of entry.
var inputs = map[change.Kind][]input{
	change.KindDomain: {
		{Name: "region", Label: "Region"},
		{Name: "out", Label: "Out of service", kind: inputFlag},
		{Name: "note", Label: "Note", Hint: "reason for the current values"},
	},
	change.KindService: {
		{Name: "kind", Label: "Kind", Hint: "coap or datagram"},
		{Name: "address", Label: "Address", Hint: "IP address and port"},
		{Name: "requestTimeout", Label: "Request timeout", Hint: "such as 2s"},
		{Name: "refreshInterval", Label: "Refresh interval", Hint: "such as 10s"},
		{Name: "queueLimit", Label: "Queue limit", Hint: "requests", kind: inputNumber},
		{Name: "retryPercent", Label: "Retry budget", Hint: "percent of first attempts", kind: inputNumber},
		{Name: "note", Label: "Note", Hint: "reason for the current values"},
	},
	change.KindUpstream: {
		{Name: "domain", Label: "Failure domain"},
		{Name: "address", Label: "Address", Hint: "IP address and port"},
		{Name: "health", Label: "Health address", Hint: "IP address and port, or empty"},
		{Name: "slots", Label: "Slots", Hint: "concurrent requests", kind: inputNumber},
		{Name: "connections", Label: "Connections", Hint: "concurrent streams", kind: inputNumber},
		{Name: "coldSlots", Label: "Cold slots", Hint: "concurrent requests during a cold start", kind: inputNumber},
		{Name: "coldConnections", Label: "Cold connections", Hint: "streams opened during a cold start", kind: inputNumber},
		{Name: "coldFor", Label: "Cold start duration", Hint: "such as 30s"},
		{Name: "leaving", Label: "Leaving", kind: inputFlag},
		{Name: "note", Label: "Note", Hint: "reason for the current values"},
	},
}

// editPage is the data of the "edit" page, the form of one entry.
type editPage struct {
	Kind    change.Kind
	ID      string
	Service model.ServiceID
	New     bool
	Inputs  []input
	Error   string
}

// edit serves the form of one entry.
func (c *Console) edit(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	page := editPage{Kind: change.Kind(q.Get("kind")), ID: q.Get("id"), Service: model.ServiceID(q.Get("service"))}
	if inputs[page.Kind] == nil {
		http.NotFound(w, r)
		return
	}
	d, err := change.Read(r.Context(), c.cfg.Platform)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	values := change.Values(d, page.Kind, page.ID)
	page.New = page.ID == ""
	page.Inputs = fillInputs(page.Kind, func(name string) string { return values[name] })
	c.render(w, "edit", page)
}

// fillInputs returns the form fields of a kind of entry with the values that value returns by field name.
func fillInputs(kind change.Kind, value func(string) string) []input {
	out := make([]input, 0, len(inputs[kind]))
	for _, in := range inputs[kind] {
		in.Value = value(in.Name)
		out = append(out, in)
	}
	return out
}

// parseEdit returns the edit that a submitted form describes.
func parseEdit(form url.Values) (e change.Edit, err error) {
	e = change.Edit{
		Kind:    change.Kind(form.Get("kind")),
		ID:      form.Get("id"),
		Service: model.ServiceID(form.Get("service")),
		Remove:  form.Get("remove") != "",
	}
	if inputs[e.Kind] == nil || e.ID == "" {
		return e, eris.New("form does not identify an entry; enter an id")
	}
	for _, in := range inputs[e.Kind] {
		value, err := in.parse(form.Get(in.Name))
		if err != nil {
			return e, err
		}
		e.Fields = append(e.Fields, change.Field{Name: in.Name, Value: value})
	}
	return e, nil
}

// parse returns the value of the field for the document, or nil if the field is empty.
func (i input) parse(text string) (change.Value, error) {
	switch {
	case i.kind == inputFlag && text == "":
		return nil, nil
	case i.kind == inputFlag:
		return true, nil
	case text == "":
		return nil, nil
	case i.kind == inputNumber:
		n, err := strconv.Atoi(text)
		if err != nil {
			return nil, eris.Errorf("%s must be a whole number, not %q", i.Label, text)
		}
		return n, nil
	default:
		return text, nil
	}
}
