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
	// startTimeout is how long all instances together may take to become ready, on a busy machine.
	startTimeout = 15 * time.Second
	// metricsPort is the metrics port in deploy/system.toml.
	metricsPort = 9464
)

// Process is one instance that runs as a process of its own, which can be stopped and started again.
type Process struct {
	// Settings holds the content of the settings file, which is written at every start.
	Settings stand.Settings
	// StoreProxy is the proxy through which the instance reaches the store.
	StoreProxy *stand.FaultProxy
	// Index is the position in Environment.Processes.
	Index int

	settingsPath, logPath, binary string
	// readyAddress is the address that the routers check; tests may change Settings.Ready, which must not take effect.
	readyAddress netip.AddrPort
	// ready is set while the routers send packets to the instance.
	ready atomic.Bool

	mu sync.Mutex
	// cmd is the process of the current run, and exited is closed when it exits; both are guarded by mu.
	cmd    *exec.Cmd
	exited chan struct{}
	// started is the start time of the current run; it is guarded by mu.
	started time.Time
	// stopRequested is set once Stop or Kill was called for the current run; it is guarded by mu.
	stopRequested bool
	// unexpectedExits holds an error for each exit without a call of Stop or Kill; it is guarded by mu.
	unexpectedExits []error
}

// Start writes the settings file and starts the process. It does not wait until the instance is ready.
func (p *Process) Start() (err error) {
	defer func() {
		if err != nil {
			err = eris.Wrapf(err, "start %s", p.Settings.Name)
		}
	}()
	if err = p.WriteSettings(); err != nil {
		return err
	}
	logFile, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(p.binary, "relay", "-metrics", strconv.Itoa(metricsPort))
	cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+p.settingsPath)
	cmd.Stdout, cmd.Stderr = logFile, logFile
	if err = cmd.Start(); err != nil {
		_ = logFile.Close()
		return err
	}
	exited := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.exited, p.stopRequested, p.started = cmd, exited, false, time.Now()
	p.mu.Unlock()
	go func() {
		err := cmd.Wait()
		_ = logFile.Close()
		p.mu.Lock()
		if !p.stopRequested {
			p.unexpectedExits = append(p.unexpectedExits, eris.Errorf("%s exited without a stop request: %v", p.Settings.Name, err))
		}
		p.mu.Unlock()
		close(exited)
	}()
	return nil
}

// MetricsAddress returns the HTTP address at which the instance serves its metrics and its status report.
func (p *Process) MetricsAddress() string {
	return netip.AddrPortFrom(p.Settings.Packets.Addr(), metricsPort).String()
}

// WriteSettings writes Settings to the settings file.
func (p *Process) WriteSettings() error {
	return os.WriteFile(p.settingsPath, p.Settings.TOML(), 0o600)
}

// Signal sends a signal to the process. To terminate the process, use Stop or Kill instead: they mark the exit as expected.
func (p *Process) Signal(sig syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.cmd.Process.Signal(sig)
}

// Kill sends SIGKILL and waits until the process has exited. It does nothing if the process was never started.
func (p *Process) Kill() {
	if p.Exited() == nil {
		return
	}
	p.setStopRequested()
	p.Signal(syscall.SIGKILL)
	<-p.Exited()
	p.ready.Store(false)
}

// Stop sends SIGTERM, waits until the process has exited and returns its exit code. It returns an error if the process still runs after the timeout.
func (p *Process) Stop(timeout time.Duration) (code int, err error) {
	p.setStopRequested()
	p.Signal(syscall.SIGTERM)
	select {
	case <-p.Exited():
		p.ready.Store(false)
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.cmd.ProcessState.ExitCode(), nil
	case <-time.After(timeout):
		return 0, eris.Errorf("%s has not exited within %s", p.Settings.Name, timeout)
	}
}

func (p *Process) setStopRequested() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopRequested = true
}

// Exited returns a channel that is closed when the current run exits; nil if the process was never started.
func (p *Process) Exited() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.exited
}

// Running reports whether the process is meant to run: it was started and neither Stop nor Kill was called since.
func (p *Process) Running() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.stopRequested
}

// Uptime returns the time since the start of the current run.
func (p *Process) Uptime() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Since(p.started)
}

// PID returns the process ID of the current run.
func (p *Process) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd.Process.Pid
}

// Ready reports whether the routers send packets to the instance.
func (p *Process) Ready() bool {
	return p.ready.Load()
}

// UnexpectedExits returns an error for each exit without a call of Stop or Kill.
func (p *Process) UnexpectedExits() []error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]error(nil), p.unexpectedExits...)
}

// Log returns the output of all runs of the instance, or the text of the error if the log file cannot be read.
func (p *Process) Log() string {
	text, err := os.ReadFile(p.logPath)
	if err != nil {
		return err.Error()
	}
	return string(text)
}
