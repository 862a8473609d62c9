// Package status defines the status reports of instances, their JSON encoding, and the calls that fetch them.
package status

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"hawthorncourse/internal/base/count"
	"hawthorncourse/internal/core/model"
)

const requestTimeout = 3 * time.Second

// Report is the state of one entry instance.
type Report struct {
	Instance model.InstanceID
	Domain   model.DomainID
	// Document and Keys are where the active document and binding keys were written.
	Document  model.Position
	Keys      model.Position
	Members   []model.Member
	Upstreams []model.UpstreamView
	Totals    []count.Total
}

// WireReport is the JSON form of a Report.
type WireReport struct {
	Instance string `json:"instance"`
	Domain   string `json:"domain"`
	Document uint64 `json:"documentVersion"`
	Keys     uint64 `json:"keysVersion"`
	// DocumentEra and KeysEra are the eras of the store that the versions are of; instances of builds that know no eras report none.
	DocumentEra uint64         `json:"documentEra"`
	KeysEra     uint64         `json:"keysEra"`
	Members     []WireMember   `json:"members"`
	Upstreams   []WireUpstream `json:"upstreams"`
	Counters    []WireCounter  `json:"counters"`
}

// WireMember is one instance as the reporting instance sees it.
type WireMember struct {
	ID     string `json:"id"`
	Domain string `json:"domain"`
	State  string `json:"state"`
}

// WireUpstream is one upstream as the reporting instance sees it, the JSON form of a model.UpstreamView.
type WireUpstream struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	Domain  string `json:"domain"`
	Owned   int    `json:"ownedSlots"`
	Limit   int    `json:"usableSlots"`
	Running int    `json:"runningRequests"`
	Streams int    `json:"streams"`
	Cold    bool   `json:"cold"`
	Unsure  bool   `json:"unsure"`
	Closed  bool   `json:"closed"`
}

// WireCounter is the value of one counter since the instance started.
type WireCounter struct {
	Name  string `json:"name"`
	Value int64  `json:"value"`
}

// ToWire returns the JSON form of a report.
func ToWire(r Report) WireReport {
	w := WireReport{Instance: string(r.Instance), Domain: string(r.Domain), Document: uint64(r.Document.Revision), Keys: uint64(r.Keys.Revision)}
	w.DocumentEra, w.KeysEra = uint64(r.Document.Era), uint64(r.Keys.Era)
	for _, m := range r.Members {
		w.Members = append(w.Members, WireMember{ID: string(m.ID), Domain: string(m.Domain), State: m.State.String()})
	}
	for _, u := range r.Upstreams {
		w.Upstreams = append(w.Upstreams, WireUpstream{
			ID:      string(u.ID),
			Service: string(u.Service),
			Domain:  string(u.Domain),
			Owned:   u.Owned,
			Limit:   u.Limit,
			Running: u.Running,
			Streams: u.Streams,
			Cold:    u.Cold,
			Unsure:  u.StartUnverified,
			Closed:  u.NoNewWork,
		})
	}
	for _, t := range r.Totals {
		w.Counters = append(w.Counters, WireCounter{Name: t.Name, Value: t.Value})
	}
	return w
}

// Counter returns the value of the named counter, or zero if the report does not include it.
func (w WireReport) Counter(name string) int64 {
	for _, c := range w.Counters {
		if c.Name == name {
			return c.Value
		}
	}
	return 0
}

// Fetch requests the report of the entry instance at an admin address.
func Fetch(ctx context.Context, address string) (WireReport, error) {
	return fetch[WireReport](ctx, address)
}

// FetchRelay requests the report of the relay instance at a metrics address.
func FetchRelay(ctx context.Context, address string) (WireRelayReport, error) {
	return fetch[WireRelayReport](ctx, address)
}

func fetch[T any](ctx context.Context, address string) (w T, err error) {
	defer func() {
		if err != nil {
			err = eris.Wrapf(err, "fetch status of instance at %s", address)
		}
	}()
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/status", nil)
	if err != nil {
		return w, err
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return w, err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return w, eris.Errorf("unexpected HTTP status %s", res.Status)
	}
	return w, json.NewDecoder(res.Body).Decode(&w)
}
