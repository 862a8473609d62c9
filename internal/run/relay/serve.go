package relay

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"
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
	return serve(ctx, r.metrics, mux)
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
