package httpengine

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"hawthornrill.example/hawthornrill/bytebudget"
	"hawthornrill.example/hawthornrill/endpoint"
	"hawthornrill.example/hawthornrill/endpoint/onesend"
)

// HeaderRequestKey carries the request's key, which identifies its stream.
const HeaderRequestKey = "X-Request-Key"

const (
	pathCompletions = "/v1/chat/completions"
	pathStreams     = "/v1/streams/"
	pathLoad        = "/v1/load"
	pathCacheEvents = "/v1/cache/events"
)

// maxResponseBytes limits the size of a response that is not a stream.
const maxResponseBytes = 4 << 20

// Client is the client of one engine. It implements endpoint.Engine.
type Client struct {
	base      string
	transport *onesend.Transport
}

var _ endpoint.Engine = (*Client)(nil)

// New returns a client of the engine at a base URL such as "http://10.0.0.7:8000". One transport
// should be shared by all endpoints of a process.
func New(address string, transport *onesend.Transport) *Client {
	return &Client{base: strings.TrimSuffix(address, "/"), transport: transport}
}

// Start implements endpoint.Engine. The context covers the time until the engine has accepted the
// request, not the stream.
func (c *Client) Start(ctx context.Context, request endpoint.EngineRequest) (endpoint.Stream, error) {
	header := http.Header{
		"Content-Type":   {"application/json"},
		"Accept":         {"text/event-stream"},
		HeaderRequestKey: {request.Key},
	}
	return c.open(ctx, http.MethodPost, pathCompletions, header, request.Body, 0)
}

// Resume implements endpoint.Engine.
func (c *Client) Resume(ctx context.Context, key string, from uint64) (endpoint.Stream, error) {
	path := pathStreams + url.PathEscape(key) + "?from=" + strconv.FormatUint(from, 10)
	header := http.Header{"Accept": {"text/event-stream"}}
	return c.open(ctx, http.MethodGet, path, header, nil, from)
}

// Cancel implements endpoint.Engine.
func (c *Client) Cancel(ctx context.Context, key string) error {
	err := c.call(ctx, http.MethodDelete, pathStreams+url.PathEscape(key), nil, nil)
	if isStatus(err, http.StatusNotFound) {
		return nil
	}
	return err
}

// Load implements endpoint.Engine.
func (c *Client) Load(ctx context.Context) (endpoint.LoadReport, error) {
	var report endpoint.LoadReport
	err := c.call(ctx, http.MethodGet, pathLoad, nil, &report)
	return report, err
}

// CacheEvents implements endpoint.Engine.
func (c *Client) CacheEvents(ctx context.Context, after uint64) ([]endpoint.CacheEvent, error) {
	var events []endpoint.CacheEvent
	path := pathCacheEvents + "?after=" + strconv.FormatUint(after, 10)
	err := c.call(ctx, http.MethodGet, path, nil, &events)
	return events, err
}

// call sends body as JSON, if any, and decodes the response into result, if any.
func (c *Client) call(ctx context.Context, method, path string, body, result any) error {
	var data []byte
	if body != nil {
		var err error
		if data, err = json.Marshal(body); err != nil {
			return fmt.Errorf("%w: %w", endpoint.ErrNotDispatched, err)
		}
	}
	request, err := c.request(ctx, method, path, http.Header{"Content-Type": {"application/json"}}, data)
	if err != nil {
		return err
	}
	response, err := c.transport.Send(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode/100 != 2 {
		return newStatusError(response)
	}
	reserved := held.Reserve(1)
	defer reserved.Release()
	data, err = bytebudget.Reader{Limit: maxResponseBytes, Expected: response.ContentLength, First: freeBytes, Free: freeBytes}.ReadAll(response.Body, &reserved)
	if err != nil {
		return fmt.Errorf("%w: %w", endpoint.ErrBroken, err)
	}
	if result == nil {
		return nil
	}
	if err := json.Unmarshal(data, result); err != nil {
		return fmt.Errorf("%w: %w", endpoint.ErrBroken, err)
	}
	return nil
}

func (c *Client) request(ctx context.Context, method, path string, header http.Header, body []byte) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", endpoint.ErrNotDispatched, err)
	}
	request.Header = header
	return request, nil
}

// open sends a request whose response is a stream that begins at an offset.
func (c *Client) open(ctx context.Context, method, path string, header http.Header, body []byte, from uint64) (endpoint.Stream, error) {
	streamContext, cancel := context.WithCancel(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, cancel)
	request, err := c.request(streamContext, method, path, header, body)
	if err != nil {
		cancel()
		return nil, err
	}
	response, err := c.transport.Send(request)
	if err != nil {
		cancel()
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		defer cancel()
		defer response.Body.Close()
		return nil, newStatusError(response)
	}
	if !stop() {
		_ = response.Body.Close()
		return nil, fmt.Errorf("%w: %w", endpoint.ErrBroken, context.Cause(ctx))
	}
	return newStream(response.Body, from, cancel), nil
}
