// Package forms serves the operators' web console, whose forms edit the document.
package forms

import (
	"context"
	"crypto/subtle"
	_ "embed"
	"errors"
	"html/template"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"hawthorncourse/internal/base/logs"
	"hawthorncourse/internal/core/model"
	"hawthorncourse/internal/oper/change"
	"hawthorncourse/internal/oper/status"
)

const (
	requestTimeout = 15 * time.Second
	maxFormBytes   = 1 << 20
	// maxStatusCalls bounds the instances that are asked for their status concurrently.
	maxStatusCalls = 32
)

//go:embed pages.html
var pagesText string

// pages returns the parsed templates. They are parsed at the first use, as every process of the program would pay for it at its start.
var pages = sync.OnceValue(func() *template.Template {
	return template.Must(template.New("pages").Parse(pagesText))
})

// Config holds the settings and dependencies of a Console.
type Config struct {
	Platform change.Platform
	// Admin holds the admin addresses of the instances whose status the console shows.
	Admin []string
	// Token is the password that all operators share; any non-empty user name is accepted and becomes the author of changes.
	Token string
	Log   logs.Logger
}

// Console is the web console.
type Console struct {
	cfg Config
}

// New returns a Console with the given configuration.
func New(cfg Config) *Console {
	return &Console{cfg: cfg}
}

// Handler returns the handler of the console. It requires the token and rejects cross-origin form submissions.
func (c *Console) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /{$}", c.overview)
	mux.HandleFunc("GET /edit", c.edit)
	mux.HandleFunc("POST /review", c.review)
	mux.HandleFunc("POST /send", c.send)
	mux.HandleFunc("GET /document", c.document)
	return http.NewCrossOriginProtection().Handler(c.authenticate(mux))
}

// authenticate requires the operators' token by HTTP basic authentication and limits the size of request bodies.
func (c *Console) authenticate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		name, token, ok := r.BasicAuth()
		if !ok || name == "" || subtle.ConstantTimeCompare([]byte(token), []byte(c.cfg.Token)) != 1 {
			w.Header().Set("WWW-Authenticate", `Basic realm="hawthorncourse"`)
			http.Error(w, "Enter your name and the operators' token.", http.StatusUnauthorized)
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, maxFormBytes)
		next.ServeHTTP(w, r)
	})
}

// overviewPage is the data of the "overview" page, which shows the active document.
type overviewPage struct {
	Draft change.StoredDocument
	Empty bool
	Error string
	Force rolloutStatus
}

// rolloutStatus states how many instances use a document version or a later one.
type rolloutStatus struct {
	Version model.Version
	// Have is the number of instances at that version or at a later state, Asked that of all instances.
	Have, Asked int
	// Silent holds the admin addresses of instances that did not answer.
	Silent []string
	// streams is the number of open streams per upstream, Streams their sum.
	streams map[model.UpstreamID]int
	Streams int
	// OldestInstance is the instance furthest behind Version, and OldestOfVersion its active version; empty if none is behind.
	OldestInstance  string
	OldestOfVersion uint64
	oldest          model.Position
}

// overview serves the active document and its rollout status.
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
		page.Force = c.fetchRollout(ctx, d.At())
	}
	c.render(w, "overview", page)
}

// fetchRollout fetches the status of every instance and compares its document with the one written at the given state of the store. It asks several instances at a time, so that
// the timeouts of instances that do not answer do not add up.
func (c *Console) fetchRollout(ctx context.Context, at model.Position) rolloutStatus {
	s := rolloutStatus{Version: model.Version(at.Revision), Asked: len(c.cfg.Admin), streams: map[model.UpstreamID]int{}}
	reports, errs := make([]status.WireReport, len(c.cfg.Admin)), make([]error, len(c.cfg.Admin))
	var g errgroup.Group
	g.SetLimit(maxStatusCalls)
	for n, addr := range c.cfg.Admin {
		g.Go(func() error {
			reports[n], errs[n] = status.Fetch(ctx, addr)
			return nil
		})
	}
	_ = g.Wait() // The errors are in errs, one for each instance.
	for n, addr := range c.cfg.Admin {
		if errs[n] != nil {
			c.cfg.Log.With("address", addr).With("error", errs[n]).Info("Instance did not report its status.")
			s.Silent = append(s.Silent, addr)
			continue
		}
		w := reports[n]
		uses := documentAt(w, at.Era)
		if uses.Compare(at) >= 0 {
			s.Have++
		} else if s.OldestInstance == "" || uses.Compare(s.oldest) < 0 {
			s.OldestInstance, s.OldestOfVersion, s.oldest = w.Instance, w.Document, uses
		}
		for _, u := range w.Upstreams {
			s.streams[model.UpstreamID(u.ID)] += u.Streams
			s.Streams += u.Streams
		}
	}
	return s
}

// documentAt returns where the document of an instance was written. The version of an instance that reports no era is taken to be of the store's.
func documentAt(w status.WireReport, storeEra model.Era) model.Position {
	at := model.Position{Era: model.Era(w.DocumentEra), Revision: model.Revision(w.Document)}
	if at.Era == 0 {
		at.Era = storeEra
	}
	return at
}

// document serves the text of the active document.
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

// render writes the named template of pages.html with page as its data.
func (c *Console) render(w http.ResponseWriter, name string, page any) {
	w.Header().Set("Content-Type", "text/html; charset=utf-8")
	w.Header().Set("Content-Security-Policy", "default-src 'none'; style-src 'unsafe-inline'; form-action 'self'")
	if err := pages().ExecuteTemplate(w, name, page); err != nil {
		c.cfg.Log.With("error", err).Error("Page could not be rendered.")
	}
}
