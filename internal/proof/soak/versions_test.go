package soak

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// The messages in an instance's log at the start of its process and when a configuration becomes active.
const (
	startMessage  = "relay: Instance is starting."
	activeMessage = "platform: A new route configuration is active."
)

// activation is a log line of an instance: a version of the configuration became active, or the process started, which is version 0.
type activation struct {
	at      time.Time
	version uint64
}

// activations returns those in the log of an instance, oldest first.
func activations(log string) (list []activation) {
	for line := range strings.Lines(log) {
		var entry struct {
			Msg     string    `json:"msg"`
			Time    time.Time `json:"time"`
			Version uint64    `json:"version"`
		}
		if json.Unmarshal([]byte(line), &entry) != nil {
			continue
		}
		switch entry.Msg {
		case startMessage:
			list = append(list, activation{at: entry.Time})
		case activeMessage:
			list = append(list, activation{at: entry.Time, version: entry.Version})
		}
	}
	return list
}

// versionAt returns the version that was active at an instant; ok is false if the log does not tell.
func versionAt(list []activation, at time.Time) (version uint64, ok bool) {
	for _, a := range list {
		if a.at.After(at) {
			break
		}
		version, ok = a.version, a.version != 0
	}
	return version, ok
}

// revertsRemoval reports whether an instance that refused a removed route has opened a flow to it later, so that it went back to a version from before the
// removal. It did not if it had not reached addedIn, the version that adds the route, when it refused it: it did not know the route yet.
func revertsRemoval(earlier, later probe, removed time.Time, addedIn uint64, list []activation) bool {
	if !earlier.refused || !later.opened || removed.IsZero() || !earlier.at.After(removed) {
		return false
	}
	version, ok := versionAt(list, earlier.at)
	return !ok || version >= addedIn
}

// checkVersionOrder checks that no process makes an older version of the configuration active than one before.
func (r *run) checkVersionOrder(instance string, list []activation) {
	var last uint64
	for _, a := range list {
		if a.version != 0 && a.version < last {
			r.addViolation("at %s: instance %s made version %d active after version %d", r.timestamp(a.at), instance, a.version, last)
		}
		last = a.version
	}
}

// TestRevertsRemoval checks the check of removed routes: a refusal shows knowledge of the removal only at an instance that had known the route.
func TestRevertsRemoval(t *testing.T) {
	start := time.Now()
	at := func(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }
	const addedIn = 7
	refused, opened := probe{at: at(10), refused: true}, probe{at: at(12), opened: true}
	cases := map[string]struct {
		earlier, later probe
		removed        time.Time
		list           []activation
		want           bool
	}{
		"the route was not known yet":               {earlier: refused, later: opened, removed: at(9), list: []activation{{at(0), 0}, {at(1), 5}, {at(11), 8}}},
		"the route was known":                       {earlier: refused, later: opened, removed: at(9), list: []activation{{at(0), 0}, {at(1), 7}}, want: true},
		"the removal was known":                     {earlier: refused, later: opened, removed: at(9), list: []activation{{at(0), 0}, {at(1), 5}, {at(9), 9}}, want: true},
		"the log does not tell":                     {earlier: refused, later: opened, removed: at(9), want: true},
		"the process has started since":             {earlier: refused, later: opened, removed: at(9), list: []activation{{at(1), 5}, {at(9), 0}}, want: true},
		"the route was refused before its removal":  {earlier: refused, later: opened, removed: at(11), list: []activation{{at(1), 7}}},
		"the route was never removed":               {earlier: refused, later: opened, list: []activation{{at(1), 7}}},
		"the route was refused again":               {earlier: refused, later: refused, removed: at(9), list: []activation{{at(1), 7}}},
		"the route was served before and after":     {earlier: opened, later: opened, removed: at(9), list: []activation{{at(1), 7}}},
		"a later version does not count for before": {earlier: refused, later: opened, removed: at(9), list: []activation{{at(1), 6}, {at(11), 7}}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(revertsRemoval(tc.earlier, tc.later, tc.removed, addedIn, tc.list), tc.want)
		})
	}
}

// TestVersionOrder checks the check of the versions in logs.
func TestVersionOrder(t *testing.T) {
	line := func(msg, version string) string {
		return `{"msg":"` + msg + `","time":"2026-01-02T03:04:05.5Z"` + version + "}\n"
	}
	start, active := line(startMessage, ""), func(v string) string { return line(activeMessage, `,"version":`+v) }
	cases := map[string]struct {
		log  string
		want int
	}{
		"increasing":              {log: start + active("3") + active("5")},
		"again":                   {log: start + active("3") + active("3")},
		"decreasing":              {log: start + active("5") + active("3"), want: 1},
		"an older one at a start": {log: start + active("5") + start + active("3")},
		"other lines":             {log: start + active("5") + "no JSON\n" + line("other", `,"version":3`)},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			r := &run{}
			r.checkVersionOrder("east-1", activations(tc.log))
			is.New(t).Equal(len(r.violations), tc.want)
		})
	}
}
