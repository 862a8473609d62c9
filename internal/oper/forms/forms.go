// Package forms serves the operators' console: plain forms whose output is the one document.
package forms

import (
	"context"
	"crypto/subtle"
	_ "embed"
	"errors"
	"html/template"
	"net/http"
	"time"

	"hawthorncourse/internal/base/logs"
	"hawthorncourse/internal/core/model"
	"hawthorncourse/internal/oper/change"
	"hawthorncourse/internal/oper/status"
)

const (
	requestTimeout = 15 * time.Second
	maxFormBytes   = 1 << 20
)

//go:embed pages.html
var pagesText string

var pages = template.Must(template.New("pages").Parse(pagesText))

// Config is what a Console is built from.
type Config struct {
	Platform change.Platform
	// Admin holds the admin addresses of instances, which are asked what they have in force.
	Admin []string
	// Token is the operators' password; their name is free.
	Token string
	Log   logs.Logger
}

// Console serves the forms.
type Console struct {
	cfg Config
}

// New returns a console.
func New(cfg Config) *Console {
	return &Console{cfg: cfg}
}

// Handler serves the console to operators who know the token.
func (c *Console) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /{$}", c.overview)
	mux.HandleFunc("GET /edit", c.edit)
	mux.HandleFunc("POST /review", c.review)
	mux.HandleFunc("POST /send", c.send)
	mux.HandleFunc("GET /document", c.document)
	return http.NewCrossOriginProtection().Handler(c.authenticate(mux))
}

// authenticate asks for the operators' token.
func (c *Console) authenticate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		name, token, ok := r.BasicAuth()
		if !ok || name == "" || subtle.ConstantTimeCompare([]byte(token), []byte(c.cfg.Token)) != 1 {
			w.Header().Set("WWW-Authenticate", `Basic realm="hawthorncourse"`)
			http.Error(w, "Give your name and the operators' token.", http.StatusUnauthorized)
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, maxFormBytes)
		next.ServeHTTP(w, r)
	})
}

// overviewPage shows what is in force.
type overviewPage struct {
	Draft change.StoredDocument
	Empty bool
	Error string
	Force rolloutStatus
}

// rolloutStatus tells how many instances have the newest version.
type rolloutStatus struct {
	Version         model.Version
	Have, Asked     int
	Silent          []string
	streams         map[model.UpstreamID]int
	Streams         int
	OldestInstance  string
	OldestOfVersion uint64
}

func (c *Console) overview(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
	defer cancel()
	d, err := change.Read(ctx, c.cfg.Platform)
	page := overviewPage{Draft: d}
	switch {
	case errors.Is(err, change.ErrNoDocument):
		page.Empty = true
	case err != nil:
		page.Error = err.Error()
	default:
		page.Force = c.fetchRollout(ctx, d.Version)
	}
	c.render(w, "overview", page)
}

// fetchRollout asks every instance what it has in force.
func (c *Console) fetchRollout(ctx context.Context, v model.Version) rolloutStatus {
	s := rolloutStatus{Version: v, Asked: len(c.cfg.Admin), streams: map[model.UpstreamID]int{}}
	for _, addr := range c.cfg.Admin {
		w, err := status.Fetch(ctx, addr)
		if err != nil {
			s.Silent = append(s.Silent, addr)
			continue
		}
		if w.Document >= uint64(v) {
			s.Have++
		} else if s.OldestInstance == "" || w.Document < s.OldestOfVersion {
			s.OldestInstance, s.OldestOfVersion = w.Instance, w.Document
		}
		for _, u := range w.Upstreams {
			s.streams[model.UpstreamID(u.ID)] += u.Streams
			s.Streams += u.Streams
		}
	}
	return s
}

func (c *Console) document(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
	defer cancel()
	d, err := change.Read(ctx, c.cfg.Platform)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	_, _ = w.Write(d.Text)
}

func (c *Console) render(w http.ResponseWriter, name string, page any) {
	w.Header().Set("Content-Type", "text/html; charset=utf-8")
	w.Header().Set("Content-Security-Policy", "default-src 'none'; style-src 'unsafe-inline'; form-action 'self'")
	if err := pages.ExecuteTemplate(w, name, page); err != nil {
		c.cfg.Log.With("error", err).Error("A page cannot be shown.")
	}
}
