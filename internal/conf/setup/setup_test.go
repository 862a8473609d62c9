package setup_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"hawthorncourse/internal/conf/setup"
)

const complete = `{
	// One instance.
	"instance": "musanze-1", "domain": "musanze",
	"front": "127.0.0.1:7000", "back": "127.0.0.1:7001", "hand": "127.0.0.1:7002",
	"control": "127.0.0.1:7003", "admin": "127.0.0.1:7004",
	"fabric": "127.0.0.2:7300", "platform": "http://127.0.0.3:7400",
}`

func TestParse(t *testing.T) {
	cases := map[string]struct {
		replace, with string
		want          string
	}{
		"complete":          {},
		"unknown field":     {replace: `"domain"`, with: `"zone"`, want: "line 3: zone: is not a known field"},
		"invalid address":   {replace: `127.0.0.1:7000`, with: `localhost`, want: "line 4: front: must be an IP address and a port"},
		"missing platform":  {replace: `, "platform": "http://127.0.0.3:7400"`, want: "platform: is missing"},
		"invalid log level": {replace: `// One instance.`, with: `"logLevel": "loud",`, want: "logLevel: must be a level"},
		"unknown policy":    {replace: `// One instance.`, with: `"policy": "best",`, want: "policy: must be"},
		"ring of size zero": {replace: `// One instance.`, with: `"ringSize": 0,`, want: "ringSize: must be a whole number from 1"},
		"not JSON":          {replace: `{`, with: `[`, want: "text:"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			cfg, err := setup.Parse([]byte(strings.Replace(complete, tc.replace, tc.with, 1)))
			if tc.want == "" {
				is.NoErr(err)
				is.Equal(cfg.Advertise, cfg.Control)
				is.Equal(cfg.AdvertiseHandOff, cfg.HandOff)
				return
			}
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), tc.want))
		})
	}
}

func TestParseConsole(t *testing.T) {
	is := is.New(t)
	_, err := setup.ParseConsole([]byte(`{"platform": "http://127.0.0.3:7400", "token": "short"}`))
	is.True(err != nil)
	cfg, err := setup.ParseConsole([]byte(`{"platform": "http://127.0.0.3:7400", "token": "long enough to use"}`))
	is.NoErr(err)
	is.True(cfg.Listen.Addr().IsLoopback())
}
