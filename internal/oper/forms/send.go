package forms

import (
	"context"
	"errors"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"hawthorncourse/internal/core/model"
	"hawthorncourse/internal/oper/change"
)

const (
	rolloutPollInterval = 200 * time.Millisecond
	rolloutTimeout      = 5 * time.Second
)

// reviewPage is the data of the "review" page, which shows the consequences of a change before it is submitted.
type reviewPage struct {
	Form        url.Values
	Base        model.Version
	BaseEra     model.Era
	Differences []change.Difference
	Effects     []change.Effect
	// Grave is set if one of Effects needs an explicit confirmation.
	Grave bool
	// Unconfirmed is set if the change was submitted without that confirmation.
	Unconfirmed bool
	// Conflict describes a concurrent change by another operator; empty for none.
	Conflict string
	Error    string
	Edit     editPage
}

// sentPage is the data of the "sent" page, which shows the accepted version and its rollout.
type sentPage struct {
	Version model.Version
	Force   rolloutStatus
}

// review serves the review of a submitted form.
func (c *Console) review(w http.ResponseWriter, r *http.Request) {
	if err := r.ParseForm(); err != nil {
		http.Error(w, "The form could not be parsed.", http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
	defer cancel()
	c.render(w, "review", c.buildReview(ctx, r.PostForm, ""))
}

// buildReview returns the review of the form's change to the active document.
func (c *Console) buildReview(ctx context.Context, form url.Values, conflict string) reviewPage {
	page := reviewPage{Form: changeFields(form), Conflict: conflict, Edit: refilledPage(form)}
	d, text, err := c.applyForm(ctx, form)
	if err != nil {
		page.Error = err.Error()
		return page
	}
	next, err := change.Check(d, text)
	if err != nil {
		page.Error = err.Error()
		return page
	}
	page.Base, page.BaseEra = d.Version, d.Era
	page.Differences = change.Diff(d.Document, next)
	page.Effects = change.Effects(d.Document, next, c.fetchRollout(ctx, d.At()).streams)
	for _, e := range page.Effects {
		page.Grave = page.Grave || e.Grave
	}
	return page
}

// applyForm returns the active document and its text with the form's change applied.
func (c *Console) applyForm(ctx context.Context, form url.Values) (change.StoredDocument, []byte, error) {
	d, err := change.Read(ctx, c.cfg.Platform)
	if err != nil {
		return d, nil, err
	}
	e, err := parseEdit(form)
	if err != nil {
		return d, nil, err
	}
	text, err := e.Apply(d)
	return d, text, err
}

// send submits a reviewed change and serves its outcome.
func (c *Console) send(w http.ResponseWriter, r *http.Request) {
	if err := r.ParseForm(); err != nil {
		http.Error(w, "The form could not be parsed.", http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
	defer cancel()
	author, _, _ := r.BasicAuth()
	at, err := c.submit(ctx, r.PostForm, author)
	var conflict *change.ConflictError
	switch {
	case errors.As(err, &conflict):
		w.WriteHeader(http.StatusConflict)
		c.render(w, "review", c.buildReview(ctx, r.PostForm, conflict.Error()))
	case err != nil && !errors.Is(err, errUnconfirmed):
		w.WriteHeader(http.StatusBadRequest)
		c.render(w, "review", reviewPage{Form: changeFields(r.PostForm), Error: err.Error(), Edit: refilledPage(r.PostForm)})
	case errors.Is(err, errUnconfirmed):
		page := c.buildReview(ctx, r.PostForm, "")
		page.Unconfirmed = page.Grave
		w.WriteHeader(http.StatusBadRequest)
		c.render(w, "review", page)
	default:
		c.cfg.Log.With("version", at.Revision).With("author", author).Info("Document was submitted.")
		c.render(w, "sent", sentPage{Version: model.Version(at.Revision), Force: c.awaitRollout(ctx, at)})
	}
}

// errUnconfirmed means that a change with grave effects was submitted without the confirmation.
var errUnconfirmed = eris.New("change with grave effects is not confirmed")

// submit writes the form's change if the document is still at the version that was reviewed. A change with grave effects must be confirmed.
func (c *Console) submit(ctx context.Context, form url.Values, author string) (at model.Position, err error) {
	d, text, err := c.applyForm(ctx, form)
	if err != nil {
		return at, err
	}
	if !isBase(d, form) {
		return at, &change.ConflictError{Current: d}
	}
	next, err := change.Check(d, text)
	if err != nil {
		return at, err
	}
	for _, e := range change.Effects(d.Document, next, nil) {
		if e.Grave && form.Get("confirm") == "" {
			return at, errUnconfirmed
		}
	}
	return change.Submit(ctx, c.cfg.Platform, d, text, author)
}

// isBase reports whether the document is the version that was reviewed. A form without an era was reviewed with a build that knows none.
func isBase(d change.StoredDocument, form url.Values) bool {
	era := strconv.FormatUint(uint64(d.Era), 10)
	return strconv.FormatUint(uint64(d.Version), 10) == form.Get("base") && (!form.Has("baseEra") || form.Get("baseEra") == era)
}

// awaitRollout waits up to rolloutTimeout until every instance that answers uses the document written at the given state of the store or a
// later one, and returns the last status. It
// returns early if ctx ends.
func (c *Console) awaitRollout(ctx context.Context, at model.Position) rolloutStatus {
	deadline := time.Now().Add(rolloutTimeout)
	for {
		s := c.fetchRollout(ctx, at)
		if s.Have+len(s.Silent) >= s.Asked || time.Now().After(deadline) {
			return s
		}
		select {
		case <-time.After(rolloutPollInterval):
		case <-ctx.Done():
			return s
		}
	}
}

// changeFields returns the fields of a form that describe its change, without "base", "baseEra" and "confirm".
func changeFields(form url.Values) url.Values {
	out := url.Values{}
	for name, values := range form {
		if name != "base" && name != "baseEra" && name != "confirm" {
			out[name] = values
		}
	}
	return out
}

// refilledPage returns the edit form filled with what the operator entered.
func refilledPage(form url.Values) editPage {
	kind := change.Kind(form.Get("kind"))
	return editPage{
		Kind:    kind,
		ID:      form.Get("id"),
		Service: model.ServiceID(form.Get("service")),
		Inputs:  fillInputs(kind, form.Get),
	}
}
