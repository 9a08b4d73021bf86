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

// maxAnswerBytes bounds an answer; a list may hold many values.
const maxAnswerBytes = 256 << 20

// call is one call of the service.
type call struct {
	method string
	path   string
	query  url.Values
	body   []byte
	// result receives the JSON answer, if not nil.
	result any
}

func (c call) isRead() bool { return c.method == http.MethodGet }

// failed is the error of a call that may have had an effect: a write's outcome is
// unknown, and a read has none.
func (c call) failed(err error) error {
	if c.isRead() {
		return fmt.Errorf("%w: %w", store.ErrUnavailable, err)
	}
	return fmt.Errorf("%w: %w", store.ErrUnknownOutcome, err)
}

func (c call) notFound() error {
	if c.path == PathKey || c.path == PathWatch {
		return store.ErrNotFound
	}
	return c.failed(errors.New("no such path"))
}

// do sends the call and returns the status of success.
func (c *Client) do(ctx context.Context, timeout time.Duration, call call) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	address := c.base + call.path + "?" + call.query.Encode()
	request, err := http.NewRequestWithContext(ctx, call.method, address, bytes.NewReader(call.body))
	if err != nil {
		return 0, fmt.Errorf("%w: %w", store.ErrUnavailable, err)
	}
	response, err := c.transport.Send(request)
	switch {
	case errors.Is(err, endpoint.ErrNotDispatched):
		return 0, fmt.Errorf("%w: %w", store.ErrUnavailable, err)
	case err != nil:
		return 0, call.failed(err)
	}
	defer response.Body.Close()
	return response.StatusCode, call.read(response)
}

func (c call) read(response *http.Response) error {
	if response.StatusCode/100 != 2 {
		return c.statusError(response)
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return c.failed(err)
	}
	if c.result == nil || response.StatusCode == http.StatusNoContent {
		return nil
	}
	if err := json.Unmarshal(data, c.result); err != nil {
		return c.failed(err)
	}
	return nil
}

const maxMessageBytes = 512

func (c call) statusError(response *http.Response) error {
	switch response.StatusCode {
	case http.StatusNotFound:
		return c.notFound()
	case http.StatusConflict:
		return store.ErrConflict
	case http.StatusGone:
		return store.ErrLeaseNotFound
	}
	message, _ := io.ReadAll(io.LimitReader(response.Body, maxMessageBytes))
	err := fmt.Errorf("status %d: %s", response.StatusCode, message)
	if response.StatusCode == http.StatusTooManyRequests || response.StatusCode == http.StatusServiceUnavailable ||
		response.StatusCode == http.StatusBadRequest || response.StatusCode == http.StatusRequestEntityTooLarge {
		return fmt.Errorf("%w: %w", store.ErrUnavailable, err)
	}
	return c.failed(err)
}
