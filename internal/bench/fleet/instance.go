package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"hawthorncourse/internal/core/model"
	"hawthorncourse/internal/oper/status"
)

const (
	// pollInterval is the interval at which instances are polled for their status.
	pollInterval = 50 * time.Millisecond
	// instancesPerSubnet is the maximum number of instances in a loopback subnet; the last byte of the address distinguishes them.
	instancesPerSubnet = 200
	// firstInstanceSubnet is the third byte of the addresses of the first instancesPerSubnet instances.
	firstInstanceSubnet = 100
)

// Instance is an entry process.
type Instance struct {
	ID     model.InstanceID
	Domain model.DomainID
	// Front, Back, HandOff, Control and Admin are the listen addresses for packets from the fabric, packets of upstreams,
	// packets handed off by peers, calls of peers, and operators.
	Front, Back, HandOff, Control, Admin netip.AddrPort
	// AdvertisedControl and AdvertisedHandOff are the addresses by which peers reach Control and HandOff.
	AdvertisedControl, AdvertisedHandOff netip.AddrPort

	cmd    *exec.Cmd
	exited chan struct{}
	// leaving is set when a graceful shutdown has started.
	leaving bool
}

// defineInstances assigns names, domains and addresses to the instances without starting them.
func (f *Fleet) defineInstances() error {
	s := f.cfg.Setup
	for n := range s.Instances {
		if _, err := f.defineInstance(n, s.domainOf(n)); err != nil {
			return err
		}
	}
	return nil
}

// defineInstance adds the instance with the given index, counted from zero over all domains.
func (f *Fleet) defineInstance(index int, domain model.DomainID) (*Instance, error) {
	subnet, host := firstInstanceSubnet+index/instancesPerSubnet, 1+index%instancesPerSubnet
	in := &Instance{
		ID:      model.InstanceID(fmt.Sprintf("%s-%d", domain, index+1)),
		Domain:  domain,
		Front:   f.addr(subnet, host, portFront),
		Back:    f.addr(subnet, host, portBack),
		HandOff: f.addr(subnet, host, portHandOff),
		Control: f.addr(subnet, host, portControl),
		Admin:   f.addr(subnet, host, portAdmin),
	}
	var err error
	if in.AdvertisedControl, err = f.linkAddress(LinkControl, string(in.ID), in.Control); err != nil {
		return nil, err
	}
	if in.AdvertisedHandOff, err = f.linkAddress(LinkHandOff, string(in.ID), in.HandOff); err != nil {
		return nil, err
	}
	f.Instances = append(f.Instances, in)
	return in, nil
}

// AddInstance starts an additional instance in the failure domain; the fabric includes it after endpointDelay.
func (f *Fleet) AddInstance(domain model.DomainID) (*Instance, error) {
	in, err := f.defineInstance(len(f.Instances), domain)
	if err != nil {
		return nil, err
	}
	if err := f.StartInstance(in); err != nil {
		return nil, err
	}
	f.setExcluded(in.ID, false)
	return in, nil
}

// settingsJSON is the settings file of an instance.
type settingsJSON struct {
	Instance      string `json:"instance"`
	Domain        string `json:"domain"`
	Front         string `json:"front"`
	Back          string `json:"back"`
	Hand          string `json:"hand"`
	Control       string `json:"control"`
	Advertise     string `json:"advertise"`
	AdvertiseHand string `json:"advertiseHand"`
	Admin         string `json:"admin"`
	Fabric        string `json:"fabric"`
	Platform      string `json:"platform"`
	LogLevel      string `json:"logLevel"`
	Policy        string `json:"policy,omitempty"`
	Seed          uint64 `json:"seed"`
	StreamLimit   int    `json:"streamLimit"`
}

// streamLimit is the maximum number of flows that an instance keeps.
const streamLimit = 500_000

// settings returns the settings file of the instance in JSON.
func (in *Instance) settings(f *Fleet) []byte {
	level := f.cfg.LogLevel
	if level == "" {
		level = "info"
	}
	raw, _ := json.MarshalIndent(settingsJSON{
		Instance:      string(in.ID),
		Domain:        string(in.Domain),
		Front:         in.Front.String(),
		Back:          in.Back.String(),
		Hand:          in.HandOff.String(),
		Control:       in.Control.String(),
		Advertise:     in.AdvertisedControl.String(),
		AdvertiseHand: in.AdvertisedHandOff.String(),
		Admin:         in.Admin.String(),
		Fabric:        f.Fabric.EgressAddress().String(),
		Platform:      "http://" + f.platformAddr.String(),
		LogLevel:      level,
		Policy:        f.cfg.Policy,
		Seed:          f.cfg.Seed,
		StreamLimit:   streamLimit,
	}, "", "\t")
	return raw
}

// StartInstance starts the process of an instance.
func (f *Fleet) StartInstance(in *Instance) (err error) {
	defer func() {
		if err != nil {
			err = eris.Wrapf(err, "start instance %s", in.ID)
		}
	}()
	path, err := f.writeSettings(in)
	if err != nil {
		return err
	}
	log, err := os.OpenFile(f.logPath(in.ID), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	in.cmd = exec.Command(f.cfg.Binary, "entry", "-settings", path)
	in.cmd.Stderr = log
	in.cmd.Stdout = log
	if err := in.cmd.Start(); err != nil {
		return err
	}
	in.leaving = false
	in.exited = make(chan struct{})
	exited := in.exited
	cmd := in.cmd
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	return nil
}

// PID returns the process ID of the instance.
func (in *Instance) PID() int {
	return in.cmd.Process.Pid
}

// Restart starts a stopped instance again; the fabric includes it after endpointDelay.
func (f *Fleet) Restart(in *Instance) error {
	if err := f.StartInstance(in); err != nil {
		return err
	}
	f.setExcluded(in.ID, false)
	return nil
}

// Kill kills the process with SIGKILL; the fabric excludes it after endpointDelay.
func (f *Fleet) Kill(in *Instance) {
	in.kill()
	f.setExcluded(in.ID, true)
}

func (in *Instance) kill() {
	if in.cmd == nil {
		return
	}
	_ = in.cmd.Process.Kill()
	<-in.exited
}

// Pause suspends the process with SIGSTOP until Resume.
func (in *Instance) Pause() {
	_ = in.cmd.Process.Signal(syscall.SIGSTOP)
}

// Resume continues a paused process.
func (in *Instance) Resume() {
	_ = in.cmd.Process.Signal(syscall.SIGCONT)
}

// Stop starts a graceful shutdown with SIGTERM; the fabric excludes the instance after endpointDelay.
func (f *Fleet) Stop(in *Instance) {
	_ = in.cmd.Process.Signal(syscall.SIGTERM)
	f.mu.Lock()
	in.leaving = true
	f.mu.Unlock()
	f.setExcluded(in.ID, true)
}

// Exited returns a channel that is closed when the process has exited.
func (in *Instance) Exited() <-chan struct{} {
	return in.exited
}

// AwaitVersion waits until every running instance has applied version v of the document or a later one, and has keys. Instances that have exited are ignored.
func (f *Fleet) AwaitVersion(ctx context.Context, v model.Version) error {
	for _, in := range f.Instances {
		if err := in.awaitVersion(ctx, v); err != nil {
			return err
		}
	}
	return nil
}

func (in *Instance) awaitVersion(ctx context.Context, v model.Version) error {
	for {
		select {
		case <-in.exited:
			return nil
		default:
		}
		st, err := in.Status(ctx)
		if err == nil && st.Document >= uint64(v) && st.Keys > 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return eris.Errorf("instance %s has document version %d instead of %d: %v", in.ID, st.Document, v, err)
		case <-time.After(pollInterval):
		}
	}
}

// Status fetches the status of the instance from its admin address.
func (in *Instance) Status(ctx context.Context) (status.WireReport, error) {
	return status.Fetch(ctx, in.Admin.String())
}

// AwaitUsableSlots waits until the instances together may use at least want upstream slots, or until ctx is done.
func (f *Fleet) AwaitUsableSlots(ctx context.Context, want int) error {
	for {
		usable := 0
		for _, in := range f.Instances {
			st, err := in.Status(ctx)
			if err != nil {
				continue
			}
			for _, u := range st.Upstreams {
				usable += u.Limit
			}
		}
		if usable >= want {
			return nil
		}
		select {
		case <-ctx.Done():
			return eris.Errorf("only %d of %d upstream slots are usable", usable, want)
		case <-time.After(pollInterval):
		}
	}
}
