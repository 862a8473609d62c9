package setup_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"hawthorncourse/internal/conf/setup"
)

const whole = `{
	// One instance.
	"instance": "musanze-1", "domain": "musanze",
	"front": "127.0.0.1:7000", "back": "127.0.0.1:7001", "hand": "127.0.0.1:7002",
	"control": "127.0.0.1:7003", "admin": "127.0.0.1:7004",
	"fabric": "127.0.0.2:7300", "platform": "http://127.0.0.3:7400",
}`

func TestParse(t *testing.T) {
	cases := map[string]struct {
		old, new string
		want     string
	}{
		"whole":              {},
		"an unknown field":   {old: `"domain"`, new: `"zone"`, want: "line 3: zone: is not a known field"},
		"a bad address":      {old: `127.0.0.1:7000`, new: `localhost`, want: "line 4: front: must be an IP address and a port"},
		"a missing platform": {old: `, "platform": "http://127.0.0.3:7400"`, want: "platform: is missing"},
		"a bad level":        {old: `// One instance.`, new: `"logLevel": "loud",`, want: "logLevel: must be a level"},
		"a bad policy":       {old: `// One instance.`, new: `"policy": "best",`, want: "policy: must be"},
		"a ring of nothing":  {old: `// One instance.`, new: `"ringSize": 0,`, want: "ringSize: must be a whole number from 1"},
		"no JSON":            {old: `{`, new: `[`, want: "text:"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			cfg, err := setup.Parse([]byte(strings.Replace(whole, tc.old, tc.new, 1)))
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
