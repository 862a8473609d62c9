package setup

import (
	"net/netip"
	"os"

	"github.com/rotisserie/eris"

	"hawthorncourse/internal/conf/reader"
)

// Console holds the settings of the operators' console.
type Console struct {
	// Listen is the console's HTTP listen address; the default is defaultConsole.
	Listen netip.AddrPort
	// Platform is the URL of the platform's object API.
	Platform string
	// Admin holds the admin addresses of the instances to show.
	Admin []string
	// Token is the operators' password, of at least minToken bytes.
	Token string
}

// minToken is the minimum length of the password in bytes.
const minToken = 12

// defaultConsole accepts connections from the same machine only.
var defaultConsole = netip.MustParseAddrPort("127.0.0.1:7800")

// LoadConsole reads the console's settings from the file.
func LoadConsole(path string) (cfg Console, err error) {
	defer func() {
		if err != nil {
			err = eris.Wrapf(err, "settings %s", path)
		}
	}()
	text, err := os.ReadFile(path)
	if err != nil {
		return Console{}, err
	}
	return ParseConsole(text)
}

// ParseConsole parses the console's settings; the error is a reader.Faults that lists every invalid setting with its line.
func ParseConsole(text []byte) (Console, error) {
	cfg := Console{Listen: defaultConsole}
	faults := reader.Read(text, reader.Schema{
		"listen":   reader.Address(&cfg.Listen),
		"platform": reader.Text(&cfg.Platform),
		"token":    reader.Text(&cfg.Token),
		"admin": func(f reader.Field) {
			f.Array(func(f reader.Field) {
				var addr netip.AddrPort
				reader.Address(&addr)(f)
				cfg.Admin = append(cfg.Admin, addr.String())
			})
		},
	})
	if cfg.Platform == "" {
		faults = append(faults, reader.Fault{Line: 1, Field: "platform", Reason: "is missing"})
	}
	if len(cfg.Token) < minToken {
		faults = append(faults, reader.Fault{Line: 1, Field: "token", Reason: "must have at least 12 bytes"})
	}
	return cfg, faults.Err()
}
