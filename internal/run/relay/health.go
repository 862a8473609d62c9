package relay

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"hawthorncourse/internal/core/model"
)

const (
	// healthConnectTimeout is the timeout of connecting to an upstream; one that runs accepts within a round trip.
	healthConnectTimeout = 200 * time.Millisecond
	// healthAnswerTimeout is the timeout of the answer, which may wait for a slot behind queued requests. A later one would be too old to be of use.
	healthAnswerTimeout = 500 * time.Millisecond
	// healthIdleTimeout closes connections before the upstreams do, after 12 s.
	healthIdleTimeout = 10 * time.Second
	// maxHealthConnections bounds the kept connections: as many as can be asked before their loads are too old, 3 s at maxAsksPerSecond.
	maxHealthConnections = 3 * maxAsksPerSecond
	// maxHealthHeader and maxHealthBody bound the answer in bytes. The headers take about 150 bytes, and the body is not used.
	maxHealthHeader, maxHealthBody = 4096, 4096
	// healthBuffer is the size in bytes of each of the two buffers of a connection; requests and answers are smaller.
	healthBuffer = 512
)

// errHealthPath means that the configured health path is not a path.
var errHealthPath = eris.New("health path does not start with a slash")

// connectError is the failure to connect to an upstream.
type connectError struct {
	error
}

// Unwrap returns the cause.
func (e connectError) Unwrap() error { return e.error }

// healthClient sends health requests. It is safe for concurrent use.
type healthClient struct {
	transport *http.Transport
	parse     func(status int, header http.Header) model.HealthAnswer
}

func newHealthClient(parse func(int, http.Header) model.HealthAnswer) *healthClient {
	dialer := net.Dialer{Timeout: healthConnectTimeout}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, connectError{err}
		}
		return conn, nil
	}
	return &healthClient{parse: parse, transport: &http.Transport{
		DialContext: dial, MaxIdleConnsPerHost: 1, MaxIdleConns: maxHealthConnections, IdleConnTimeout: healthIdleTimeout,
		ResponseHeaderTimeout: healthAnswerTimeout, DisableCompression: true, MaxResponseHeaderBytes: maxHealthHeader,
		ReadBufferSize: healthBuffer, WriteBufferSize: healthBuffer,
	}}
}

// newHealthRequest returns the health request to an address; ask may send it any number of times.
func newHealthRequest(addr netip.AddrPort, path string) (*http.Request, error) {
	if !strings.HasPrefix(path, "/") {
		return nil, errHealthPath
	}
	req, err := http.NewRequest(http.MethodGet, "http://"+addr.String()+path, nil)
	if err != nil {
		return nil, err
	}
	// An empty value omits the header, which upstreams do not need.
	req.Header.Set("User-Agent", "")
	return req, nil
}

// ask sends a health request and returns the answer. It follows no redirects.
func (c *healthClient) ask(ctx context.Context, req *http.Request) (answer model.HealthAnswer, err error) {
	ctx, cancel := context.WithTimeout(ctx, healthConnectTimeout+healthAnswerTimeout)
	defer cancel()
	resp, err := c.transport.RoundTrip(req.WithContext(ctx))
	if err != nil {
		return answer, err
	}
	defer resp.Body.Close()
	// A connection is kept only if the body was read to its end.
	if _, err = io.Copy(io.Discard, io.LimitReader(resp.Body, maxHealthBody)); err != nil {
		return answer, err
	}
	answer = c.parse(resp.StatusCode, resp.Header)
	if resp.StatusCode == http.StatusOK && answer.Upstream == "" {
		// Only a rejection omits the ID: without it, the load may be that of another upstream.
		return model.HealthAnswer{}, nil
	}
	return answer, nil
}

// close closes the idle connections.
func (c *healthClient) close() {
	c.transport.CloseIdleConnections()
}

// askOutcome is the outcome of a health request; its values occur in the names of counters.
type askOutcome string

// The outcomes of health requests.
const (
	// askStated means that the upstream stated its load.
	askStated askOutcome = ""
	// askConnect means that there was no connection, or that it was lost.
	askConnect askOutcome = "connect"
	// askTimeout means that there was no answer in time.
	askTimeout askOutcome = "timeout"
	// askMalformed means that the answer is no HTTP, or states no valid load, or has status 200 and does not state the upstream.
	askMalformed askOutcome = "malformed"
	// askOtherInstance means that another upstream has answered at the address.
	askOtherInstance askOutcome = "other_instance"
)

// classifyAsk returns the outcome of a health request to an upstream.
func classifyAsk(id model.UpstreamID, answer model.HealthAnswer, err error) askOutcome {
	var connect connectError
	var network net.Error
	var op *net.OpError
	switch {
	case errors.As(err, &connect):
		return askConnect
	case errors.As(err, &network) && network.Timeout():
		return askTimeout
	case errors.As(err, &op) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF):
		return askConnect
	case err != nil:
		return askMalformed
	case answer.Upstream != "" && answer.Upstream != id:
		return askOtherInstance
	case !answer.Known:
		return askMalformed
	default:
		return askStated
	}
}
