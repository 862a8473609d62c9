package stage

import (
	"net/netip"
	"os"
	"os/exec"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"hawthorncourse/platform"
	"hawthorncourse/platform/stand"
)

const (
	// startLimit is how long an instance may take to be ready on a busy machine.
	startLimit = 15 * time.Second
	// metricsPort is that of deploy/system.toml.
	metricsPort = 9464
)

// Process is one instance; its process may be ended and started again.
type Process struct {
	Settings stand.Settings
	// Door is the instance's way to the store.
	Door *stand.FaultProxy
	// Number is the place in the list of processes.
	Number int

	path, log, binary string
	// ready is set while routers send to it.
	ready atomic.Bool

	mu sync.Mutex
	// cmd and ended are those of the present start; they are guarded by mu.
	cmd   *exec.Cmd
	ended chan struct{}
	// started is when the present start began; it is guarded by mu.
	started time.Time
	// expected is set while somebody wants the process to end; it is guarded by mu.
	expected bool
	// faults holds the ends that nobody asked for; it is guarded by mu.
	faults []error
}

// Start starts the instance's process.
func (p *Process) Start() (err error) {
	defer func() {
		if err != nil {
			err = eris.Wrapf(err, "start %s", p.Settings.Name)
		}
	}()
	if err = p.WriteSettings(); err != nil {
		return err
	}
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(p.binary, "relay", "-metrics", strconv.Itoa(metricsPort))
	cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+p.path)
	cmd.Stdout, cmd.Stderr = out, out
	if err = cmd.Start(); err != nil {
		_ = out.Close()
		return err
	}
	ended := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.ended, p.expected, p.started = cmd, ended, false, time.Now()
	p.mu.Unlock()
	go func() {
		err := cmd.Wait()
		_ = out.Close()
		p.mu.Lock()
		if !p.expected {
			p.faults = append(p.faults, eris.Errorf("%s ended by itself: %v", p.Settings.Name, err))
		}
		p.mu.Unlock()
		close(ended)
	}()
	return nil
}

// Metrics returns where the instance serves its metrics and its report.
func (p *Process) Metrics() string {
	return netip.AddrPortFrom(p.Settings.Packets.Addr(), metricsPort).String()
}

// WriteSettings writes the settings file.
func (p *Process) WriteSettings() error {
	return os.WriteFile(p.path, p.Settings.TOML(), 0o600)
}

// Signal sends a signal that does not end the process.
func (p *Process) Signal(sig syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.cmd.Process.Signal(sig)
}

// Kill ends the process at once.
func (p *Process) Kill() {
	p.expectEnd()
	p.Signal(syscall.SIGKILL)
	<-p.Ended()
	p.ready.Store(false)
}

// Stop begins the planned stop and returns its exit code once the process has ended; an error tells that it took too long.
func (p *Process) Stop(limit time.Duration) (code int, err error) {
	p.expectEnd()
	p.Signal(syscall.SIGTERM)
	select {
	case <-p.Ended():
		p.ready.Store(false)
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.cmd.ProcessState.ExitCode(), nil
	case <-time.After(limit):
		return 0, eris.Errorf("%s has not ended after %s", p.Settings.Name, limit)
	}
}

func (p *Process) expectEnd() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expected = true
}

// Ended is closed when the present start has ended.
func (p *Process) Ended() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ended
}

// Runs reports whether the process runs and nobody has asked it to end.
func (p *Process) Runs() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.expected
}

// Age returns how long ago the present start began.
func (p *Process) Age() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Since(p.started)
}

// PID returns the process id of the present start.
func (p *Process) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd.Process.Pid
}

// Ready reports whether routers send to the instance.
func (p *Process) Ready() bool {
	return p.ready.Load()
}

// Faults returns the ends that nobody asked for.
func (p *Process) Faults() []error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]error(nil), p.faults...)
}

// Log returns what every start of the instance wrote.
func (p *Process) Log() string {
	text, err := os.ReadFile(p.log)
	if err != nil {
		return err.Error()
	}
	return string(text)
}
