// Package setup reads the settings files of an entry instance and of the operators' console.
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

// Config holds the settings of one entry instance.
type Config struct {
	// Instance is the name of this instance; it must be unique among running instances.
	Instance model.InstanceID
	// Domain is the failure domain of this instance.
	Domain model.DomainID
	// Front is the UDP listen address for callers' packets, which arrive from the network fabric.
	Front netip.AddrPort
	// Back is the local UDP address from which packets are sent to upstreams, and at which their answers arrive.
	Back netip.AddrPort
	// HandOff is the UDP listen address for packets that other instances hand off to this one.
	HandOff netip.AddrPort
	// Control is the TCP listen address for calls from other instances.
	Control netip.AddrPort
	// Admin is the HTTP listen address for status and metrics.
	Admin netip.AddrPort
	// Advertise is the control address that other instances connect to; the default is Control.
	Advertise netip.AddrPort
	// AdvertiseHandOff is the address to which other instances hand off packets; the default is HandOff.
	AdvertiseHandOff netip.AddrPort
	// Fabric is the address in the network fabric to which packets for callers are sent.
	Fabric netip.AddrPort
	// Platform is the URL of the platform's object API.
	Platform string
	// LogLevel is the least severe level that is logged.
	LogLevel logrus.Level
	// RingSize is the capacity, in packets, of each queue between goroutines.
	RingSize int
	// StreamLimit is the maximum number of flows in the flow table.
	StreamLimit int
	// HealthInterval is the interval between health checks of an upstream.
	HealthInterval time.Duration
	// Policy is the name of the load-balancing policy that selects one of several available upstreams.
	Policy string
	// Seed is the seed of the random number generator; zero for one from the clock.
	Seed uint64
}

const (
	defaultRingSize       = 4096
	maxRingSize           = 1 << 20
	defaultStreamLimit    = 500_000
	maxStreamLimit        = 10_000_000
	defaultHealthInterval = time.Second
)

// Load reads the settings from the file.
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

// Parse parses settings; the error is a reader.Faults that lists every invalid setting with its line.
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
	var name string
	reader.Text(&name)(f)
	parsed, err := logrus.ParseLevel(name)
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

// missing returns a fault for each required setting that is not set.
func (cfg *Config) missing() reader.Faults {
	var faults reader.Faults
	required := []struct {
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
	for _, field := range required {
		if !field.set {
			faults = append(faults, reader.Fault{Line: 1, Field: field.name, Reason: "is missing"})
		}
	}
	return faults
}
