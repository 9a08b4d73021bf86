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

	"hawthornrill.example/hawthornrill/standin/engine"
)

// Client fetches weights for engines.
type Client struct {
	base     string
	http     *http.Client
	patience time.Duration
}

const (
	defaultPatience = 5 * time.Minute
	// defaultVersion stands for weights without a version.
	defaultVersion = "default"
)

// NewClient returns a client of the store at "http://IP:port".
func NewClient(base string) *Client {
	return &Client{base: strings.TrimSuffix(base, "/"), http: &http.Client{}, patience: defaultPatience}
}

// Fetch reads the weights through, for engine.Options.FetchWeights. It tries
// again, with growing pauses, while the store is busy or down, for five minutes.
func (c *Client) Fetch(weights engine.Weights) error {
	fetch := func() (struct{}, error) { return struct{}{}, c.fetch(weights) }
	_, err := backoff.Retry(context.Background(), fetch, backoff.WithMaxElapsedTime(c.patience))
	return err
}

func (c *Client) fetch(weights engine.Weights) error {
	address := c.base + PathWeights + url.PathEscape(weights.Model) + "/" + url.PathEscape(cmp.Or(weights.Version, defaultVersion))
	if weights.Adapter != "" {
		address += "?" + url.Values{parameterAdapter: {weights.Adapter}}.Encode()
	}
	response, err := c.http.Get(address)
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
