package story_test

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"hawthorncourse/internal/core/model"
	"hawthorncourse/internal/oper/story"
)

// TestRecordedLogs explains, from recorded logs of simulated days, the failed or late requests that docs/OPERATIONS.md discusses.
func TestRecordedLogs(t *testing.T) {
	cases := map[string]struct {
		log, flow string
	}{
		"the upstream died while the request ran": {log: "dead", flow: "100.66.0.26:1069"},
		"unanswered during a partition":           {log: "cut", flow: "100.64.0.15:1040"},
		"refused by an outdated configuration":    {log: "outdated", flow: "100.64.0.4:1163"},
		"delayed by the instance's own link":      {log: "congested", flow: "100.67.0.14:1054"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			log, err := os.Open(filepath.Join("testdata", tc.log+".log"))
			is.NoErr(err)
			defer log.Close()
			entries, err := story.Read(log)
			is.NoErr(err)
			explanation, err := story.Explain(entries, tc.flow)
			is.NoErr(err)
			var out bytes.Buffer
			explanation.Write(&out)
			want, err := os.ReadFile(filepath.Join("testdata", tc.log+".golden"))
			is.NoErr(err)
			is.Equal(out.String(), string(want))
		})
	}
}

// TestRead checks that prefixes of a log collector and lines of other programs are ignored, and that lines are ordered by time.
func TestRead(t *testing.T) {
	is := is.New(t)
	log := `noise
  41.02 east-1 {"time":"2026-01-01T00:00:02Z","instance":"east-1","msg":"flow: A flow is reset.","kind":"reset","flow":"a:1","reason":"upstream_gone","upstream":"u"}
{"broken
{"time":"2026-01-01T00:00:01Z","instance":"east-1","msg":"flow: A new flow is placed.","kind":"place","flow":"a:1","upstream":"u"}
{"time":"2026-01-01T00:00:01.5Z","instance":"east-2","msg":"roster: another instance's line.","upstream":"u"}
{"time":"2026-01-01T00:00:01.5Z","instance":"east-1","msg":"roster: gone.","upstream":"u","state":"gone"}
{"time":"none","msg":"no time","flow":"a:1"}
`
	entries, err := story.Read(strings.NewReader(log))
	is.NoErr(err)
	is.Equal(len(entries), 4)
	explanation, err := story.Explain(entries, "a:1")
	is.NoErr(err)
	var messages []string
	for _, e := range explanation.Lines {
		messages = append(messages, e.Message)
	}
	is.Equal(messages, []string{"flow: A new flow is placed.", "roster: gone.", "flow: A flow is reset."})
	is.True(explanation.Reason != "")
	_, err = story.Explain(entries, "b:2")
	is.True(err != nil)
}

// TestReasons checks that every reason that ends or delays a flow is explained.
func TestReasons(t *testing.T) {
	for _, reason := range []model.Reason{
		model.ReasonNoRoute, model.ReasonRouteRemoved, model.ReasonNoUpstream, model.ReasonUpstreamGone, model.ReasonUpstreamUnreachable,
		model.ReasonHandshakeSilent, model.ReasonCallerRepeats, model.ReasonTagUnknown, model.ReasonTagMissing, model.ReasonNotReady,
		model.ReasonRetryBudget, model.ReasonFlowLimit, model.ReasonStale,
		model.ReasonEgressFull, model.ReasonCopyQueued, model.ReasonHeldTooLong, model.ReasonRouteUnknown,
	} {
		entries := []story.Entry{{Instance: "a", Fields: map[string]any{"flow": "a:1", "reason": reason.String()}}}
		explanation, err := story.Explain(entries, "a:1")
		if err != nil || explanation.Reason == "" {
			t.Errorf("reason %s has no explanation", reason)
		}
	}
}

// TestUnknownReason checks that a reason without an explanation, such as one of a newer build, leaves the explanation of an earlier line in place.
func TestUnknownReason(t *testing.T) {
	is := is.New(t)
	line := func(reason string) story.Entry {
		return story.Entry{Instance: "a", Fields: map[string]any{"flow": "a:1", "reason": reason}}
	}
	explanation, err := story.Explain([]story.Entry{line(model.ReasonUpstreamGone.String()), line("newer_reason")}, "a:1")
	is.NoErr(err)
	is.True(strings.Contains(explanation.Reason, "terminated"))
}
