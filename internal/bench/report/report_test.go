package report_test

import (
	"bytes"
	"flag"
	"io"
	"os"
	"testing"

	"github.com/matryer/is"

	"hawthorncourse/internal/bench/report"
)

var update = flag.Bool("update", false, "overwrite the golden files with the current output")

func sample() []report.Run {
	return []report.Run{{
		Setup:    "regie",
		Seed:     1,
		Phases:   []report.Phase{{Name: "steady", Planned: true, Seconds: 10, Imbalance: 1.25}, {Name: "domain out", BrokenFlows: 3, Imbalance: 2}},
		Latency:  []report.Quantile{{Percent: 50, Micros: 18_000}},
		Refused:  []report.Count{{Name: "not run: queue_full", Value: 2}},
		Breaches: []string{"steady: a <stream> broke"},
	}}
}

// TestWrite compares each output format of a report with its golden file.
func TestWrite(t *testing.T) {
	cases := map[string]func(io.Writer, []report.Run) error{
		"report.json": report.WriteJSON,
		"report.html": report.WritePage,
		"report.txt": func(w io.Writer, runs []report.Run) error {
			report.WriteText(w, runs)
			return nil
		},
	}
	for name, write := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var got bytes.Buffer
			is.NoErr(write(&got, sample()))
			golden := "testdata/" + name
			if *update {
				is.NoErr(os.WriteFile(golden, got.Bytes(), 0o600))
			}
			want, err := os.ReadFile(golden)
			is.NoErr(err)
			is.Equal(got.String(), string(want))
		})
	}
}
