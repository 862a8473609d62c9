// Package story reconstructs the history of one flow from the logs of several instances.
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

// maxLineBytes is larger than any line that an instance logs.
const maxLineBytes = 1 << 20

// contextWindow is how long before a flow's first line and after its last line the log lines about its upstreams are included. It covers
// the 3.6 s after which the registration of an upstream that no longer refreshes it expires.
const contextWindow = 5 * time.Second

// Entry is one line of a log.
type Entry struct {
	Time     time.Time
	Instance string
	Message  string
	Fields   map[string]any
	// order is the position of the line in the input; it orders lines with equal times.
	order int
}

// text returns a field as text, empty if the line has no such field.
func (e *Entry) text(key string) string {
	v, ok := e.Fields[key]
	if !ok {
		return ""
	}
	return fmt.Sprint(v)
}

// Read parses a log of JSON lines and skips lines that are not log entries. Text before the first brace of a line is ignored, so that logs
// to which a collector has added a prefix can be read unchanged.
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
		// Numbers are kept as written: routing tags and boot IDs are identifiers, and float64 would round large ones.
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

// Explanation is the history of one flow.
type Explanation struct {
	// Lines holds the log lines of the flow and of its upstreams, ordered by time.
	Lines []Entry
	// Reason explains the last logged reason for which the flow ended or was delayed; it is empty if no line has a reason that is known.
	Reason string
}

// Explain returns the history of a flow, identified by its caller's address and port. Lines are ordered by the timestamps of the instances;
// their clocks differ, so lines of different instances that are close in time may be out of order.
func Explain(entries []Entry, flow string) (out Explanation, err error) {
	var flowLines []Entry
	// involved holds "INSTANCE UPSTREAM" for every upstream that an instance logged with the flow.
	involved := map[string]bool{}
	for _, e := range entries {
		if e.text("flow") == flow {
			flowLines = append(flowLines, e)
			involved[e.Instance+" "+e.text("upstream")] = true
		}
	}
	if len(flowLines) == 0 {
		return out, eris.Errorf("no log line mentions flow %s; its lines may have been dropped by the log rate limit", flow)
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
		if text, known := reasonTexts[e.text("reason")]; known {
			out.Reason = text
		}
	}
	return out, nil
}

// sortByTime sorts by time, then by position in the input.
func sortByTime(entries []Entry) {
	slices.SortStableFunc(entries, func(a, b Entry) int {
		if c := a.Time.Compare(b.Time); c != 0 {
			return c
		}
		return a.order - b.order
	})
}

// omittedFields holds the fields that Write does not print as key=value pairs: time, instance and msg have their own columns, and the others
// are implied by the message or by the flow.
var omittedFields = map[string]bool{"time": true, "level": true, "msg": true, "instance": true, "flow": true, "service": true, "kind": true}

// Write writes the history to w, one log line per line, followed by the reason if it is known.
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

// reasonTexts explains each reason and what it means for the caller.
var reasonTexts = map[string]string{
	model.ReasonNoRoute.String():             "The configuration in force at that instance had no route for the address (see revision and ageMs). No request was executed.",
	model.ReasonRouteRemoved.String():        "A newer configuration had removed the route of the open flow. A request in progress may have been executed.",
	model.ReasonNoUpstream.String():          "No upstream could accept a new flow: none was listed, or all were draining, out, or at the cold-start limit. No request was executed.",
	model.ReasonUpstreamGone.String():        "The upstream had terminated: without an entry, it answered no probe or was replaced. A request in progress may have been executed.",
	model.ReasonUpstreamUnreachable.String(): "The upstream answered neither flows nor probes from that instance, so the flow was reset to let its idempotent caller retry.",
	model.ReasonHandshakeSilent.String():     "The first upstream did not answer the opening packet in time, so the instance also sent the packet to another upstream.",
	model.ReasonCallerRepeats.String():       "The caller retransmitted its opening packet because no upstream had answered the first one.",
	model.ReasonTagUnknown.String():          "The packet's routing tag matched no upstream known for the route, so the packet was held until the registry was read again.",
	model.ReasonRouteUnknown.String():        "The instance had no route for the address of the open flow, so the packet was held until the configuration was read again.",
	model.ReasonHeldTooLong.String():         "The packet was held, as the instance was starting or did not know its route or upstream, and was dropped when it had waited too long.",
	model.ReasonTagMissing.String():          "The packet carried no routing tag and the instance did not know where its flow was open, so the packet was dropped.",
	model.ReasonNotReady.String():            "The instance had just started and had no platform data yet, so the packet was dropped.",
	model.ReasonRetryBudget.String():         "The upstream did not answer the opening packet, and the retry budget for trying further upstreams was exhausted.",
	model.ReasonStale.String():               "The instance was stalled for a second or more while the packet was queued, so the packet was dropped.",
	model.ReasonEgressFull.String():          "The instance's own link was congested and the queue in front of it was full, so the packet was dropped (see queueMs).",
	model.ReasonCopyQueued.String():          "The caller retransmitted data that was still queued in front of the instance's own, congested link (see queueMs).",
	model.ReasonFlowLimit.String():           "The instance had reached its flow limit, so the new flow was reset. No request was executed.",
}
