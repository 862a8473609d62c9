package status

import (
	"time"

	"hawthorncourse/internal/core/model"
)

// RelayReport is the state of one instance on the users' platform.
type RelayReport struct {
	Instance model.InstanceID
	Domain   model.DomainID
	// Ready is set while the instance wants packets.
	Ready bool
	// Known is what the platform last told.
	Known model.Snapshot
	// Place is the number that the instance was last given.
	Place model.Ordinal
	// Age is how long ago the store confirmed it.
	Age time.Duration
	// Flows is the number of flows that are remembered.
	Flows     int
	Upstreams []model.DirectView
}

// RelayWire is a report as it is sent.
type RelayWire struct {
	Instance   string          `json:"instance"`
	Domain     string          `json:"domain"`
	Ready      bool            `json:"ready"`
	Revision   uint64          `json:"revision"`
	AgeMs      int64           `json:"ageMs"`
	Version    uint64          `json:"configurationVersion"`
	Routes     int             `json:"routes"`
	Number     int             `json:"number"`
	NumbersOf  int             `json:"numbersOf"`
	DomainsOut []string        `json:"domainsOut"`
	Unreadable []string        `json:"unreadableEntries"`
	Flows      int             `json:"flows"`
	Upstreams  []RelayUpstream `json:"upstreams"`
}

// RelayUpstream is one upstream as the instance sees it.
type RelayUpstream struct {
	ID        string `json:"id"`
	Service   string `json:"service"`
	Domain    string `json:"domain"`
	Address   string `json:"address"`
	State     string `json:"state"`
	Draining  bool   `json:"draining"`
	Cold      bool   `json:"cold"`
	Reachable bool   `json:"reachable"`
	Running   int    `json:"runningRequests"`
	Flows     int    `json:"openFlows"`
	AnswerMs  int64  `json:"answerMs"`
}

// RelayToWire returns the report as it is sent.
func RelayToWire(r RelayReport) RelayWire {
	w := RelayWire{
		Instance:   string(r.Instance),
		Domain:     string(r.Domain),
		Ready:      r.Ready,
		Revision:   uint64(r.Known.Revision),
		AgeMs:      r.Age.Milliseconds(),
		Version:    uint64(r.Known.Routes.Version),
		Routes:     len(r.Known.Routes.Routes),
		Number:     r.Place.Index,
		NumbersOf:  r.Place.Count,
		Unreadable: r.Known.Upstreams.Unreadable,
		Flows:      r.Flows,
	}
	for _, d := range r.Known.Out {
		w.DomainsOut = append(w.DomainsOut, string(d))
	}
	for _, u := range r.Upstreams {
		w.Upstreams = append(w.Upstreams, RelayUpstream{
			ID:        string(u.ID),
			Service:   string(u.Service),
			Domain:    string(u.Domain),
			Address:   u.Address.String(),
			State:     u.State,
			Draining:  u.Draining,
			Cold:      u.Cold,
			Reachable: u.Reachable,
			Running:   u.Running,
			Flows:     u.Flows,
			AnswerMs:  u.AnswerTime.Milliseconds(),
		})
	}
	return w
}
