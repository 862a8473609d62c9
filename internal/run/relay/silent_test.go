package relay

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"hawthorncourse/internal/core/model"
	"hawthorncourse/platform"
)

// newTestCollector returns the state of collectLoads of a reader, whose requests the test finishes itself.
func newTestCollector(t *testing.T, snap model.Snapshot) *loadCollector {
	t.Helper()
	r := newTestRelay(t)
	r.cfg.Domain, r.snapshot, r.snapshotDigest = "east", snap, snap.Digest()
	r.reading.Store(true)
	return &loadCollector{Relay: r, client: newHealthClient(platform.ParseHealth), answers: make(chan loadAnswer, maxAsking)}
}

// listedUpstreams returns loadSnapshot with n upstreams that are not running.
func listedUpstreams(n int) model.Snapshot {
	snap := loadSnapshot()
	for i := range n {
		snap.Upstreams.Items = append(snap.Upstreams.Items, model.Registration{
			ID: model.UpstreamID(fmt.Sprint("i-", i)), Number: model.EndpointNumber(i + 1), Revision: 1, Service: "desk", Domain: "east", Boot: 5, Slots: 2,
			Address: netip.MustParseAddrPort("127.0.0.1:9"),
		})
	}
	return snap
}

// TestSilentUpstreamInterval guards against silent upstreams that hold all places for health requests: they are asked less often, also while their service is
// urgent, until they answer.
func TestSilentUpstreamInterval(t *testing.T) {
	full := model.HealthAnswer{Upstream: "i-0", Running: 2, Queued: 9, Slots: 2, Known: true}
	refused := connectError{http.ErrServerClosed}
	steps := []struct {
		name   string
		answer model.HealthAnswer
		err    error
		want   time.Duration
	}{
		{name: "answer of a full one", answer: full, want: urgentAskInterval},
		{name: "timeout", err: errTimeout{}, want: askInterval},
		{name: "second timeout", err: errTimeout{}, want: 2 * askInterval},
		{name: "no connection", err: refused, want: maxSilentInterval},
		{name: "still none", err: refused, want: maxSilentInterval},
		{name: "answer without a load", want: urgentAskInterval},
		{name: "no connection after an answer", err: refused, want: askInterval},
	}
	is := is.New(t)
	c := newTestCollector(t, listedUpstreams(1))
	c.plan(t.Context(), c.now())
	defer c.stop("test")
	target := c.targets["i-0"]
	is.True(target != nil)
	c.urgentUntil = map[model.ServiceID]model.Instant{"desk": c.now().Add(time.Hour)}
	for i, step := range steps {
		// Each request is sent in the future, so that the time that the test takes does not matter.
		sent := c.now().Add(time.Duration(i+1) * time.Minute)
		target.askedAt, target.asking = sent, true
		c.asking++
		c.finish(&loadAnswer{target: target, sentAt: sent, answer: step.answer, err: step.err})
		t.Logf("%s: %v", step.name, target.dueAt.Sub(sent))
		is.Equal(target.dueAt.Sub(sent), step.want)
		// A change of the interval of the service spreads the requests anew.
		spread(sent, []*loadTarget{target}, urgentAskInterval)
		is.Equal(target.dueAt.Sub(sent), step.want)
	}
}

// errTimeout is a net.Error like that of a timeout.
type errTimeout struct{}

func (errTimeout) Error() string   { return "timeout" }
func (errTimeout) Timeout() bool   { return true }
func (errTimeout) Temporary() bool { return true }

// TestIdleCheckIsCheap guards against an idle check that goes through all upstreams twice a second although the configuration does not ask for loads.
func TestIdleCheckIsCheap(t *testing.T) {
	is := is.New(t)
	snap := listedUpstreams(1000)
	snap.Routes.Services[0].HealthPath = ""
	c := newTestCollector(t, snap)
	c.plan(t.Context(), c.now())
	is.Equal(c.digest, snap.Digest())
	// A change that the digest does not show stays unseen, as the upstreams are not gone through.
	c.snapshot.Routes.Services[0].HealthPath = healthPath
	c.plan(t.Context(), c.now())
	is.Equal(len(c.targets), 0)
	c.snapshot.Routes.Revision++
	c.snapshotDigest = c.snapshot.Digest()
	c.plan(t.Context(), c.now())
	is.Equal(len(c.targets), 1000)
	// An instance that is the reader again starts from nothing.
	c.reading.Store(false)
	c.plan(t.Context(), c.now())
	is.Equal(len(c.targets), 0)
	c.reading.Store(true)
	c.plan(t.Context(), c.now())
	is.Equal(len(c.targets), 1000)
	c.stop("test")
}

// TestAnswerWithoutInstance guards against a load that is taken for that of the asked upstream although the answer does not say whose it is. A rejection
// never says so.
func TestAnswerWithoutInstance(t *testing.T) {
	cases := map[string]struct {
		status   int
		instance string
		want     askOutcome
	}{
		"200 of the upstream": {status: 200, instance: "i-1", want: askStated},
		"200 without an ID":   {status: 200, want: askMalformed},
		"200 of another one":  {status: 200, instance: "i-2", want: askOtherInstance},
		"503 without an ID":   {status: 503, want: askStated},
		"503 of the upstream": {status: 503, instance: "i-1", want: askStated},
		"503 of another one":  {status: 503, instance: "i-2", want: askOtherInstance},
		"404 without an ID":   {status: 404, want: askMalformed},
		"404 of the upstream": {status: 404, instance: "i-1", want: askMalformed},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set(platform.HeaderLoad, "2,14,2")
				if tc.instance != "" {
					w.Header().Set(platform.HeaderInstance, tc.instance)
				}
				if tc.status == http.StatusServiceUnavailable {
					w.Header().Set(platform.HeaderNotExecuted, "1")
				}
				w.WriteHeader(tc.status)
			}))
			defer srv.Close()
			c := newHealthClient(platform.ParseHealth)
			defer c.close()
			req, err := newHealthRequest(netip.MustParseAddrPort(srv.Listener.Addr().String()), healthPath)
			is.NoErr(err)
			answer, err := c.ask(t.Context(), req)
			is.NoErr(err)
			is.Equal(classifyAsk("i-1", answer, err), tc.want)
		})
	}
}
