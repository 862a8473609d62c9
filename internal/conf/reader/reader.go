// Package reader decodes JSON with comments according to a schema, and reports all invalid fields with their lines at the same time.
package reader

import (
	"bytes"
	"fmt"
	"math"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/tailscale/hujson"
)

// Fault is one error in a text.
type Fault struct {
	// Line is the line number, counted from one.
	Line int
	// Field is the path of the field, such as services[0].address.
	Field string
	// Reason completes a sentence that starts with the field, such as "must be a string".
	Reason string
}

// Error implements error.
func (f Fault) Error() string {
	return fmt.Sprintf("line %d: %s: %s", f.Line, f.Field, f.Reason)
}

// Faults holds all errors of one text.
type Faults []Fault

// Error implements error.
func (fs Faults) Error() string {
	lines := make([]string, 0, len(fs))
	for _, f := range fs {
		lines = append(lines, f.Error())
	}
	return strings.Join(lines, "\n")
}

// Err returns the faults as an error, or nil if there are none.
func (fs Faults) Err() error {
	if len(fs) == 0 {
		return nil
	}
	return fs
}

// Field is one value in the text with its path.
type Field struct {
	r     *Reader
	path  string
	value hujson.Value
}

// Reader collects the faults while a text is decoded.
type Reader struct {
	text   []byte
	faults Faults
}

// Schema maps the names of an object's fields to the functions that decode them.
type Schema map[string]func(Field)

// Read parses the text and decodes its outermost object with the schema. It returns the faults sorted by line.
func Read(text []byte, schema Schema) Faults {
	r := &Reader{text: text}
	value, err := hujson.Parse(text)
	if err != nil {
		return Faults{{Line: 1, Field: "text", Reason: strings.TrimPrefix(err.Error(), "hujson: ")}}
	}
	Field{r: r, path: "", value: value}.Object(schema)
	r.faults.Sort()
	return r.faults
}

// Sort sorts the faults by line; those of one line keep their order.
func (fs Faults) Sort() {
	slices.SortStableFunc(fs, func(a, b Fault) int { return a.Line - b.Line })
}

// Fault records an error in the field.
func (f Field) Fault(format string, args ...any) {
	path := f.path
	if path == "" {
		path = "document"
	}
	f.r.faults = append(f.r.faults, Fault{Line: f.Line(), Field: path, Reason: fmt.Sprintf(format, args...)})
}

// Line returns the line on which the field's value starts.
func (f Field) Line() int {
	return 1 + bytes.Count(f.r.text[:f.value.StartOffset], []byte("\n"))
}

// Object decodes an object; unknown and duplicate fields are faults.
func (f Field) Object(schema Schema) {
	obj, ok := f.value.Value.(*hujson.Object)
	if !ok {
		f.Fault("must be an object")
		return
	}
	seen := map[string]bool{}
	for _, m := range obj.Members {
		lit, _ := m.Name.Value.(hujson.Literal)
		name := lit.String()
		child := Field{r: f.r, path: strings.TrimPrefix(f.path+"."+name, "."), value: m.Value}
		read := schema[name]
		switch {
		case seen[name]:
			child.Fault("is a duplicate field")
		case read == nil:
			child.Fault("is not a known field; the known fields are %s", strings.Join(schema.names(), ", "))
		default:
			read(child)
		}
		seen[name] = true
	}
}

func (s Schema) names() []string {
	names := make([]string, 0, len(s))
	for name := range s {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Array calls read for each element of an array.
func (f Field) Array(read func(Field)) {
	arr, ok := f.value.Value.(*hujson.Array)
	if !ok {
		f.Fault("must be an array")
		return
	}
	for n, v := range arr.Elements {
		read(Field{r: f.r, path: fmt.Sprintf("%s[%d]", f.path, n), value: v})
	}
}

func (f Field) literal(kind hujson.Kind) (hujson.Literal, bool) {
	lit, ok := f.value.Value.(hujson.Literal)
	return lit, ok && lit.Kind() == kind
}

// Text returns a decoder of a string to dst.
func Text[T ~string](dst *T) func(Field) {
	return func(f Field) {
		lit, ok := f.literal('"')
		if !ok {
			f.Fault("must be a string")
			return
		}
		*dst = T(lit.String())
	}
}

// Flag returns a decoder of a boolean to dst.
func Flag(dst *bool) func(Field) {
	return func(f Field) {
		lit, ok := f.value.Value.(hujson.Literal)
		if !ok || (lit.Kind() != 't' && lit.Kind() != 'f') {
			f.Fault("must be true or false")
			return
		}
		*dst = lit.Bool()
	}
}

// Integer is the constraint for the destinations of Number.
type Integer interface {
	~int | ~int64 | ~uint16 | ~uint64
}

// Number returns a decoder of a whole number between low and high, inclusive, to dst.
func Number[T Integer](dst *T, low, high int64) func(Field) {
	return func(f Field) {
		lit, ok := f.literal('0')
		if !ok {
			f.Fault("must be a whole number")
			return
		}
		v := lit.Float()
		if v != math.Trunc(v) || v < float64(low) || v > float64(high) {
			f.Fault("must be a whole number from %d to %d", low, high)
			return
		}
		*dst = T(v)
	}
}

// Duration returns a decoder of a duration such as "1.5s" between low and high, inclusive, to dst.
func Duration(dst *time.Duration, low, high time.Duration) func(Field) {
	return func(f Field) {
		var text string
		Text(&text)(f)
		d, err := time.ParseDuration(text)
		if err != nil {
			f.Fault("must be a duration with a unit, such as \"1.5s\"")
			return
		}
		if d < low || d > high {
			f.Fault("must be from %s to %s", low, high)
			return
		}
		*dst = d
	}
}

// Address returns a decoder of an IP address with a non-zero port to dst.
func Address(dst *netip.AddrPort) func(Field) {
	return func(f Field) {
		var text string
		Text(&text)(f)
		addr, err := netip.ParseAddrPort(text)
		if err != nil || addr.Port() == 0 {
			f.Fault("must be an IP address and a port, such as \"127.0.0.1:5683\"")
			return
		}
		*dst = netip.AddrPortFrom(addr.Addr().Unmap(), addr.Port())
	}
}

// Require records a fault if the object f lacks the named field. A field that is there but has no valid value has a fault of its own already.
func (f Field) Require(name string, set bool) {
	if !set && !f.has(name) {
		f.Fault("%s is missing", name)
	}
}

// has reports whether the object f has a member of that name, whatever its value.
func (f Field) has(name string) bool {
	obj, ok := f.value.Value.(*hujson.Object)
	if !ok {
		return false
	}
	return slices.ContainsFunc(obj.Members, func(m hujson.ObjectMember) bool {
		lit, ok := m.Name.Value.(hujson.Literal)
		return ok && lit.String() == name
	})
}

// Path returns the field's path.
func (f Field) Path() string {
	return f.path
}
