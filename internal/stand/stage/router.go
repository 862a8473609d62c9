package stage

import (
	"math/rand/v2"
	"net/http"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"

	"hawthorncourse/internal/core/model"
	"hawthorncourse/platform"
)

const (
	// readinessInterval is the time between two rounds of readiness checks, and the timeout of one check.
	readinessInterval = 500 * time.Millisecond
	// failureThreshold is the number of consecutive failed checks that takes an instance out of rotation.
	failureThreshold = 2
	// pollInterval is the time between two checks of the instances in AwaitReady.
	pollInterval = 10 * time.Millisecond
)

// checkReadiness runs the routers' readiness checks until the environment is closed.
func (e *Environment) checkReadiness() {
	client := &http.Client{Timeout: readinessInterval}
	failures := map[*Process]int{}
	for e.ctx.Err() == nil {
		started := time.Now()
		for _, p := range e.processList() {
			res, err := client.Get("http://" + p.readyAddress.String() + platform.ReadyPath)
			if err == nil {
				_ = res.Body.Close()
			}
			if err == nil && res.StatusCode == http.StatusOK {
				failures[p] = 0
				p.ready.Store(true)
			} else if failures[p]++; failures[p] >= failureThreshold {
				p.ready.Store(false)
			}
		}
		time.Sleep(time.Until(started.Add(readinessInterval)))
	}
}

func (e *Environment) processList() []*Process {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]*Process(nil), e.Processes...)
}

// router returns the routing function of a failure domain's routers. It hashes a flow onto the ready instances of that domain, or onto
// all ready instances if the domain has none. The result is invalid if the packet is dropped.
func (e *Environment) router(domain int) func(model.FlowKey) netip.AddrPort {
	return func(key model.FlowKey) netip.AddrPort {
		var local, all []netip.AddrPort
		for _, p := range e.processList() {
			if !p.ready.Load() {
				continue
			}
			all = append(all, p.Settings.Packets)
			if p.Settings.Domain == e.cfg.Domains[domain] {
				local = append(local, p.Settings.Packets)
			}
		}
		if len(local) == 0 {
			local = all
		}
		if len(local) == 0 || e.dropPacket() {
			return netip.AddrPort{}
		}
		return local[key.Hash()%uint64(len(local))]
	}
}

// SetPacketLoss makes the routers drop a share of the callers' packets, from 0 to 1.
func (e *Environment) SetPacketLoss(rate float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lossRate = rate
}

func (e *Environment) dropPacket() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.lossRate > 0 && rand.Float64() < e.lossRate
}

// AwaitReady waits until every running instance is ready. After the timeout it returns an error that names an instance that is not.
func (e *Environment) AwaitReady(timeout time.Duration) error {
	for deadline := time.Now().Add(timeout); ; time.Sleep(pollInterval) {
		notReady := ""
		for _, p := range e.processList() {
			if p.Running() && !p.ready.Load() {
				notReady = p.Settings.Name
			}
		}
		if notReady == "" {
			return nil
		}
		if time.Now().After(deadline) {
			return eris.Errorf("%s did not become ready within %s", notReady, timeout)
		}
	}
}
