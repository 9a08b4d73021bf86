package httpstore

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"hawthornrill.example/hawthornrill/endpoint"
	"hawthornrill.example/hawthornrill/store"
)

// maxResponseBytes limits the size of a response body. It is large because a list
// may hold many values.
const maxResponseBytes = 256 << 20

// call is one request to the service.
type call struct {
	method string
	path   string
	query  url.Values
	body   []byte
	// result receives the decoded JSON response, if not nil.
	result any
}

func (c call) isRead() bool { return c.method == http.MethodGet }

// wrapError wraps the error of a call that may have reached the service: the outcome
// of a write is unknown, while a read has no effect in any case.
func (c call) wrapError(err error) error {
	if c.isRead() {
		return fmt.Errorf("%w: %w", store.ErrUnavailable, err)
	}
	return fmt.Errorf("%w: %w", store.ErrUnknownOutcome, err)
}

func (c call) notFoundError() error {
	if c.path == PathKey || c.path == PathWatch {
		return store.ErrNotFound
	}
	return c.wrapError(errors.New("path not found"))
}

// do sends the call and returns the response's status code.
func (c *Client) do(ctx context.Context, timeout time.Duration, call call) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	target := c.base + call.path + "?" + call.query.Encode()
	request, err := http.NewRequestWithContext(ctx, call.method, target, bytes.NewReader(call.body))
	if err != nil {
		return 0, fmt.Errorf("%w: %w", store.ErrUnavailable, err)
	}
	response, err := c.transport.Send(request)
	switch {
	case errors.Is(err, endpoint.ErrNotDispatched):
		return 0, fmt.Errorf("%w: %w", store.ErrUnavailable, err)
	case err != nil:
		return 0, call.wrapError(err)
	}
	defer response.Body.Close()
	return response.StatusCode, call.readResponse(response)
}

func (c call) readResponse(response *http.Response) error {
	if response.StatusCode/100 != 2 {
		return c.statusError(response)
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return c.wrapError(err)
	}
	if c.result == nil || response.StatusCode == http.StatusNoContent {
		return nil
	}
	if err := json.Unmarshal(data, c.result); err != nil {
		return c.wrapError(err)
	}
	return nil
}

const maxErrorBytes = 512

func (c call) statusError(response *http.Response) error {
	switch response.StatusCode {
	case http.StatusNotFound:
		return c.notFoundError()
	case http.StatusConflict:
		return store.ErrConflict
	case http.StatusGone:
		return store.ErrLeaseNotFound
	}
	message, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
	err := fmt.Errorf("status %d: %s", response.StatusCode, message)
	if response.StatusCode == http.StatusTooManyRequests || response.StatusCode == http.StatusServiceUnavailable ||
		response.StatusCode == http.StatusBadRequest || response.StatusCode == http.StatusRequestEntityTooLarge {
		return fmt.Errorf("%w: %w", store.ErrUnavailable, err)
	}
	return c.wrapError(err)
}
