package load

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"

	"hawthornrill.example/hawthornrill/domain"
)

// ErrInvalidAddress means that an address of a node is not a URL.
var ErrInvalidAddress = errors.New("load: not the URL of a node")

// HTTPTarget sends to nodes over HTTP. All nodes take the callers of all data
// centres.
type HTTPTarget struct {
	nodes  []*url.URL
	client *http.Client
}

// NewHTTPTarget returns the target of the nodes at the addresses.
func NewHTTPTarget(addresses []string, connections int) (*HTTPTarget, error) {
	t := &HTTPTarget{client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: connections}}}
	for _, address := range addresses {
		u, err := url.Parse(address)
		if err != nil || u.Host == "" {
			return nil, fmt.Errorf("%w: %q", ErrInvalidAddress, address)
		}
		t.nodes = append(t.nodes, u)
	}
	if len(t.nodes) == 0 {
		return nil, fmt.Errorf("%w: none given", ErrInvalidAddress)
	}
	return t, nil
}

// Nodes implements Target.
func (t *HTTPTarget) Nodes(domain.DataCentre) int { return len(t.nodes) }

// Send implements Target.
func (t *HTTPTarget) Send(_ domain.DataCentre, node int, r *http.Request, w http.ResponseWriter) error {
	r.URL.Scheme, r.URL.Host = t.nodes[node].Scheme, t.nodes[node].Host
	r.Host = ""
	response, err := t.client.Do(r)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	for name, values := range response.Header {
		w.Header()[name] = values
	}
	w.WriteHeader(response.StatusCode)
	_, err = io.Copy(w, response.Body)
	return err
}

// Close ends idle connections.
func (t *HTTPTarget) Close() { t.client.CloseIdleConnections() }
