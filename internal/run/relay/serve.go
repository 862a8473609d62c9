package relay

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"time"

	"hawthorncourse/internal/core/model"
	"hawthorncourse/internal/oper/status"
)

const headerTimeout = 5 * time.Second

// serveReady serves the readiness check: status 200 while the instance is serving and not isolated, 503 otherwise.
func (r *Relay) serveReady(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+r.cfg.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if !r.serving.Load() || r.isolated.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return serve(ctx, r.ready, mux)
}

// serveMetrics serves the metrics in Prometheus text format, and the status as JSON.
func (r *Relay) serveMetrics(ctx context.Context) error {
	if r.metrics == nil {
		return nil
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		r.counts.WriteText(w)
	})
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, req *http.Request) { r.getStatus(ctx, w, req) })
	return serve(ctx, r.metrics, mux)
}

// getStatus reports the snapshot and the engine's view of the upstreams as JSON.
func (r *Relay) getStatus(ctx context.Context, w http.ResponseWriter, req *http.Request) {
	reply := make(chan status.RelayReport, 1)
	r.submit(ctx, func(now model.Instant) {
		reply <- status.RelayReport{Flows: r.engine.FlowCount(), Upstreams: r.engine.View(now)}
	})
	select {
	case report := <-reply:
		report.Instance, report.Domain, report.Ready = r.cfg.Instance, r.cfg.Domain, r.serving.Load() && !r.isolated.Load()
		report.Snapshot, report.Ordinal, report.Age = r.currentSnapshot(), *r.ordinal.Load(), r.snapshotAge(r.now())
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(status.RelayToWire(report))
	case <-req.Context().Done():
	}
}

// serve serves HTTP on l until ctx is cancelled.
func serve(ctx context.Context, l net.Listener, h http.Handler) error {
	srv := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}
	stop := context.AfterFunc(ctx, func() { _ = srv.Close() })
	defer stop()
	if err := srv.Serve(l); !errors.Is(err, http.ErrServerClosed) && ctx.Err() == nil {
		return err
	}
	return nil
}
