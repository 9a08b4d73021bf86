// Package httphostlist fetches the host list over HTTP: GET BASE/hosts returns a JSON
// array of objects with the members node or endpoint, address, data_centre and state.
// If the response has an ETag, the list is transferred again only when it has
// changed.
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
	"hawthornrill.example/hawthornrill/httpresponse"
)

const (
	// Path is appended to the base URL.
	Path = "/hosts"
	// DefaultTimeout limits a request.
	DefaultTimeout = 5 * time.Second
	// MaxBytes limits the size of the list.
	MaxBytes = 4 << 20
)

// Options configure a Client.
type Options struct {
	// BaseURL is the platform's URL, "http://IP:port".
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
		options.HTTP = httpresponse.NewClient()
		options.HTTP.Timeout = DefaultTimeout
	}
	return &Client{url: options.BaseURL + Path, http: options.HTTP}
}

// List implements hostlist.List. The returned slice must not be modified.
func (c *Client) List(ctx context.Context) ([]hostlist.Host, error) {
	c.mu.Lock()
	etag, cached := c.etag, c.hosts
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
		return cached, nil
	case http.StatusOK:
		return c.readList(response)
	default:
		return nil, fmt.Errorf("%w: status %d", hostlist.ErrUnavailable, response.StatusCode)
	}
}

// readList decodes the list and caches it with its ETag.
func (c *Client) readList(response *http.Response) ([]hostlist.Host, error) {
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

// parse decodes and validates a list. One invalid entry makes the whole list invalid:
// it can't be skipped, because a host's absence from the list is significant.
func parse(body []byte) ([]hostlist.Host, error) {
	if len(body) > MaxBytes {
		return nil, fmt.Errorf("list exceeds %d bytes", MaxBytes)
	}
	var hosts []hostlist.Host
	if err := json.Unmarshal(body, &hosts); err != nil {
		return nil, err
	}
	if hosts == nil {
		return nil, errors.New("list is not a JSON array")
	}
	seen := make(map[string]bool, len(hosts))
	for i, host := range hosts {
		if err := validate(host); err != nil {
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

func validate(host hostlist.Host) error {
	if (host.Node == "") == (host.Endpoint == "") || host.DataCentre == "" {
		return errors.New("data_centre and exactly one of node and endpoint are required")
	}
	if _, err := netip.ParseAddrPort(host.Address); err != nil {
		return fmt.Errorf("address: %w", err)
	}
	if host.State != hostlist.StateLive && host.State != hostlist.StateLeaving {
		return fmt.Errorf("unknown state %q", host.State)
	}
	return nil
}
