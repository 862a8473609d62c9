package soak

import (
	"syscall"
	"time"

	"hawthorncourse/internal/stand/stage"
)

const (
	// startupTime is how long a process may take on a busy machine to install its signal handlers; until then, any signal terminates it.
	startupTime = 500 * time.Millisecond
	// simultaneousKills is how many instances one fault kills at the same time.
	simultaneousKills = 4
)

// restart starts a process that has exited.
func (inj *injector) restart(p *stage.Process) {
	if err := p.Start(); err != nil {
		inj.addViolation("%v", err)
	}
}

// kill kills one instance and restarts it after the short time of the draw.
func (inj *injector) kill(d draw) {
	inj.killOne(inj.processAt(d.process), d.short)
}

func (inj *injector) killOne(p *stage.Process, downtime time.Duration) {
	inj.processLocks[p].Lock()
	defer inj.processLocks[p].Unlock()
	defer inj.faultLog.begin(p.Settings.Name)()
	inj.logEvent("instance %s killed, restart after %s", p.Settings.Name, downtime)
	p.Kill()
	time.Sleep(downtime)
	inj.restart(p)
}

// killSeveral kills several instances at the same time, or all of one failure domain, and restarts them.
func (inj *injector) killSeveral(d draw) {
	done := make(chan struct{})
	n := 0
	for i, p := range inj.Processes {
		if (d.variant && p.Settings.Domain == d.domain) || (!d.variant && (i+d.process)%len(inj.Processes) < simultaneousKills) {
			n++
			go func() {
				inj.killOne(p, d.short)
				done <- struct{}{}
			}()
		}
	}
	for range n {
		<-done
	}
}

// stop shuts one instance down gracefully and restarts it. The process must exit in time with code zero, unless it was just starting or was paused
// meanwhile.
func (inj *injector) stop(d draw) {
	p := inj.processAt(d.process)
	inj.processLocks[p].Lock()
	defer inj.processLocks[p].Unlock()
	name, started, starting := p.Settings.Name, time.Now(), p.Uptime() < startupTime
	defer inj.faultLog.begin(name)()
	inj.logEvent("graceful shutdown of instance %s started", name)
	code, err := p.Stop(stopLimit)
	if paused := !inj.faultLog.undisturbed("pause "+name, started, time.Now()); !starting && !paused && (err != nil || code != 0) {
		inj.addViolation("graceful shutdown of %s: exit code %d, error %v", name, code, err)
	}
	if err != nil {
		p.Kill()
	}
	time.Sleep(d.short)
	inj.restart(p)
}

// pause suspends the process of one instance by SIGSTOP, so that it resumes with stale state.
func (inj *injector) pause(d draw) {
	p := inj.processAt(d.process)
	name := p.Settings.Name
	defer inj.faultLog.begin(name, "pause "+name)()
	inj.logEvent("instance %s paused for %s", name, d.long/2)
	p.Signal(syscall.SIGSTOP)
	time.Sleep(d.long / 2)
	p.Signal(syscall.SIGCONT)
}

// reload changes the seed instances in a settings file, and in one variant signals the process; otherwise the process must notice the change itself.
func (inj *injector) reload(d draw) {
	p := inj.processAt(d.process)
	inj.processLocks[p].Lock()
	defer inj.processLocks[p].Unlock()
	p.Settings.Seeds = append(p.Settings.Seeds[1:], inj.processAt(d.other).Settings.Control)
	if err := p.WriteSettings(); err != nil {
		inj.addViolation("%v", err)
	}
	if d.variant && p.Uptime() > startupTime {
		p.Signal(syscall.SIGHUP)
	}
}
