// Package demo runs a fleet under load through the operations and faults of a typical day, within about a minute, and verifies the results.
package demo

import (
	"context"
	"fmt"
	"io"
	"time"

	"hawthorncourse/internal/bench/drive"
	"hawthorncourse/internal/bench/fleet"
	"hawthorncourse/internal/bench/report"
	"hawthorncourse/internal/core/model"
	"hawthorncourse/internal/oper/change"
	"hawthorncourse/internal/stand/upnode"
)

const (
	thinkTime       = 15 * time.Millisecond
	refreshInterval = 2 * time.Second
	startTimeout    = 60 * time.Second
	// settleTime is the pause between stopping the load and verifying the results, in which upstreams finish their requests.
	settleTime = 1500 * time.Millisecond
	// effectTime is the time for which the effects of an event are measured; it is doubled for most events.
	effectTime = 5 * time.Second

	// coldSlots and coldConnections are the cold-start limits that package fleet sets for its upstreams.
	coldSlots       = 1
	coldConnections = 50
)

// Config holds the parameters of a demo.
type Config struct {
	Setup fleet.Setup
	// Binary is the path of the program that the entry processes run.
	Binary string
	// Dir is the folder for the settings and logs of the instances.
	Dir string
	// Streams, Bookers and Readers are the numbers of callers of each service; see drive.Config.
	Streams, Bookers, Readers int
	Seed                      uint64
	// Out receives a line of results after each event.
	Out io.Writer
}

// event is an operation or a fault, with the time for which its effects are measured.
type event struct {
	name string
	// planned events must not interrupt streams.
	planned bool
	// domain is the failure domain whose streams are exempt, because this or an earlier event has taken it out; empty for none.
	domain model.DomainID
	apply  func(ctx context.Context) error
	wait   time.Duration
}

// demo is the state of a run.
type demo struct {
	cfg   Config
	fleet *fleet.Fleet
	load  *drive.Load
	run   report.Run
	// drainedUpstream and domainOut are the upstream and the failure domain that operators have taken out; empty for none.
	drainedUpstream string
	domainOut       model.DomainID
}

// Run starts a fleet with load, applies the events in sequence and returns the measurements and violations.
func Run(ctx context.Context, cfg Config) (run report.Run, err error) {
	f, err := fleet.Start(ctx, fleet.Config{Setup: cfg.Setup, Binary: cfg.Binary, Dir: cfg.Dir, Seed: cfg.Seed})
	if err != nil {
		return run, err
	}
	defer f.Close()
	d := &demo{cfg: cfg, fleet: f, run: report.Run{Setup: cfg.Setup.Name, Seed: cfg.Seed}}
	if err := d.start(ctx); err != nil {
		return run, err
	}
	defer d.load.Stop()
	for _, ev := range d.events() {
		if err := d.runEvent(ctx, ev); err != nil {
			return run, err
		}
	}
	d.verify(ctx)
	return d.run, nil
}

// start waits until the instances can use the upstreams, starts the load and waits until all streams have been opened.
func (d *demo) start(ctx context.Context) (err error) {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := d.fleet.AwaitVersion(ctx, 1); err != nil {
		return err
	}
	if err := d.fleet.AwaitUsableSlots(ctx, len(d.fleet.Upstreams)); err != nil {
		return err
	}
	d.load, err = drive.Start(drive.Config{
		Fleet:           d.fleet,
		Streams:         d.cfg.Streams,
		Bookers:         d.cfg.Bookers,
		Readers:         d.cfg.Readers,
		ThinkTime:       thinkTime,
		RefreshInterval: refreshInterval,
		Seed:            d.cfg.Seed,
	})
	if err != nil {
		return err
	}
	return d.load.AwaitStreams(ctx)
}

// events returns the events in order.
func (d *demo) events() []event {
	f, setup := d.fleet, d.cfg.Setup
	leaving := model.UpstreamID(string(setup.Services[0].ID) + "-3")
	domain := setup.Domains[1]
	return []event{
		{name: "warm up", planned: true, apply: noAction, wait: 2 * effectTime},
		{name: "steady", planned: true, apply: noAction, wait: 2 * effectTime},
		{name: "upstream leaves", planned: true, apply: d.documentEdit(func(c change.StoredDocument) ([]byte, error) {
			d.drainedUpstream = string(leaving)
			return change.SetUpstreamLeaving(c, leaving, true, "for maintenance")
		}), wait: effectTime},
		{name: "domain out", planned: true, domain: domain, apply: d.documentEdit(func(c change.StoredDocument) ([]byte, error) {
			d.domainOut = domain
			return change.SetDomainOut(c, domain, true, "for the season")
		}), wait: 2 * effectTime},
		{name: "domain back", planned: true, domain: domain, apply: d.documentEdit(func(c change.StoredDocument) ([]byte, error) {
			d.domainOut = ""
			return change.SetDomainOut(c, domain, false, "")
		}), wait: 2 * effectTime},
		{name: "instance stops", planned: true, domain: domain, apply: func(context.Context) error {
			f.Stop(f.Instances[0])
			return nil
		}, wait: 2 * effectTime},
		{name: "instance killed", apply: func(context.Context) error {
			f.Kill(f.Instances[1])
			return nil
		}, wait: 2 * effectTime},
	}
}

func noAction(context.Context) error { return nil }

// documentEdit returns an action that submits an edit of the document.
func (d *demo) documentEdit(edit func(change.StoredDocument) ([]byte, error)) func(context.Context) error {
	return func(ctx context.Context) error {
		_, err := d.fleet.Edit(ctx, edit)
		return err
	}
}

// runEvent applies an event, waits for its wait time and records the effects as a phase.
func (d *demo) runEvent(ctx context.Context, ev event) error {
	brokenBefore := len(d.load.BrokenStreams())
	busyBefore := drive.BusyTimes(d.fleet.Upstreams)
	started := time.Now()
	if err := ev.apply(ctx); err != nil {
		return fmt.Errorf("%s: %w", ev.name, err)
	}
	select {
	case <-time.After(ev.wait):
	case <-ctx.Done():
		return ctx.Err()
	}
	p := report.Phase{
		Name:        ev.name,
		Planned:     ev.planned,
		Seconds:     time.Since(started).Seconds(),
		BrokenFlows: len(d.load.BrokenStreams()) - brokenBefore,
		Imbalance:   drive.Imbalance(d.availableUpstreams(), busyBefore),
	}
	for outcome, n := range d.load.Bookings(started) {
		p.Bookings = append(p.Bookings, report.Count{Name: outcome.String(), Value: int64(n)})
	}
	p.SortBookings()
	d.run.Phases = append(d.run.Phases, p)
	fmt.Fprintf(d.cfg.Out, "%-10s %-16s broken %d, imbalance %.2f, bookings %v\n", d.cfg.Setup.Name, ev.name, p.BrokenFlows, p.Imbalance, p.Bookings)
	d.checkPhase(ev)
	return nil
}

// checkPhase records a violation for each stream that has been interrupted so far, unless the event is unplanned or exempts the stream's domain.
func (d *demo) checkPhase(ev event) {
	if !ev.planned {
		return
	}
	for _, s := range d.load.BrokenStreams() {
		domain := d.fleet.UpstreamDomains()[s.FirstUpstream]
		if ev.domain == "" || domain != ev.domain {
			d.run.Breaches = append(d.run.Breaches, fmt.Sprintf("%s: stream at %s was interrupted: %+v", ev.name, s.FirstUpstream, s.StreamReport))
		}
	}
}

// verify stops the load, checks the invariants and completes the report.
func (d *demo) verify(ctx context.Context) {
	d.load.Stop()
	time.Sleep(settleTime)
	for _, v := range d.load.Verify(drive.ColdLimits{ColdSlots: coldSlots, ColdConnections: coldConnections}) {
		d.run.Breaches = append(d.run.Breaches, v.String())
	}
	h := d.load.Latency()
	for _, q := range []float64{50, 90, 99, 99.9} {
		d.run.Latency = append(d.run.Latency, report.Quantile{Percent: q, Micros: h.ValueAtQuantile(q)})
	}
	d.run.Refused = report.Counts(d.load.Refused())
	d.run.Counters = d.counters(ctx)
}

// counters returns the sums of the counters of all reachable instances.
func (d *demo) counters(ctx context.Context) []report.Count {
	sums := map[string]int{}
	for _, in := range d.fleet.Instances {
		st, err := in.Status(ctx)
		if err != nil {
			continue
		}
		for _, c := range st.Counters {
			sums[c.Name] += int(c.Value)
		}
	}
	return report.Counts(sums)
}

// takenOut reports whether operators have taken out the upstream or its failure domain.
func (d *demo) takenOut(name string) bool {
	return name == d.drainedUpstream || (d.domainOut != "" && d.fleet.UpstreamDomains()[name] == d.domainOut)
}

// availableUpstreams returns the upstreams of the first service that have not been taken out.
func (d *demo) availableUpstreams() []*upnode.Node {
	var out []*upnode.Node
	for _, n := range d.fleet.Upstreams[:d.cfg.Setup.Services[0].Upstreams] {
		if !d.takenOut(n.Name()) {
			out = append(out, n)
		}
	}
	return out
}
