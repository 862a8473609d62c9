package forms_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"net/url"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"hawthorncourse/internal/base/logs"
	"hawthorncourse/internal/oper/change"
	"hawthorncourse/internal/oper/forms"
	"hawthorncourse/internal/plat/object"
	"hawthorncourse/platform/stand"
)

const token = "a-token-for-tests"

// testConsole is a console with a fake platform.
type testConsole struct {
	*is.I
	store    *stand.Store
	platform *object.Client
	url      string
}

func newTestConsole(t *testing.T, admin ...string) *testConsole {
	t.Helper()
	store := stand.NewStore()
	storeServer := httptest.NewServer(store.Handler())
	t.Cleanup(storeServer.Close)
	c := &testConsole{I: is.New(t), store: store, platform: object.NewClient(storeServer.URL, netip.Addr{})}
	text, err := os.ReadFile("testdata/document.jsonc")
	c.NoErr(err)
	_, err = change.Submit(context.Background(), c.platform, change.StoredDocument{}, text, "first")
	c.NoErr(err)
	srv := httptest.NewServer(forms.New(forms.Config{
		Platform: c.platform,
		Admin:    admin,
		Token:    token,
		Log:      logs.Named(logs.New(io.Discard, logrus.InfoLevel), "console"),
	}).Handler())
	t.Cleanup(srv.Close)
	c.url = srv.URL
	return c
}

// do sends a request as an operator and returns the status code and the page.
func (c *testConsole) do(method, path string, form url.Values, password string) (int, string) {
	c.Helper()
	req, err := http.NewRequestWithContext(context.Background(), method, c.url+path, strings.NewReader(form.Encode()))
	c.NoErr(err)
	req.SetBasicAuth("wanjiru", password)
	req.Header.Set("Content-Type", "application/x-www-form-urlencoded")
	res, err := http.DefaultClient.Do(req)
	c.NoErr(err)
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	c.NoErr(err)
	return res.StatusCode, string(body)
}

// submit submits the active document again, with a new note.
func (c *testConsole) submit(note string) {
	c.Helper()
	d, err := change.Read(context.Background(), c.platform)
	c.NoErr(err)
	text, err := change.SetUpstreamLeaving(d, "order-desk-2", true, note)
	c.NoErr(err)
	_, err = change.Submit(context.Background(), c.platform, d, text, note)
	c.NoErr(err)
}

// hiddenValue returns the value of a hidden input of a page, or an empty string if the page has none of that name.
func hiddenValue(page, name string) string {
	_, rest, _ := strings.Cut(page, `<input type="hidden" name="`+name+`" value="`)
	value, _, _ := strings.Cut(rest, `"`)
	return value
}

func domainForm(out string) url.Values {
	return url.Values{"kind": {"domain"}, "id": {"musanze"}, "region": {"rw-north"}, "out": {out}, "note": {"seed week"}, "base": {"2"}}
}

func TestConsole(t *testing.T) {
	cases := map[string]func(*testConsole){
		"wrong token is rejected": func(c *testConsole) {
			code, _ := c.do(http.MethodGet, "/", nil, "guess")
			c.Equal(code, http.StatusUnauthorized)
		},
		"overview shows the active document": func(c *testConsole) {
			code, page := c.do(http.MethodGet, "/", nil, token)
			c.Equal(code, http.StatusOK)
			c.True(strings.Contains(page, "Version 2 by first"))
			c.True(strings.Contains(page, "order-desk-1"))
		},
		"form is filled from the active document": func(c *testConsole) {
			_, page := c.do(http.MethodGet, "/edit?kind=upstream&service=order-desk&id=order-desk-1", nil, token)
			c.True(strings.Contains(page, `name="slots" value="3"`))
		},
		"review shows differences and effects": func(c *testConsole) {
			_, page := c.do(http.MethodPost, "/review", domainForm("on"), token)
			c.True(strings.Contains(page, "domain musanze"))
			c.True(strings.Contains(page, "Capacity of order-desk changes from 6 to 3 slots."))
		},
		"send keeps comments": func(c *testConsole) {
			code, page := c.do(http.MethodPost, "/send", domainForm("on"), token)
			c.Equal(code, http.StatusOK)
			c.True(strings.Contains(page, "Version 3 is accepted"))
			after, err := change.Read(context.Background(), c.platform)
			c.NoErr(err)
			c.True(strings.Contains(string(after.Text), "// The valley sites"))
			c.True(after.Document.Domains[0].Out)
			c.Equal(after.Document.Author, "wanjiru")
		},
		"conflict is shown and input is kept": func(c *testConsole) {
			_, _ = c.do(http.MethodPost, "/send", domainForm("on"), token)
			form := domainForm("")
			form.Set("note", "kept input")
			code, page := c.do(http.MethodPost, "/send", form, token)
			c.Equal(code, http.StatusConflict)
			c.True(strings.Contains(page, "wanjiru"))
			c.True(strings.Contains(page, "kept input"))
		},
		"a change reviewed before a restore of the store is a conflict": func(c *testConsole) {
			backup := c.store.Backup()
			c.submit("lost")
			_, page := c.do(http.MethodPost, "/review", domainForm("on"), token)
			form := domainForm("on")
			form.Set("confirm", "on")
			for _, name := range []string{"base", "baseEra"} {
				form.Set(name, hiddenValue(page, name))
			}
			c.store.Restore(backup)
			c.submit("third")
			code, page := c.do(http.MethodPost, "/send", form, token)
			c.Equal(code, http.StatusConflict)
			c.True(strings.Contains(page, "third"))
		},
		"service without upstreams needs confirmation": func(c *testConsole) {
			form := url.Values{"kind": {"upstream"}, "service": {"field-claims"}, "id": {"field-claims-1"}, "remove": {"on"}, "base": {"2"}}
			code, page := c.do(http.MethodPost, "/send", form, token)
			c.Equal(code, http.StatusBadRequest)
			c.True(strings.Contains(page, "Tick the box"))
			c.True(strings.Contains(page, `type="checkbox" id="confirm"`))
			form.Set("confirm", "on")
			code, _ = c.do(http.MethodPost, "/send", form, token)
			c.Equal(code, http.StatusOK)
		},
		"invalid input is reported": func(c *testConsole) {
			form := domainForm("on")
			form.Set("kind", "upstream")
			form.Set("service", "order-desk")
			form.Set("slots", "many")
			_, page := c.do(http.MethodPost, "/review", form, token)
			c.True(strings.Contains(page, "must be a whole number"))
		},
		"cross-origin form is rejected": func(c *testConsole) {
			req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, c.url+"/send", strings.NewReader(domainForm("on").Encode()))
			c.NoErr(err)
			req.SetBasicAuth("wanjiru", token)
			req.Header.Set("Sec-Fetch-Site", "cross-site")
			res, err := http.DefaultClient.Do(req)
			c.NoErr(err)
			defer res.Body.Close()
			c.Equal(res.StatusCode, http.StatusForbidden)
		},
	}
	for name, check := range cases {
		t.Run(name, func(t *testing.T) { check(newTestConsole(t)) })
	}
}

// TestSilentInstances checks that the timeouts of several instances that do not answer do not add up on the overview.
func TestSilentInstances(t *testing.T) {
	is := is.New(t)
	var silent []string
	for range 4 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		t.Cleanup(func() { _ = l.Close() })
		silent = append(silent, l.Addr().String())
	}
	c := newTestConsole(t, silent...)
	start := time.Now()
	code, page := c.do(http.MethodGet, "/", nil, token)
	is.Equal(code, http.StatusOK)
	is.Equal(strings.Count(page, "did not answer"), len(silent))
	is.True(time.Since(start) < 6*time.Second)
}

// TestRolloutAfterRestore checks which instances count as using the document after a restore of the store, which gave versions out again.
func TestRolloutAfterRestore(t *testing.T) {
	cases := map[string]struct {
		report string
		want   string
	}{
		"lost version, which is higher":    {report: `{"instance": "i-1", "documentVersion": 88, "documentEra": 1}`, want: "0 of 1 instances"},
		"lost version, of the same number": {report: `{"instance": "i-1", "documentVersion": 2, "documentEra": 1}`, want: "0 of 1 instances"},
		"version in the store":             {report: `{"instance": "i-1", "documentVersion": 2, "documentEra": 2}`, want: "1 of 1 instances"},
		"later version":                    {report: `{"instance": "i-1", "documentVersion": 3, "documentEra": 2}`, want: "1 of 1 instances"},
		"build that reports no era":        {report: `{"instance": "i-1", "documentVersion": 2}`, want: "1 of 1 instances"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			admin := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, tc.report) }))
			t.Cleanup(admin.Close)
			c := newTestConsole(t, admin.Listener.Addr().String())
			c.store.Restore(c.store.Backup())
			_, page := c.do(http.MethodGet, "/", nil, token)
			c.True(strings.Contains(page, tc.want))
		})
	}
}
