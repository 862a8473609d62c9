// Package setup reads the settings of one entry instance.
package setup

import (
	"net/netip"
	"os"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"hawthorncourse/internal/conf/reader"
	"hawthorncourse/internal/core/engine"
	"hawthorncourse/internal/core/model"
)

// Config is the settings of one entry instance.
type Config struct {
	// Instance is the name of this instance; no two live ones share it.
	Instance model.InstanceID
	// Domain is the failure domain that this instance is in.
	Domain model.DomainID
	// Front receives packets from the fabric.
	Front netip.AddrPort
	// Back sends to upstreams and receives their answers.
	Back netip.AddrPort
	// HandOff receives packets from peers.
	HandOff netip.AddrPort
	// Control receives calls from peers.
	Control netip.AddrPort
	// Admin serves status and counters to operators.
	Admin netip.AddrPort
	// Advertise is the control address that peers use; the same as Control if not given.
	Advertise netip.AddrPort
	// AdvertiseHandOff is the address for packets that peers use; the same as Hand if not given.
	AdvertiseHandOff netip.AddrPort
	// Fabric is where packets for callers go.
	Fabric netip.AddrPort
	// Platform is the URL of the platform's object API.
	Platform string
	// LogLevel is the least severe level that is logged.
	LogLevel logrus.Level
	// RingSize is the most packets that wait between two duties.
	RingSize int
	// StreamLimit is the most flows that are remembered.
	StreamLimit int
	// HealthInterval is how often upstreams are asked for their health.
	HealthInterval time.Duration
	// Policy names the way to pick one of several free upstreams.
	Policy string
	// Seed feeds random choices; zero for one from the clock.
	Seed uint64
}

const (
	defaultRingSize       = 4096
	maxRingSize           = 1 << 20
	defaultStreamLimit    = 500_000
	maxStreamLimit        = 10_000_000
	defaultHealthInterval = time.Second
)

// Load reads the settings in the file.
func Load(path string) (cfg Config, err error) {
	defer func() {
		if err != nil {
			err = eris.Wrapf(err, "settings %s", path)
		}
	}()
	text, err := os.ReadFile(path)
	if err != nil {
		return Config{}, err
	}
	return Parse(text)
}

// Parse reads settings; the error holds every fault with its line.
func Parse(text []byte) (Config, error) {
	cfg := Config{
		LogLevel:       logrus.InfoLevel,
		RingSize:       defaultRingSize,
		StreamLimit:    defaultStreamLimit,
		HealthInterval: defaultHealthInterval,
		Policy:         engine.DefaultPolicy,
	}
	faults := reader.Read(text, reader.Schema{
		"instance":       reader.Text(&cfg.Instance),
		"domain":         reader.Text(&cfg.Domain),
		"front":          reader.Address(&cfg.Front),
		"back":           reader.Address(&cfg.Back),
		"hand":           reader.Address(&cfg.HandOff),
		"control":        reader.Address(&cfg.Control),
		"admin":          reader.Address(&cfg.Admin),
		"advertise":      reader.Address(&cfg.Advertise),
		"advertiseHand":  reader.Address(&cfg.AdvertiseHandOff),
		"fabric":         reader.Address(&cfg.Fabric),
		"platform":       reader.Text(&cfg.Platform),
		"logLevel":       func(f reader.Field) { readLevel(f, &cfg.LogLevel) },
		"ringSize":       reader.Number(&cfg.RingSize, 1, maxRingSize),
		"streamLimit":    reader.Number(&cfg.StreamLimit, 1, maxStreamLimit),
		"healthInterval": reader.Duration(&cfg.HealthInterval, 100*time.Millisecond, time.Minute),
		"policy":         func(f reader.Field) { readPolicy(f, &cfg.Policy) },
		"seed":           reader.Number(&cfg.Seed, 0, 1<<53),
	})
	faults = append(faults, cfg.missing()...)
	if !cfg.Advertise.IsValid() {
		cfg.Advertise = cfg.Control
	}
	if !cfg.AdvertiseHandOff.IsValid() {
		cfg.AdvertiseHandOff = cfg.HandOff
	}
	return cfg, faults.Err()
}

func readLevel(f reader.Field, level *logrus.Level) {
	var word string
	reader.Text(&word)(f)
	parsed, err := logrus.ParseLevel(word)
	if err != nil {
		f.Fault("must be a level such as \"info\" or \"debug\"")
		return
	}
	*level = parsed
}

func readPolicy(f reader.Field, name *string) {
	reader.Text(name)(f)
	if _, ok := engine.PolicyByName(*name); !ok {
		f.Fault("must be \"utilisation\", \"completion\", \"random\" or \"roundRobin\"")
	}
}

func (cfg *Config) missing() reader.Faults {
	var faults reader.Faults
	needs := []struct {
		name string
		set  bool
	}{
		{name: "instance", set: cfg.Instance != ""},
		{name: "domain", set: cfg.Domain != ""},
		{name: "front", set: cfg.Front.IsValid()},
		{name: "back", set: cfg.Back.IsValid()},
		{name: "hand", set: cfg.HandOff.IsValid()},
		{name: "control", set: cfg.Control.IsValid()},
		{name: "admin", set: cfg.Admin.IsValid()},
		{name: "fabric", set: cfg.Fabric.IsValid()},
		{name: "platform", set: cfg.Platform != ""},
	}
	for _, need := range needs {
		if !need.set {
			faults = append(faults, reader.Fault{Line: 1, Field: need.name, Reason: "is missing"})
		}
	}
	return faults
}
