package entry

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/pprof"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"hawthorncourse/internal/core/model"
	"hawthorncourse/internal/oper/status"
	"hawthorncourse/internal/peer/mesh"
)

const (
	adminTimeout  = 5 * time.Second
	maxLevelBytes = 32
)

// serveAdmin serves status, counters, the log level and profiles to operators.
func (e *Entry) serveAdmin(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /status", e.getStatus)
	mux.HandleFunc("PUT /loglevel", e.putLevel)
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("GET /debug/pprof/heap", pprof.Handler("heap").ServeHTTP)
	srv := &http.Server{Handler: mux, ReadHeaderTimeout: adminTimeout}
	stop := context.AfterFunc(ctx, func() { _ = srv.Close() })
	defer stop()
	if err := srv.Serve(e.admin); !errors.Is(err, http.ErrServerClosed) && ctx.Err() == nil {
		return err
	}
	return nil
}

// getStatus reports the state of the instance, its counters, and its view of peers and upstreams as JSON.
func (e *Entry) getStatus(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), adminTimeout)
	defer cancel()
	upstreams, err := e.upstreamViews(ctx)
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	report := status.Report{Instance: e.self.ID, Domain: e.self.Domain, Totals: e.counts.Totals(), Members: e.mesh.Members(), Upstreams: upstreams}
	report.Document, _ = e.Object(mesh.KindDocument)
	report.Keys, _ = e.Object(mesh.KindKeys)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(status.ToWire(report))
}

// errNotDeciding means that the decision loop has stopped or is stalled.
var errNotDeciding = eris.New("decision loop does not answer; the instance is stopping or stalled")

// upstreamViews asks the decision loop for its view of the upstreams; it fails with errNotDeciding if ctx ends first.
func (e *Entry) upstreamViews(ctx context.Context) ([]model.UpstreamView, error) {
	views := make(chan []model.UpstreamView, 1)
	if !e.commands.Offer(func(now model.Instant) { views <- e.engine.View(now) }) {
		return nil, errNotDeciding
	}
	select {
	case list := <-views:
		return list, nil
	case <-ctx.Done():
		return nil, errNotDeciding
	}
}

// putLevel sets the log level; it is not kept across a restart.
func (e *Entry) putLevel(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(io.LimitReader(r.Body, maxLevelBytes))
	level, err := logrus.ParseLevel(string(body))
	if err != nil {
		http.Error(w, "Body must be a level such as debug, info or warning.", http.StatusBadRequest)
		return
	}
	e.log.SetLevel(level)
}
