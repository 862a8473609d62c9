package main

import (
	"fmt"
	"strings"
	"time"
)

const (
	// rewrites is the number of times that another writer overwrites the registrations of claimService, and rewriteInterval the time between them.
	rewrites        = 3
	rewriteInterval = 6 * time.Second
)

// runMissingFields overwrites the registrations of the upstreams of one service by ones that name the other service and lack version, seq and born.
// Each upstream writes its own again at its next heartbeat.
func runMissingFields(s *scenario) ([]string, error) {
	if err := s.start(); err != nil {
		return nil, err
	}
	sleep(s.ctx, settleTime)
	orders, claims := s.startOpening(orderRoute.Address), s.startOpening(claimRoute.Address)
	sleep(s.ctx, settleTime)
	for range rewrites {
		if s.trouble {
			s.overwriteClaims()
		}
		sleep(s.ctx, rewriteInterval)
	}
	orders.finish()
	claims.finish()
	return s.checkRoutes(), nil
}

// overwriteClaims overwrites the registration of each upstream of claimService once.
func (s *scenario) overwriteClaims() {
	for _, u := range s.upstreams {
		if u.Service() != claimService {
			continue
		}
		spec := registration(u)
		spec["service"] = orderService
		delete(spec, "version")
		delete(spec, "seq")
		s.put("servers", u.Name(), spec)
		s.rec.Printf("another writer replaced servers/%s by an entry with service %s and without version, seq and born", u.Name(), orderService)
	}
}

// checkRoutes checks ROUTE: no request runs at an upstream of a service that its route does not name.
func (s *scenario) checkRoutes() (violations []string) {
	addresses := map[string]string{orderService: orderRoute.Address.String(), claimService: claimRoute.Address.String()}
	for _, u := range s.upstreams {
		for id, times := range u.Executions() {
			if !strings.HasSuffix(id, " for "+addresses[u.Service()]) {
				violations = append(violations, fmt.Sprintf("ROUTE: %s ran at %s of service %s, times: %d", id, u.Name(), u.Service(), times))
			}
		}
	}
	return violations
}
