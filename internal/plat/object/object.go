// Package object speaks to the platform's object API.
package object

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"hawthorncourse/internal/core/model"
)

const (
	callTimeout = 3 * time.Second
	// WatchFor is how long one watch waits at the platform.
	WatchFor  = 25 * time.Second
	bodyLimit = 1 << 20
	idleCalls = 4
)

// The errors of calls.
var (
	// ErrConflict means that somebody else changed the object first.
	ErrConflict = eris.New("object has changed since it was read")
	// ErrNotFound means that there is no such object.
	ErrNotFound = eris.New("object does not exist")
	// ErrRejected means that the platform will never take the call as it is.
	ErrRejected = eris.New("platform rejects the call")
	// ErrUnchanged means that a watch ended without a change.
	ErrUnchanged = eris.New("object has not changed")
)

// Object is one object of the platform at one version.
type Object struct {
	Version model.Version
	Body    []byte
}

// Instance is one entry of the platform's lagging list of instances.
type Instance struct {
	ID      model.InstanceID
	Domain  model.DomainID
	Control netip.AddrPort
	Leaving bool
}

// Client calls the platform.
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a client of the platform at the URL that calls from the local address, if that is given.
func NewClient(base string, local netip.Addr) *Client {
	dialer := &net.Dialer{Timeout: callTimeout}
	if local.IsValid() && !local.IsUnspecified() {
		dialer.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(local, 0))
	}
	transport := &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: idleCalls}
	return &Client{base: strings.TrimSuffix(base, "/"), http: &http.Client{Transport: transport}}
}

// Get reads an object.
func (c *Client) Get(ctx context.Context, name string) (obj Object, err error) {
	defer annotate(&err, "read object %s", name)
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return c.read(ctx, "/objects/"+name)
}

// Watch waits for a version above the given one; it returns ErrUnchanged if none came.
func (c *Client) Watch(ctx context.Context, name string, above model.Version) (obj Object, err error) {
	defer annotate(&err, "watch object %s", name)
	ctx, cancel := context.WithTimeout(ctx, WatchFor+callTimeout)
	defer cancel()
	return c.read(ctx, fmt.Sprintf("/objects/%s?above=%d&wait=%s", name, above, WatchFor))
}

// Put writes an object if it is still at the version, zero for one that must not exist yet.
func (c *Client) Put(ctx context.Context, name string, at model.Version, body []byte) (v model.Version, err error) {
	defer annotate(&err, "write object %s", name)
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, c.base+"/objects/"+name, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	if at == 0 {
		req.Header.Set("If-None-Match", "*")
	} else {
		req.Header.Set("If-Match", etag(at))
	}
	res, err := c.http.Do(req)
	if err != nil {
		return 0, err
	}
	defer res.Body.Close()
	if err := status(res); err != nil {
		return 0, err
	}
	return version(res)
}

// Instances reads the platform's lagging list of instances.
func (c *Client) Instances(ctx context.Context) (list []Instance, err error) {
	defer annotate(&err, "list instances")
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	res, err := c.get(ctx, "/instances")
	if err != nil {
		return nil, err
	}
	defer res.Body.Close()
	var wire []wireInstance
	if err := json.NewDecoder(io.LimitReader(res.Body, bodyLimit)).Decode(&wire); err != nil {
		return nil, err
	}
	for _, w := range wire {
		in, err := w.instance()
		if err != nil {
			return nil, err
		}
		list = append(list, in)
	}
	return list, nil
}

// wireInstance is an instance as the platform writes it.
type wireInstance struct {
	ID      string `json:"id"`
	Domain  string `json:"domain"`
	Control string `json:"control"`
	Leaving bool   `json:"leaving"`
}

func (w wireInstance) instance() (Instance, error) {
	addr, err := netip.ParseAddrPort(w.Control)
	if err != nil {
		return Instance{}, err
	}
	return Instance{ID: model.InstanceID(w.ID), Domain: model.DomainID(w.Domain), Control: addr, Leaving: w.Leaving}, nil
}

func (c *Client) read(ctx context.Context, path string) (Object, error) {
	res, err := c.get(ctx, path)
	if err != nil {
		return Object{}, err
	}
	defer res.Body.Close()
	v, err := version(res)
	if err != nil {
		return Object{}, err
	}
	body, err := io.ReadAll(io.LimitReader(res.Body, bodyLimit))
	return Object{Version: v, Body: body}, err
}

func (c *Client) get(ctx context.Context, path string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+path, nil)
	if err != nil {
		return nil, err
	}
	res, err := c.http.Do(req)
	if err != nil {
		return nil, err
	}
	if err := status(res); err != nil {
		_ = res.Body.Close()
		return nil, err
	}
	return res, nil
}

func status(res *http.Response) error {
	switch res.StatusCode {
	case http.StatusOK, http.StatusCreated:
		return nil
	case http.StatusNotModified:
		return ErrUnchanged
	case http.StatusNotFound:
		return ErrNotFound
	case http.StatusPreconditionFailed:
		return ErrConflict
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge, http.StatusUnauthorized, http.StatusForbidden:
		return eris.Wrap(ErrRejected, res.Status)
	default:
		return eris.Errorf("platform answered %s", res.Status)
	}
}

func etag(v model.Version) string {
	return strconv.Quote(strconv.FormatUint(uint64(v), 10))
}

func version(res *http.Response) (model.Version, error) {
	text, err := strconv.Unquote(res.Header.Get("ETag"))
	if err != nil {
		return 0, eris.New("platform gave no version")
	}
	v, err := strconv.ParseUint(text, 10, 64)
	return model.Version(v), err
}

func annotate(err *error, format string, args ...any) {
	if *err != nil {
		*err = eris.Wrapf(*err, format, args...)
	}
}
