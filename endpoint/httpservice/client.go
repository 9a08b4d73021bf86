// Package httpservice is the HTTP adapter to plain services: any method, path and body, streamed in
// both directions, sent at most once.
package httpservice

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"

	"hawthornrill.example/hawthornrill/endpoint"
	"hawthornrill.example/hawthornrill/endpoint/onesend"
)

// HeaderRequestKey carries the request's key to the service.
const HeaderRequestKey = "X-Request-Key"

// Client is the client of one service instance. It implements endpoint.Service.
type Client struct {
	base      string
	transport *onesend.Transport
}

var _ endpoint.Service = (*Client)(nil)

// New returns a client of the service at a base URL such as "http://10.0.0.9:8000". One transport
// should be shared by all endpoints of a process.
func New(address string, transport *onesend.Transport) *Client {
	return &Client{base: strings.TrimSuffix(address, "/"), transport: transport}
}

// Call implements endpoint.Service. The context covers the whole call, including reading the
// response body; if the body is cut short, its error wraps endpoint.ErrBroken. Any status is a
// response, including redirects and errors of the service.
func (c *Client) Call(ctx context.Context, call endpoint.ServiceRequest) (endpoint.ServiceResponse, error) {
	request, err := c.request(ctx, call)
	if err != nil {
		return endpoint.ServiceResponse{}, fmt.Errorf("%w: %w", endpoint.ErrNotDispatched, err)
	}
	response, err := c.transport.Send(request)
	if err != nil {
		return endpoint.ServiceResponse{}, err
	}
	return endpoint.ServiceResponse{
		Status: response.StatusCode,
		Header: endToEnd(response.Header),
		Body:   responseBody{response.Body},
	}, nil
}

func (c *Client) request(ctx context.Context, call endpoint.ServiceRequest) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, call.Method, c.base+call.Path, call.Body)
	if err != nil {
		return nil, err
	}
	request.ContentLength = call.Length
	if call.Length == 0 {
		request.Body = nil
	}
	request.Header = endToEnd(call.Header)
	request.Header.Set(HeaderRequestKey, call.Key)
	if _, ok := request.Header[headerUserAgent]; !ok {
		// An empty value suppresses Go's default User-Agent.
		request.Header[headerUserAgent] = []string{""}
	}
	return request, nil
}

// responseBody wraps read errors with endpoint.ErrBroken.
type responseBody struct{ io.ReadCloser }

func (b responseBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && err != io.EOF {
		err = fmt.Errorf("%w: %w", endpoint.ErrBroken, err)
	}
	return n, err
}
