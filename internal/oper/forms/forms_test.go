package forms_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"net/url"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"hawthorncourse/internal/base/logs"
	"hawthorncourse/internal/oper/change"
	"hawthorncourse/internal/oper/forms"
	"hawthorncourse/internal/plat/object"
	"hawthorncourse/platform/stand"
)

const token = "a-token-for-tests"

// desk is a console over a stand-in platform.
type desk struct {
	*is.I
	platform *object.Client
	url      string
}

func newDesk(t *testing.T) *desk {
	t.Helper()
	st := httptest.NewServer(stand.NewStore().Handler())
	t.Cleanup(st.Close)
	d := &desk{I: is.New(t), platform: object.NewClient(st.URL, netip.Addr{})}
	text, err := os.ReadFile("testdata/document.jsonc")
	d.NoErr(err)
	_, err = change.Submit(context.Background(), d.platform, change.Draft{}, text, "first")
	d.NoErr(err)
	srv := httptest.NewServer(forms.New(forms.Config{
		Platform: d.platform,
		Token:    token,
		Log:      logs.Named(logs.New(io.Discard, logrus.InfoLevel), "console"),
	}).Handler())
	t.Cleanup(srv.Close)
	d.url = srv.URL
	return d
}

// do makes a request as an operator and returns status and page.
func (d *desk) do(method, path string, form url.Values, password string) (int, string) {
	d.Helper()
	req, err := http.NewRequestWithContext(context.Background(), method, d.url+path, strings.NewReader(form.Encode()))
	d.NoErr(err)
	req.SetBasicAuth("wanjiru", password)
	req.Header.Set("Content-Type", "application/x-www-form-urlencoded")
	res, err := http.DefaultClient.Do(req)
	d.NoErr(err)
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	d.NoErr(err)
	return res.StatusCode, string(body)
}

func domainForm(out string) url.Values {
	return url.Values{"kind": {"domain"}, "id": {"musanze"}, "region": {"rw-north"}, "out": {out}, "note": {"seed week"}, "base": {"2"}}
}

func TestConsole(t *testing.T) {
	cases := map[string]func(*desk){
		"a wrong token is turned away": func(d *desk) {
			code, _ := d.do(http.MethodGet, "/", nil, "guess")
			d.Equal(code, http.StatusUnauthorized)
		},
		"the overview shows what is in force": func(d *desk) {
			code, page := d.do(http.MethodGet, "/", nil, token)
			d.Equal(code, http.StatusOK)
			d.True(strings.Contains(page, "Version 2 by first"))
			d.True(strings.Contains(page, "order-desk-1"))
		},
		"a form starts with what is in force": func(d *desk) {
			_, page := d.do(http.MethodGet, "/edit?kind=upstream&service=order-desk&id=order-desk-1", nil, token)
			d.True(strings.Contains(page, `name="slots" value="3"`))
		},
		"a review shows differences and effects": func(d *desk) {
			_, page := d.do(http.MethodPost, "/review", domainForm("on"), token)
			d.True(strings.Contains(page, "domain musanze"))
			d.True(strings.Contains(page, "Capacity of order-desk changes from 6 to 3 slots."))
		},
		"sending keeps comments": func(d *desk) {
			code, page := d.do(http.MethodPost, "/send", domainForm("on"), token)
			d.Equal(code, http.StatusOK)
			d.True(strings.Contains(page, "Version 3 is accepted"))
			after, err := change.Read(context.Background(), d.platform)
			d.NoErr(err)
			d.True(strings.Contains(string(after.Text), "// The valley sites"))
			d.True(after.Document.Domains[0].Out)
			d.Equal(after.Document.Author, "wanjiru")
		},
		"the second operator is told and keeps the input": func(d *desk) {
			_, _ = d.do(http.MethodPost, "/send", domainForm("on"), token)
			form := domainForm("")
			form.Set("note", "kept input")
			code, page := d.do(http.MethodPost, "/send", form, token)
			d.Equal(code, http.StatusConflict)
			d.True(strings.Contains(page, "wanjiru"))
			d.True(strings.Contains(page, "kept input"))
		},
		"a service without upstreams is asked about once more": func(d *desk) {
			form := url.Values{"kind": {"upstream"}, "service": {"field-claims"}, "id": {"field-claims-1"}, "remove": {"on"}, "base": {"2"}}
			code, page := d.do(http.MethodPost, "/send", form, token)
			d.Equal(code, http.StatusBadRequest)
			d.True(strings.Contains(page, "Tick the box"))
			form.Set("confirm", "on")
			code, _ = d.do(http.MethodPost, "/send", form, token)
			d.Equal(code, http.StatusOK)
		},
		"bad input is named": func(d *desk) {
			form := domainForm("on")
			form.Set("kind", "upstream")
			form.Set("service", "order-desk")
			form.Set("slots", "many")
			_, page := d.do(http.MethodPost, "/review", form, token)
			d.True(strings.Contains(page, "must be a whole number"))
		},
		"another site's form is refused": func(d *desk) {
			req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, d.url+"/send", strings.NewReader(domainForm("on").Encode()))
			d.NoErr(err)
			req.SetBasicAuth("wanjiru", token)
			req.Header.Set("Sec-Fetch-Site", "cross-site")
			res, err := http.DefaultClient.Do(req)
			d.NoErr(err)
			defer res.Body.Close()
			d.Equal(res.StatusCode, http.StatusForbidden)
		},
	}
	for name, check := range cases {
		t.Run(name, func(t *testing.T) { check(newDesk(t)) })
	}
}
