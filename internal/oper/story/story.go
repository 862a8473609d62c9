// Package story tells from the logs of several instances what became of one flow.
package story

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"hawthorncourse/internal/core/model"
)

// maxLineBytes is above the longest line that an instance writes, in bytes.
const maxLineBytes = 1 << 20

// contextWindow is how long before a flow's first line and after its last the changes of its upstreams belong to its story:
// an entry lapses 3.6 s after its upstream's last word.
const contextWindow = 5 * time.Second

// Entry is one line of a log.
type Entry struct {
	Time     time.Time
	Instance string
	Message  string
	Fields   map[string]any
	// order is the line's place in the input; it decides between lines of the same time.
	order int
}

// text returns a field as text.
func (e *Entry) text(key string) string {
	v, ok := e.Fields[key]
	if !ok {
		return ""
	}
	return fmt.Sprint(v)
}

// Read reads the lines of a log and passes over what is none; what stands before the first brace of a line is ignored,
// so that logs that a collector has marked can be read as they are.
func Read(r io.Reader) (entries []Entry, err error) {
	defer func() {
		if err != nil {
			err = eris.Wrap(err, "read log")
		}
	}()
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		raw := lines.Bytes()
		start := bytes.IndexByte(raw, '{')
		if start < 0 {
			continue
		}
		e := Entry{order: len(entries)}
		// Numbers stay as they are written: tags and starts are names.
		decoder := json.NewDecoder(bytes.NewReader(raw[start:]))
		decoder.UseNumber()
		if decoder.Decode(&e.Fields) != nil {
			continue
		}
		e.Message, e.Instance = e.text("msg"), e.text("instance")
		if e.Time, err = time.Parse(time.RFC3339Nano, e.text("time")); err != nil {
			continue
		}
		entries = append(entries, e)
	}
	return entries, lines.Err()
}

// Explanation is what became of one flow.
type Explanation struct {
	Lines []Entry
	// Reason says in a sentence why the flow ended as it did; it is empty where the logs do not tell.
	Reason string
}

// Explain returns the story of a flow, named by its caller's address and port. Lines are ordered by the time that each
// instance gave them; instances' clocks differ, so lines of different instances that lie close may be in another order.
func Explain(entries []Entry, flow string) (out Explanation, err error) {
	var flowLines []Entry
	// seen holds each upstream at each instance that had the flow.
	involved := map[string]bool{}
	for _, e := range entries {
		if e.text("flow") == flow {
			flowLines = append(flowLines, e)
			involved[e.Instance+" "+e.text("upstream")] = true
		}
	}
	if len(flowLines) == 0 {
		return out, eris.Errorf("no line tells of flow %s; its lines may be among those that were left out", flow)
	}
	sortByTime(flowLines)
	from, to := flowLines[0].Time.Add(-contextWindow), flowLines[len(flowLines)-1].Time.Add(contextWindow)
	for _, e := range entries {
		if e.text("flow") == "" && e.text("upstream") != "" && involved[e.Instance+" "+e.text("upstream")] && e.Time.After(from) && e.Time.Before(to) {
			out.Lines = append(out.Lines, e)
		}
	}
	out.Lines = append(out.Lines, flowLines...)
	sortByTime(out.Lines)
	for _, e := range flowLines {
		if text := e.text("reason"); text != "" {
			out.Reason = reasonTexts[text]
		}
	}
	return out, nil
}

func sortByTime(entries []Entry) {
	slices.SortStableFunc(entries, func(a, b Entry) int {
		if c := a.Time.Compare(b.Time); c != 0 {
			return c
		}
		return a.order - b.order
	})
}

// omittedFields holds the fields that stand in a line of their own or in all lines.
var omittedFields = map[string]bool{"time": true, "level": true, "msg": true, "instance": true, "flow": true, "service": true, "kind": true}

// Write writes the story, a line each, and its reason.
func (x *Explanation) Write(w io.Writer) {
	for _, e := range x.Lines {
		var fields []string
		for _, key := range slices.Sorted(maps.Keys(e.Fields)) {
			if !omittedFields[key] {
				fields = append(fields, key+"="+e.text(key))
			}
		}
		fmt.Fprintf(w, "%s %s %s %s\n", e.Time.UTC().Format("15:04:05.000"), e.Instance, e.Message, strings.Join(fields, " "))
	}
	if x.Reason != "" {
		fmt.Fprintln(w, "Why: "+x.Reason)
	}
}

// reasonTexts says for each reason what it means for the caller.
var reasonTexts = map[string]string{
	model.ReasonNoRoute.String():             "The address had no route in the configuration that was in force at that instance (see revision and ageMs). Nothing ran.",
	model.ReasonRouteRemoved.String():        "A newer configuration had removed the route of the open flow. A request that was under way may have run.",
	model.ReasonNoUpstream.String():          "No upstream of the service could take a new flow: none was listed, or all were draining, out, or cold beyond their limit. Nothing ran.",
	model.ReasonUpstreamGone.String():        "The upstream of the flow had ended: its entry was gone while the registry could be trusted. A request that was under way may have run.",
	model.ReasonUpstreamUnreachable.String(): "The upstream answered neither flows nor probes from that instance, so an idempotent caller was told to try again.",
	model.ReasonHandshakeSilent.String():     "The first upstream did not answer the opening packet in time, so it went to another one as well.",
	model.ReasonCallerRepeats.String():       "The caller repeated its opening packet, since no upstream had answered the first.",
	model.ReasonTagUnknown.String():          "The packet named an upstream that the instance did not know among the services of the route, and was dropped.",
	model.ReasonTagMissing.String():          "The packet named no upstream and the instance had not seen its flow open, so it was dropped.",
	model.ReasonNotReady.String():            "The instance had just started and knew nothing yet, so the packet was dropped.",
	model.ReasonRetryBudget.String():         "The upstream did not answer the opening packet, and the budget for further upstreams was spent.",
	model.ReasonStale.String():               "The instance stood still for a second or more while the packet waited for it, so the packet was dropped.",
	model.ReasonFlowLimit.String():           "The instance held as many flows as it may, so the new one was reset. Nothing ran.",
}
