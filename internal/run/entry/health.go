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
	healthTimeout  = time.Second
	healthParallel = 16
	healthLimit    = 4 << 10
)

// wireHealth is an upstream's report of its health and load.
type wireHealth struct {
	State       string `json:"state"`
	Connections int    `json:"connections"`
}

// pollHealth asks the upstreams whose slots are owned here for their health and load.
func (e *Entry) pollHealth(ctx context.Context) error {
	client := &http.Client{Timeout: healthTimeout}
	for ctx.Err() == nil {
		asked := make(chan []model.Upstream, 1)
		e.do(func(model.Instant) { asked <- e.engine.HealthCheckTargets() })
		select {
		case ups := <-asked:
			e.pollEach(ctx, client, ups)
		case <-ctx.Done():
		}
		sleep(ctx, e.cfg.HealthInterval)
	}
	return nil
}

func (e *Entry) pollEach(ctx context.Context, client *http.Client, ups []model.Upstream) {
	var g errgroup.Group
	g.SetLimit(healthParallel)
	for _, up := range ups {
		g.Go(func() error {
			h := askHealth(ctx, client, up)
			e.do(func(now model.Instant) { e.engine.SetHealth(now, h) })
			return nil
		})
	}
	_ = g.Wait()
}

// askHealth returns an upstream's report; one that cannot be had counts as down.
func askHealth(ctx context.Context, client *http.Client, up model.Upstream) engine.Health {
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
	if json.NewDecoder(io.LimitReader(res.Body, healthLimit)).Decode(&wire) != nil || res.StatusCode != http.StatusOK {
		return h
	}
	return engine.Health{
		Upstream:    up.ID,
		Draining:    wire.State == "draining",
		Cold:        wire.State == "cold",
		Connections: max(wire.Connections, 0),
	}
}
