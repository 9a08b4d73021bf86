package httpstore

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"hawthornrill.example/hawthornrill/endpoint/onesend"
	"hawthornrill.example/hawthornrill/store"
)

// Options configure a Client. New fills in the defaults.
type Options struct {
	// BaseURL is the service's URL, "http://IP:port".
	BaseURL string
	// Transport is the connection pool to use; nil for a new one.
	Transport *onesend.Transport
	// Timeout limits a call whose context has a later deadline, or none. The default
	// is 5 s.
	Timeout time.Duration
	// WatchTimeout limits one long-poll request of a watch; it must be longer than the
	// service holds such a request. The default is 90 s.
	WatchTimeout time.Duration
}

const (
	defaultTimeout      = 5 * time.Second
	defaultWatchTimeout = 90 * time.Second
)

// Client implements store.Store over HTTP.
type Client struct {
	base         string
	transport    *onesend.Transport
	timeout      time.Duration
	watchTimeout time.Duration
}

var _ store.Store = (*Client)(nil)

// New returns a client.
func New(options Options) *Client {
	c := &Client{
		base:         strings.TrimSuffix(options.BaseURL, "/"),
		transport:    options.Transport,
		timeout:      options.Timeout,
		watchTimeout: options.WatchTimeout,
	}
	if c.transport == nil {
		c.transport = onesend.New(onesend.Options{})
	}
	if c.timeout == 0 {
		c.timeout = defaultTimeout
	}
	if c.watchTimeout == 0 {
		c.watchTimeout = defaultWatchTimeout
	}
	return c
}

// Get implements store.Store.
func (c *Client) Get(ctx context.Context, key string) (store.Entry, error) {
	var entry store.Entry
	_, err := c.do(ctx, c.timeout, call{
		method: http.MethodGet,
		path:   PathKey,
		query:  url.Values{ParameterKey: {key}},
		result: &entry,
	})
	return entry, err
}

// List implements store.Store.
func (c *Client) List(ctx context.Context, prefix string) ([]store.Entry, error) {
	var entries []store.Entry
	_, err := c.do(ctx, c.timeout, call{
		method: http.MethodGet,
		path:   PathKeys,
		query:  url.Values{ParameterPrefix: {prefix}},
		result: &entries,
	})
	return entries, err
}

// CompareAndSwap implements store.Store.
func (c *Client) CompareAndSwap(ctx context.Context, key string, expected store.Revision, value []byte, lease store.LeaseID) (store.Revision, error) {
	var written SwapResponse
	_, err := c.do(ctx, c.timeout, call{
		method: http.MethodPut,
		path:   PathKey,
		query: url.Values{
			ParameterKey:      {key},
			ParameterExpected: {formatUint(expected)},
			ParameterLease:    {formatUint(lease)},
		},
		body:   value,
		result: &written,
	})
	return written.Revision, err
}

// Delete implements store.Store.
func (c *Client) Delete(ctx context.Context, key string, expected store.Revision) error {
	_, err := c.do(ctx, c.timeout, call{
		method: http.MethodDelete,
		path:   PathKey,
		query:  url.Values{ParameterKey: {key}, ParameterExpected: {formatUint(expected)}},
	})
	return err
}

// Watch implements store.Store.
func (c *Client) Watch(ctx context.Context, key string, after store.Revision) (store.Entry, error) {
	for {
		var entry store.Entry
		status, err := c.do(ctx, c.watchTimeout, call{
			method: http.MethodGet,
			path:   PathWatch,
			query:  url.Values{ParameterKey: {key}, ParameterAfter: {formatUint(after)}},
			result: &entry,
		})
		if err != nil || status != http.StatusNoContent {
			return entry, err
		}
	}
}

// GrantLease implements store.Store.
func (c *Client) GrantLease(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	body, err := json.Marshal(LeaseRequest{TTLMillis: ttl.Milliseconds()})
	if err != nil {
		return 0, err
	}
	var granted LeaseResponse
	_, err = c.do(ctx, c.timeout, call{method: http.MethodPost, path: PathLeases, body: body, result: &granted})
	return granted.Lease, err
}

// KeepAlive implements store.Store.
func (c *Client) KeepAlive(ctx context.Context, lease store.LeaseID) error {
	_, err := c.do(ctx, c.timeout, call{method: http.MethodPost, path: leasePath(lease)})
	return err
}

// RevokeLease implements store.Store.
func (c *Client) RevokeLease(ctx context.Context, lease store.LeaseID) error {
	_, err := c.do(ctx, c.timeout, call{method: http.MethodDelete, path: leasePath(lease)})
	return err
}

func leasePath(lease store.LeaseID) string { return PathLeases + "/" + formatUint(lease) }

func formatUint[T ~uint64](n T) string { return strconv.FormatUint(uint64(n), 10) }
