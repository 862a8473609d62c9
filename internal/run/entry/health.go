package entry

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"hawthorncourse/internal/core/engine"
	"hawthorncourse/internal/core/model"
)

const (
	healthTimeout     = time.Second
	healthConcurrency = 16
	maxHealthBytes    = 4 << 10
)

// wireHealth is the JSON body of an upstream's health endpoint.
type wireHealth struct {
	State       string `json:"state"`
	Connections int    `json:"connections"`
}

// pollHealth periodically polls the health endpoints of the upstreams whose primary is this instance.
func (e *Entry) pollHealth(ctx context.Context) error {
	client := &http.Client{Timeout: healthTimeout}
	for ctx.Err() == nil {
		targets := make(chan []model.Upstream, 1)
		e.submit(func(model.Instant) { targets <- e.engine.HealthCheckTargets() })
		select {
		case ups := <-targets:
			e.pollAll(ctx, client, ups)
		case <-ctx.Done():
		}
		sleep(ctx, e.cfg.HealthInterval)
	}
	return nil
}

// pollAll polls upstreams in parallel and returns when all of them have been polled.
func (e *Entry) pollAll(ctx context.Context, client *http.Client, ups []model.Upstream) {
	var g errgroup.Group
	g.SetLimit(healthConcurrency)
	for _, up := range ups {
		g.Go(func() error {
			h := fetchHealth(ctx, client, up)
			e.submit(func(now model.Instant) { e.engine.SetHealth(now, h) })
			return nil
		})
	}
	_ = g.Wait()
}

// fetchHealth returns an upstream's health report. The upstream counts as down if it does not return a valid one.
func fetchHealth(ctx context.Context, client *http.Client, up model.Upstream) engine.Health {
	h := engine.Health{Upstream: up.ID, Down: true}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+up.Health.String()+"/health", nil)
	if err != nil {
		return h
	}
	res, err := client.Do(req)
	if err != nil {
		return h
	}
	defer res.Body.Close()
	var wire wireHealth
	if json.NewDecoder(io.LimitReader(res.Body, maxHealthBytes)).Decode(&wire) != nil || res.StatusCode != http.StatusOK {
		return h
	}
	return engine.Health{
		Upstream:    up.ID,
		Draining:    wire.State == "draining",
		Cold:        wire.State == "cold",
		Connections: max(wire.Connections, 0),
	}
}
