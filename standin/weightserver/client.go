package weightserver

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/cenkalti/backoff/v5"

	"hawthornrill.example/hawthornrill/httpresponse"
	"hawthornrill.example/hawthornrill/standin/engine"
)

// Client fetches weights from the weight store.
type Client struct {
	baseURL      string
	httpClient   *http.Client
	maxRetryTime time.Duration
}

const (
	defaultMaxRetryTime = 5 * time.Minute
	// defaultVersion is requested for weights without a version.
	defaultVersion = "default"
)

// NewClient returns a client of the store at the base URL "http://IP:port".
func NewClient(baseURL string) *Client {
	return &Client{baseURL: strings.TrimSuffix(baseURL, "/"), httpClient: httpresponse.NewClient(), maxRetryTime: defaultMaxRetryTime}
}

// Fetch downloads the weights and discards them; it is meant for
// engine.Options.FetchWeights. While the store is busy or unavailable, it retries
// with exponential backoff for up to five minutes.
func (c *Client) Fetch(weights engine.Weights) error {
	fetch := func() (struct{}, error) { return struct{}{}, c.fetch(weights) }
	_, err := backoff.Retry(context.Background(), fetch, backoff.WithMaxElapsedTime(c.maxRetryTime))
	return err
}

func (c *Client) fetch(weights engine.Weights) error {
	requestURL := c.baseURL + PathWeights + url.PathEscape(weights.Model) + "/" + url.PathEscape(cmp.Or(weights.Version, defaultVersion))
	if weights.Adapter != "" {
		requestURL += "?" + url.Values{parameterAdapter: {weights.Adapter}}.Encode()
	}
	response, err := c.httpClient.Get(requestURL)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	switch response.StatusCode {
	case http.StatusOK:
		_, err := io.Copy(io.Discard, response.Body)
		return err
	case http.StatusNotFound:
		return backoff.Permanent(fmt.Errorf("%w: %s@%s", ErrNotFound, weights.Model, weights.Version))
	default:
		return fmt.Errorf("%w: status %d", ErrUnavailable, response.StatusCode)
	}
}
