package operatorapi

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"hawthornrill.example/hawthornrill/config"
	"hawthornrill.example/hawthornrill/document"
	"hawthornrill.example/hawthornrill/httpresponse"
)

var (
	// ErrUnreachable means that no node could be reached; the request was certainly
	// not executed.
	ErrUnreachable = errors.New("operatorapi: no node can be reached")
	// ErrNoResponse means that the request was sent to a node and no valid response
	// arrived; an edit may or may not have been accepted.
	ErrNoResponse = errors.New("operatorapi: no answer")
)

const (
	// dialTimeout limits connecting to a node before the next one is tried.
	dialTimeout = 3 * time.Second
	// requestTimeout limits a request. It exceeds editTimeout, so that the node
	// reports the outcome of an edit before the client gives up.
	requestTimeout = editTimeout + 10*time.Second
	// maxReplyBytes limits the size of a reply.
	maxReplyBytes = 32 << 20
)

// Client sends requests to the first reachable node of a list.
type Client struct {
	nodes []string
	key   string
	http  *http.Client
}

// NewClient returns a client for the nodes, given as "http://IP:port", that
// authenticates with an operator's key.
func NewClient(nodes []string, key string) *Client {
	pool := http.DefaultTransport.(*http.Transport).Clone()
	pool.Proxy = nil
	pool.DialContext = (&net.Dialer{Timeout: dialTimeout}).DialContext
	return &Client{nodes: nodes, key: key, http: &http.Client{Transport: httpresponse.NewTransport(pool), Timeout: requestTimeout}}
}

// SetTransport replaces the HTTP transport. It must be called before the first
// request.
func (c *Client) SetTransport(transport http.RoundTripper) { c.http.Transport = transport }

// Table returns the table of a generation; zero selects the one in force.
func (c *Client) Table(ctx context.Context, generation uint64) (TableReply, error) {
	return call[TableReply](ctx, c, http.MethodGet, "/table?generation="+strconv.FormatUint(generation, 10), nil)
}

// Check validates a table and returns its problems.
func (c *Client) Check(ctx context.Context, table config.Table) (config.Problems, error) {
	reply, err := call[PreviewReply](ctx, c, http.MethodPost, "/table/check", table)
	return reply.Problems, err
}

// Preview returns the effect of changes without making them.
func (c *Client) Preview(ctx context.Context, changes []config.Change) (PreviewReply, error) {
	return call[PreviewReply](ctx, c, http.MethodPost, "/table/preview", PreviewRequest{Changes: changes})
}

// Edit changes the table. The error is a *Failure, ErrUnreachable or ErrNoResponse.
func (c *Client) Edit(ctx context.Context, request EditRequest) (document.Version, error) {
	reply, err := call[EditReply](ctx, c, http.MethodPost, "/edits", request)
	return reply.Version, err
}

// Rollback restores an earlier table. It returns the same errors as Edit.
func (c *Client) Rollback(ctx context.Context, request RollbackRequest) (document.Version, error) {
	reply, err := call[EditReply](ctx, c, http.MethodPost, "/rollback", request)
	return reply.Version, err
}

// EditOutcome returns the outcome of an edit, querying the nodes in order until one
// of them knows it. The error is a *Failure with OutcomeNotAccepted, or
// ErrNoResponse.
func (c *Client) EditOutcome(ctx context.Context, id document.EditID, base uint64) (version document.Version, err error) {
	path := fmt.Sprintf("/edits/%s?base=%d", id, base)
	for _, node := range c.nodes {
		var reply EditReply
		err = c.callNode(ctx, node, http.MethodGet, path, nil, &reply)
		var failure *Failure
		if err == nil || (errors.As(err, &failure) && failure.Outcome == OutcomeNotAccepted) {
			return reply.Version, err
		}
	}
	return document.Version{}, fmt.Errorf("%w: %w", ErrNoResponse, err)
}

// IsNotAccepted reports whether an error means that an edit certainly had no
// effect.
func IsNotAccepted(err error) bool {
	var failure *Failure
	switch {
	case errors.Is(err, ErrNoResponse):
		return false
	case errors.As(err, &failure):
		return failure.Outcome == OutcomeNotAccepted || failure.Status < http.StatusInternalServerError
	}
	return errors.Is(err, ErrUnreachable)
}

// History returns the versions that are still readable, the current one first.
func (c *Client) History(ctx context.Context) ([]document.Version, error) {
	reply, err := call[HistoryReply](ctx, c, http.MethodGet, "/history", nil)
	return reply.Versions, err
}

// Status returns the state of all nodes.
func (c *Client) Status(ctx context.Context) (StatusReply, error) {
	return call[StatusReply](ctx, c, http.MethodGet, "/status", nil)
}

// call sends a request to the nodes in order until one executes it.
func call[Reply any](ctx context.Context, c *Client, method, path string, body any) (Reply, error) {
	var reply Reply
	encoded, err := json.Marshal(body)
	if err != nil {
		return reply, fmt.Errorf("operatorapi: encode: %w", err)
	}
	var failures []error
	for _, node := range c.nodes {
		err := c.callNode(ctx, node, method, path, encoded, &reply)
		if !canRetryOnNextNode(err) {
			return reply, err
		}
		failures = append(failures, err)
	}
	err = errors.Join(failures...)
	var failure *Failure
	if errors.As(err, &failure) {
		return reply, failure
	}
	return reply, fmt.Errorf("%w: %w", ErrUnreachable, err)
}

// canRetryOnNextNode reports whether the request certainly had no effect and
// another node may succeed: this one is unreachable, or can't reach the store.
func canRetryOnNextNode(err error) bool {
	var failure *Failure
	if errors.As(err, &failure) {
		return failure.Status == http.StatusServiceUnavailable && failure.Outcome != OutcomeUnknown
	}
	return errors.Is(err, ErrUnreachable)
}

func (c *Client) callNode(ctx context.Context, node, method, path string, body []byte, reply any) error {
	request, err := http.NewRequestWithContext(ctx, method, strings.TrimSuffix(node, "/")+PathPrefix+path, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("operatorapi: %w", err)
	}
	request.Header.Set("Authorization", bearerPrefix+c.key)
	request.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(request)
	if err != nil {
		return fmt.Errorf("%w: %w", classifyTransportError(err), err)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes+1))
	if err != nil {
		return fmt.Errorf("%w: %w", ErrNoResponse, err)
	}
	if len(data) > maxReplyBytes {
		return fmt.Errorf("%w: reply exceeds %d bytes", ErrNoResponse, maxReplyBytes)
	}
	if response.StatusCode != http.StatusOK {
		return readFailure(response, data)
	}
	if err := json.Unmarshal(data, reply); err != nil {
		return fmt.Errorf("%w: %w", ErrNoResponse, err)
	}
	return nil
}

// readFailure decodes the problem document of a response. For a response without
// one it returns a Failure of unknown outcome.
func readFailure(response *http.Response, data []byte) error {
	failure := &Failure{}
	if strings.HasPrefix(response.Header.Get("Content-Type"), problemMediaType) && json.Unmarshal(data, failure) == nil {
		return failure
	}
	return &Failure{Title: "Unexpected answer", Status: response.StatusCode, Detail: response.Status, Outcome: OutcomeUnknown}
}

// classifyTransportError returns ErrUnreachable if connecting failed, and
// ErrNoResponse if the node may have received the request.
func classifyTransportError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return ErrUnreachable
	}
	return ErrNoResponse
}
