// Package httpservice is the adapter to plain services over HTTP: any method,
// path and body, streamed both ways, sent at most once.
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

// Client is an instance of a service at an address. It implements
// endpoint.Service.
type Client struct {
	base      string
	transport *onesend.Transport
}

var _ endpoint.Service = (*Client)(nil)

// New returns the service at an address such as "http://10.0.0.9:8000".
// Transports are best shared by all endpoints of a process.
func New(address string, transport *onesend.Transport) *Client {
	return &Client{base: strings.TrimSuffix(address, "/"), transport: transport}
}

// Call implements endpoint.Service. The context bounds the whole call, the
// reading of the response's body included; a body that breaks off returns an
// error that wraps endpoint.ErrBroken. Any status is a response, redirects and
// errors of the service included.
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
		Body:   brokenBody{response.Body},
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
		// An empty one keeps the library's own name out.
		request.Header[headerUserAgent] = []string{""}
	}
	return request, nil
}

// brokenBody marks a body that ends early.
type brokenBody struct{ io.ReadCloser }

func (b brokenBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && err != io.EOF {
		err = fmt.Errorf("%w: %w", endpoint.ErrBroken, err)
	}
	return n, err
}
