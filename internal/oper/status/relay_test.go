package status_test

import (
	"encoding/json"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"hawthorncourse/internal/core/model"
	"hawthorncourse/internal/oper/status"
)

// TestRelayRoutes checks that a report shows the values of the routes and services that the instance works by.
func TestRelayRoutes(t *testing.T) {
	is := is.New(t)
	address := netip.MustParseAddrPort("198.18.0.1:443")
	report := status.RelayReport{Snapshot: model.Snapshot{Routes: model.RouteTable{
		Routes: []model.Route{
			{Name: "boards", Address: address, Kind: model.RouteIdempotent, Priority: 2, Target: 400 * time.Millisecond, Timeout: 2500 * time.Millisecond},
			{Name: "edits", Address: address, Kind: model.RouteOnce, Target: 500 * time.Microsecond},
			{Name: "sheets", Address: address, Kind: model.RouteDownload, Priority: model.LowestPriority},
		},
		Services: []model.ServiceLimits{{ID: "desk", HealthPath: "/health"}, {ID: "claims"}},
	}}}
	w := status.RelayToWire(report)
	is.Equal(w.Routes, 3)
	text, err := json.Marshal(w.RouteList)
	is.NoErr(err)
	is.Equal(string(text), `[`+
		`{"name":"boards","address":"198.18.0.1:443","kind":"idempotent","priority":2,"targetLatencyMs":400,"timeoutMs":2500},`+
		`{"name":"edits","address":"198.18.0.1:443","kind":"at most once","priority":0,"targetLatencyMs":0.5,"timeoutMs":0},`+
		`{"name":"sheets","address":"198.18.0.1:443","kind":"download","priority":9,"targetLatencyMs":0,"timeoutMs":0}]`)
	text, err = json.Marshal(w.ServiceList)
	is.NoErr(err)
	is.Equal(string(text), `[{"id":"desk","healthPath":"/health"},{"id":"claims","healthPath":""}]`)
}
