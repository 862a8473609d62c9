package main

import (
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// graceTime is the time from SIGTERM to SIGKILL, and restartDelay the time from an exit to the next start.
const (
	graceTime    = 6 * time.Second
	restartDelay = 100 * time.Millisecond
)

// machine runs one relay process.
type machine struct {
	w          *world
	name       string
	zone       int
	ip         netip.Addr
	settings   string
	inRotation atomic.Bool

	mu      sync.Mutex
	cmd     *exec.Cmd
	exited  chan struct{}
	keepOff bool
}

func (m *machine) data() netip.AddrPort { return netip.AddrPortFrom(m.ip, dataPort) }

// addMachine adds a machine to a zone, with its settings file.
func (w *world) addMachine(zone int) *machine {
	n := len(w.machines) + 1
	m := &machine{w: w, name: fmt.Sprintf("frontend-%s-%d", zoneNames[zone], n), zone: zone, ip: w.addr(groupMachines, n, 0).Addr()}
	m.settings = filepath.Join(w.dir, m.name+".toml")
	w.machines = append(w.machines, m)
	return m
}

// writeSettings writes the settings of all machines.
func (w *world) writeSettings() {
	var seeds, zones []string
	for _, m := range w.machines[:min(3, len(w.machines))] {
		seeds = append(seeds, fmt.Sprintf("%q", netip.AddrPortFrom(m.ip, controlPort)))
	}
	for _, z := range zoneNames {
		zones = append(zones, z+` = "region-1"`)
	}
	hash := "steady"
	if w.hashMod {
		hash = "mod"
	}
	for _, m := range w.machines {
		text := fmt.Sprintf(`node-name = %q
role = "relay"
machine-class = "frontend"
serves = ["frontend","control"]
ip = %q
zone = %q
region = "region-1"
internal-ports = [7720,7735]
seeds = [%s]
bootstrap = false
in-tolerance = false
discovery = "platform"
entry = "announce"
heartbeat-ms = 1200
contracts = ["base","drain","config","cost","recover","flows","places","platform"]
hash = %q
topology = "echo"
[zones]
%s
[listen]
data-addr = "%s:%d"
ready-addr = "%s:%d"
control = "%s:%d"
[limits]
cpu-share = 0.4
cores = 1
memory-mb = 284
max-fds = 4100
link-mbps = 1000.0
disk-mb = 0
[fault-tolerance]
machines = 1
zones = 1
regions = 0
[bounds]
seed-lag-s = 3
reuse-after-s = 2
stability-window-ms = 4000
ack-ms = 5000
sync-s = 4
drain-ms = 3000
grace-s = 6
lost-ms = 200
config-apply-ms = 3000
rollback-slack-ms = 250
outer-ms = 12000
cold-over = 1.5
cold-slack = 5
evac-ms = 5000
recovery-s = 12
flow-timeout-ms = 2000
max-flow-s = 60
[platform]
address = %q
topology = "objects"
writes-per-s = 400
reads-per-s = 2000
history-s = 20
value-bytes = 1048576
ttl-min-ms = 1000
`, m.name, m.ip, zoneNames[m.zone], strings.Join(seeds, ","), hash, strings.Join(zones, "\n"), m.ip, dataPort, m.ip, readyPort, m.ip, controlPort,
			w.addr(groupStore, 1, storePort))
		must(os.WriteFile(m.settings, []byte(text), 0o600))
	}
}

// start starts the process with the command of the deploy file, and again after each exit.
func (m *machine) start() {
	logFile, err := os.OpenFile(strings.TrimSuffix(m.settings, ".toml")+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must(err)
	cmd := exec.Command("target/hawthorncourse", "relay", "-metrics", "9464")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "HAWTHORNCOURSE_BOOT=" + m.settings}
	cmd.Stdout, cmd.Stderr = logFile, logFile
	must(cmd.Start())
	exited := make(chan struct{})
	m.mu.Lock()
	m.cmd, m.exited = cmd, exited
	m.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		_ = logFile.Close()
		close(exited)
		m.w.note("process of %s has ended: %v", m.name, cmd.ProcessState)
		time.Sleep(restartDelay)
		m.mu.Lock()
		off := m.keepOff
		m.mu.Unlock()
		if !off {
			m.start()
		}
	}()
}

// signal sends a signal to the process.
func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	_ = m.cmd.Process.Signal(s)
}

// term stops the process as the platform does; it starts again.
func (m *machine) term() {
	m.w.note("SIGTERM to %s", m.name)
	m.mu.Lock()
	cmd, exited := m.cmd, m.exited
	m.mu.Unlock()
	_ = cmd.Process.Signal(syscall.SIGTERM)
	go func() {
		select {
		case <-exited:
		case <-time.After(graceTime):
			_ = cmd.Process.Signal(syscall.SIGKILL)
		}
	}()
}

// kill ends the process for good.
func (m *machine) kill() {
	m.mu.Lock()
	m.keepOff = true
	cmd, exited := m.cmd, m.exited
	m.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Signal(syscall.SIGCONT)
	_ = cmd.Process.Signal(syscall.SIGKILL)
	<-exited
}

// checkReady checks the readiness of a machine twice a second; after two misses it is out of rotation until it answers 200 again.
func (m *machine) checkReady() {
	client := &http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	misses := 0
	for range time.Tick(500 * time.Millisecond) {
		res, err := client.Get("http://" + netip.AddrPortFrom(m.ip, readyPort).String() + "/api/ready")
		if err == nil {
			_ = res.Body.Close()
		}
		if err == nil && res.StatusCode == http.StatusOK {
			misses = 0
			if !m.inRotation.Swap(true) {
				m.w.note("%s is in rotation", m.name)
			}
		} else if misses++; misses >= 2 && m.inRotation.Swap(false) {
			m.w.note("%s is out of rotation", m.name)
		}
	}
}
