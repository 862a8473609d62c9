package status

import (
	"time"

	"hawthorncourse/internal/core/model"
)

// RelayReport is the state of one relay instance, which forwards flows by routing tag.
type RelayReport struct {
	Instance model.InstanceID
	Domain   model.DomainID
	// Ready is set while the instance accepts packets.
	Ready bool
	// Snapshot is the instance's current snapshot of the platform's store.
	Snapshot model.Snapshot
	// Ordinal is the position of the instance among those of its failure domain.
	Ordinal model.Ordinal
	// Age is the time since the store last confirmed Snapshot.
	Age time.Duration
	// Flows is the number of entries in the flow table.
	Flows     int
	Upstreams []model.DirectView
}

// WireRelayReport is the JSON form of a RelayReport.
type WireRelayReport struct {
	Instance     string              `json:"instance"`
	Domain       string              `json:"domain"`
	Ready        bool                `json:"ready"`
	Era          uint64              `json:"era"`
	Revision     uint64              `json:"revision"`
	AgeMs        int64               `json:"ageMs"`
	Version      uint64              `json:"configurationVersion"`
	Routes       int                 `json:"routes"`
	OrdinalIndex int                 `json:"number"`
	OrdinalCount int                 `json:"numbersOf"`
	DomainsOut   []string            `json:"domainsOut"`
	Unreadable   []string            `json:"unreadableEntries"`
	Flows        int                 `json:"flows"`
	Upstreams    []WireRelayUpstream `json:"upstreams"`
	// RouteList and ServiceList describe the active route configuration; instances of earlier builds report neither.
	RouteList   []WireRelayRoute   `json:"routeList"`
	ServiceList []WireRelayService `json:"serviceList"`
}

// WireRelayRoute is one route of the active configuration, the JSON form of a model.Route without its targets.
type WireRelayRoute struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	// Kind is the name of a model.RouteKind.
	Kind     string `json:"kind"`
	Priority int    `json:"priority"`
	// TargetMs and TimeoutMs are zero if the configuration does not state them.
	TargetMs  float64 `json:"targetLatencyMs"`
	TimeoutMs float64 `json:"timeoutMs"`
}

// WireRelayService is one service of the active configuration.
type WireRelayService struct {
	ID string `json:"id"`
	// HealthPath is empty if the configuration states none.
	HealthPath string `json:"healthPath"`
}

// WireRelayUpstream is one upstream as the reporting instance sees it, the JSON form of a model.DirectView.
type WireRelayUpstream struct {
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

// RelayToWire returns the JSON form of a relay report.
func RelayToWire(r RelayReport) WireRelayReport {
	w := WireRelayReport{
		Instance:     string(r.Instance),
		Domain:       string(r.Domain),
		Ready:        r.Ready,
		Era:          uint64(r.Snapshot.Era),
		Revision:     uint64(r.Snapshot.Revision),
		AgeMs:        r.Age.Milliseconds(),
		Version:      uint64(r.Snapshot.Routes.Version),
		Routes:       len(r.Snapshot.Routes.Routes),
		OrdinalIndex: r.Ordinal.Index,
		OrdinalCount: r.Ordinal.Count,
		Unreadable:   r.Snapshot.Upstreams.Unreadable,
		Flows:        r.Flows,
	}
	for _, d := range r.Snapshot.Out {
		w.DomainsOut = append(w.DomainsOut, string(d))
	}
	w.RouteList, w.ServiceList = routesToWire(r.Snapshot.Routes.Routes), servicesToWire(r.Snapshot.Routes.Services)
	for _, u := range r.Upstreams {
		w.Upstreams = append(w.Upstreams, WireRelayUpstream{
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

func routesToWire(list []model.Route) (out []WireRelayRoute) {
	for _, r := range list {
		out = append(out, WireRelayRoute{
			Name:      r.Name,
			Address:   r.Address.String(),
			Kind:      r.Kind.String(),
			Priority:  int(r.Priority),
			TargetMs:  milliseconds(r.Target),
			TimeoutMs: milliseconds(r.Timeout),
		})
	}
	return out
}

func servicesToWire(list []model.ServiceLimits) (out []WireRelayService) {
	for _, s := range list {
		out = append(out, WireRelayService{ID: string(s.ID), HealthPath: s.HealthPath})
	}
	return out
}

func milliseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}
