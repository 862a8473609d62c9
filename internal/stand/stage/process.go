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
	// startTimeout is how long an instance may take to be ready on a busy machine.
	startTimeout = 15 * time.Second
	// metricsPort is that of deploy/system.toml.
	metricsPort = 9464
)

// Process is one instance; its process may be ended and started again.
type Process struct {
	Settings stand.Settings
	// StoreProxy is the instance's way to the store.
	StoreProxy *stand.FaultProxy
	// Index is the place in the list of processes.
	Index int

	settingsPath, logPath, binary string
	// ready is set while routers send to it.
	ready atomic.Bool

	mu sync.Mutex
	// cmd and ended are those of the present start; they are guarded by mu.
	cmd    *exec.Cmd
	exited chan struct{}
	// started is when the present start began; it is guarded by mu.
	started time.Time
	// stopRequested is set while somebody wants the process to end; it is guarded by mu.
	stopRequested bool
	// unexpectedExits holds the ends that nobody asked for; it is guarded by mu.
	unexpectedExits []error
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
			p.unexpectedExits = append(p.unexpectedExits, eris.Errorf("%s ended by itself: %v", p.Settings.Name, err))
		}
		p.mu.Unlock()
		close(exited)
	}()
	return nil
}

// MetricsAddress returns where the instance serves its metrics and its report.
func (p *Process) MetricsAddress() string {
	return netip.AddrPortFrom(p.Settings.Packets.Addr(), metricsPort).String()
}

// WriteSettings writes the settings file.
func (p *Process) WriteSettings() error {
	return os.WriteFile(p.settingsPath, p.Settings.TOML(), 0o600)
}

// Signal sends a signal that does not end the process.
func (p *Process) Signal(sig syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.cmd.Process.Signal(sig)
}

// Kill ends the process at once.
func (p *Process) Kill() {
	p.setStopRequested()
	p.Signal(syscall.SIGKILL)
	<-p.Exited()
	p.ready.Store(false)
}

// Stop begins the planned stop and returns its exit code once the process has ended; an error tells that it took too long.
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
		return 0, eris.Errorf("%s has not ended after %s", p.Settings.Name, timeout)
	}
}

func (p *Process) setStopRequested() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopRequested = true
}

// Exited is closed when the present start has ended.
func (p *Process) Exited() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.exited
}

// Running reports whether the process runs and nobody has asked it to end.
func (p *Process) Running() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.stopRequested
}

// Uptime returns how long ago the present start began.
func (p *Process) Uptime() time.Duration {
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

// UnexpectedExits returns the ends that nobody asked for.
func (p *Process) UnexpectedExits() []error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]error(nil), p.unexpectedExits...)
}

// Log returns what every start of the instance wrote.
func (p *Process) Log() string {
	text, err := os.ReadFile(p.logPath)
	if err != nil {
		return err.Error()
	}
	return string(text)
}
