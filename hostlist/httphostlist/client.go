// Package httphostlist reads the host list over HTTP: GET BASE/hosts returns a
// JSON array of objects with the members node, address, data_centre and state.
// The ETag, if there is one, is used to fetch the list only when it has changed.
package httphostlist

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"hawthornrill.example/hawthornrill/hostlist"
)

const (
	// Path is added to the base URL.
	Path = "/hosts"
	// DefaultTimeout bounds a request.
	DefaultTimeout = 5 * time.Second
	// MaxBytes bounds the list.
	MaxBytes = 4 << 20
)

// Options configure a Client.
type Options struct {
	// BaseURL is the platform's address, "http://IP:port".
	BaseURL string
	// HTTP is the client to use; nil for one with DefaultTimeout.
	HTTP *http.Client
}

// Client implements hostlist.List.
type Client struct {
	url  string
	http *http.Client

	mu    sync.Mutex
	etag  string
	hosts []hostlist.Host
}

var _ hostlist.List = (*Client)(nil)

// New returns a client.
func New(options Options) *Client {
	if options.HTTP == nil {
		options.HTTP = &http.Client{Timeout: DefaultTimeout}
	}
	return &Client{url: options.BaseURL + Path, http: options.HTTP}
}

// List implements hostlist.List. The slice must not be changed.
func (c *Client) List(ctx context.Context) ([]hostlist.Host, error) {
	c.mu.Lock()
	etag, known := c.etag, c.hosts
	c.mu.Unlock()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url, nil)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", hostlist.ErrUnavailable, err)
	}
	if etag != "" {
		request.Header.Set("If-None-Match", etag)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", hostlist.ErrUnavailable, err)
	}
	defer response.Body.Close()
	switch response.StatusCode {
	case http.StatusNotModified:
		return known, nil
	case http.StatusOK:
		return c.read(response)
	default:
		return nil, fmt.Errorf("%w: status %d", hostlist.ErrUnavailable, response.StatusCode)
	}
}

// read decodes and remembers a list.
func (c *Client) read(response *http.Response) ([]hostlist.Host, error) {
	body, err := io.ReadAll(io.LimitReader(response.Body, MaxBytes+1))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", hostlist.ErrUnavailable, err)
	}
	hosts, err := parse(body)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", hostlist.ErrMalformed, err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.etag, c.hosts = response.Header.Get("ETag"), hosts
	return hosts, nil
}

// parse decodes and checks a list: one bad entry makes the whole list bad, since
// a host that is missing from it has a meaning.
func parse(body []byte) ([]hostlist.Host, error) {
	if len(body) > MaxBytes {
		return nil, fmt.Errorf("more than %d bytes", MaxBytes)
	}
	var hosts []hostlist.Host
	if err := json.Unmarshal(body, &hosts); err != nil {
		return nil, err
	}
	if hosts == nil {
		return nil, errors.New("not an array")
	}
	seen := make(map[string]bool, len(hosts))
	for i, host := range hosts {
		if err := check(host); err != nil {
			return nil, fmt.Errorf("host %d: %w", i, err)
		}
		name := "node " + string(host.Node) + ", endpoint " + string(host.Endpoint)
		if seen[name] {
			return nil, fmt.Errorf("host %d: %s is listed twice", i, name)
		}
		seen[name] = true
	}
	return hosts, nil
}

func check(host hostlist.Host) error {
	if (host.Node == "") == (host.Endpoint == "") || host.DataCentre == "" {
		return errors.New("data_centre and either node or endpoint are needed")
	}
	if _, err := netip.ParseAddrPort(host.Address); err != nil {
		return fmt.Errorf("address: %w", err)
	}
	if host.State != hostlist.StateLive && host.State != hostlist.StateLeaving {
		return fmt.Errorf("state %q", host.State)
	}
	return nil
}
