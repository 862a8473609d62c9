package config_test

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"hawthorncourse/internal/conf/config"
)

var update = flag.Bool("update", false, "update the golden files")

// TestFaults compares the errors of each document in testdata with its golden file.
func TestFaults(t *testing.T) {
	files, err := filepath.Glob("testdata/*.jsonc")
	if err != nil || len(files) == 0 {
		t.Fatal("no documents in testdata", err)
	}
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			is := is.New(t)
			text, err := os.ReadFile(file)
			is.NoErr(err)
			_, err = config.Parse(text)
			got := "no faults\n"
			if err != nil {
				got = err.Error() + "\n"
			}
			golden := strings.TrimSuffix(file, ".jsonc") + ".golden"
			if *update {
				is.NoErr(os.WriteFile(golden, []byte(got), 0o600))
			}
			want, err := os.ReadFile(golden)
			is.NoErr(err)
			is.Equal(got, string(want))
		})
	}
}

func FuzzParse(f *testing.F) {
	files, _ := filepath.Glob("testdata/*.jsonc")
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		doc, err := config.Parse(text)
		if (doc == nil) == (err == nil) {
			t.Error("Parse must return either a document or an error")
		}
	})
}

// documentOf returns a document with n upstreams, eleven for each service.
func documentOf(n int) []byte {
	var b strings.Builder
	b.WriteString(`{"domains":[{"id":"a"}],"services":[`)
	for k := range n {
		if k%11 == 0 {
			if k > 0 {
				b.WriteString("]},\n")
			}
			fmt.Fprintf(&b, `{"id":"s%d","kind":"coap","address":"10.0.%d.%d:5683","upstreams":[`, k/11, k/11/250, 1+k/11%250)
		} else {
			b.WriteString(",\n")
		}
		fmt.Fprintf(&b, `{"id":"s%d-%d","domain":"a","address":"10.%d.%d.%d:7100","health":"10.%d.%d.%d:7101","slots":3,"connections":2000}`,
			k/11, k%11, 1+k/62500, k/250%250, 1+k%250, 1+k/62500, k/250%250, 1+k%250)
	}
	b.WriteString("]}]}")
	return []byte(b.String())
}

func BenchmarkParse(b *testing.B) {
	for _, n := range []int{18, 180, 1800, 7000} {
		text := documentOf(n)
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				if _, err := config.Parse(text); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(text))/float64(n), "B/upstream")
		})
	}
}
