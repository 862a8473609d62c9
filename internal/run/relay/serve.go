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

// serveReady answers the readiness check.
func (r *Relay) serveReady(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+r.cfg.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if !r.serving.Load() || r.isolated.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return serve(ctx, r.ready, mux)
}

// serveMetrics serves every metric as text.
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

// getStatus reports what the instance knows and believes.
func (r *Relay) getStatus(ctx context.Context, w http.ResponseWriter, req *http.Request) {
	asked := make(chan status.RelayReport, 1)
	r.do(ctx, func(now model.Instant) {
		asked <- status.RelayReport{Flows: r.engine.FlowCount(), Upstreams: r.engine.View(now)}
	})
	select {
	case report := <-asked:
		report.Instance, report.Domain, report.Ready = r.cfg.Instance, r.cfg.Domain, r.serving.Load() && !r.isolated.Load()
		report.Known, report.Place, report.Age = r.knowledge(), *r.place.Load(), r.now().Sub(model.Instant(r.confirmed.Load()))
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(status.RelayToWire(report))
	case <-req.Context().Done():
	}
}

func serve(ctx context.Context, l net.Listener, h http.Handler) error {
	srv := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}
	stop := context.AfterFunc(ctx, func() { _ = srv.Close() })
	defer stop()
	if err := srv.Serve(l); !errors.Is(err, http.ErrServerClosed) && ctx.Err() == nil {
		return err
	}
	return nil
}
