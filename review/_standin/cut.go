package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"hawthorncourse/internal/stand/stage"
	"hawthorncourse/platform/stand"
)

const (
	// cutTime is how long one instance is partitioned from the others and from the store, and outTime how long its failure domain is out of service
	// meanwhile. The upstreams restart restartLead before they return to service.
	cutTime     = 12 * time.Second
	outDelay    = time.Second
	outTime     = 8 * time.Second
	restartLead = time.Second
	cutRounds   = 1
)

// cutLinks blocks all connections between one instance and the others.
type cutLinks struct {
	// instance is the name of the instance that is cut off; empty if there is none.
	instance atomic.Pointer[string]
}

// Blocked implements tunnel.Links.
func (c *cutLinks) Blocked(from, to string) bool {
	name := c.instance.Load()
	return name != nil && (from == *name || to == *name)
}

// Delay implements tunnel.Links.
func (c *cutLinks) Delay(string, string) time.Duration {
	return 0
}

// runNodeCut takes a failure domain out of service and back, with upstreams that are cold by then, while one of its instances is cut off.
func runNodeCut(s *scenario) ([]string, error) {
	links := &cutLinks{}
	if err := s.startWith(func(cfg *stage.Config) { cfg.Links = links }); err != nil {
		return nil, err
	}
	s.writeColdConfig(2)
	sleep(s.ctx, settleTime)
	load := s.startOpening(orderRoute.Address)
	sleep(s.ctx, settleTime)
	for range cutRounds {
		if err := s.cutDuringEvacuation(links, domains[1]); err != nil {
			return nil, err
		}
	}
	load.finish()
	return s.checkColdLimit(load), nil
}

// follower returns an instance of a failure domain that is not its reader. The instance gets all that it knows of the store through its links.
func (s *scenario) follower(domain string) (*stage.Process, error) {
	var record struct {
		Spec struct {
			Holder string `json:"holder"`
		} `json:"spec"`
	}
	res, err := http.Get("http://" + s.env.Processes[0].Settings.Store.String() + "/api/objects/hawthornReaders/" + domain)
	if err != nil {
		return nil, err
	}
	defer res.Body.Close()
	if err = json.NewDecoder(res.Body).Decode(&record); err != nil {
		return nil, err
	}
	for _, p := range s.env.Processes {
		if p.Settings.Domain == domain && p.Settings.Name != record.Spec.Holder {
			return p, nil
		}
	}
	return nil, fmt.Errorf("no follower in %s", domain)
}

// cutDuringEvacuation plays one evacuation of a failure domain. Without trouble, no instance is cut off.
func (s *scenario) cutDuringEvacuation(links *cutLinks, domain string) error {
	p, err := s.follower(domain)
	if err != nil {
		return err
	}
	if s.trouble {
		links.instance.Store(&p.Settings.Name)
		p.StoreProxy.SetOutage(stand.OutageHang)
		s.rec.Printf("%s is cut off from the other instances and from the store", p.Settings.Name)
	}
	sleep(s.ctx, outDelay)
	s.env.Store.EvacuateDomain(domain)
	s.rec.Printf("%s is evacuated", domain)
	sleep(s.ctx, outTime-restartLead)
	for _, u := range s.upstreams {
		if u.Domain() != domain {
			continue
		}
		u.Close()
		if err := u.Start(); err != nil {
			return err
		}
	}
	s.rec.Printf("the upstreams of %s have restarted and are cold for %s", domain, coldFor)
	sleep(s.ctx, restartLead)
	s.env.Store.RestoreDomain(domain)
	s.rec.Printf("%s is taken back", domain)
	sleep(s.ctx, cutTime-outDelay-outTime)
	links.instance.Store(nil)
	p.StoreProxy.SetOutage(stand.OutageNone)
	s.rec.Printf("the cut has healed")
	sleep(s.ctx, settleTime)
	return nil
}
