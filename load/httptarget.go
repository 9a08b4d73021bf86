package load

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/httpresponse"
)

// ErrInvalidAddress means that the address of a node is not a URL with a host, or that
// no address was given.
var ErrInvalidAddress = errors.New("load: invalid node address")

// HTTPTarget sends requests to nodes over HTTP. Every node serves the callers of all
// data centres.
type HTTPTarget struct {
	nodes  []*url.URL
	client *http.Client
}

// NewHTTPTarget returns a Target for the nodes at the given URLs, keeping up to the given
// number of idle connections to each.
func NewHTTPTarget(addresses []string, connections int) (*HTTPTarget, error) {
	t := &HTTPTarget{client: &http.Client{Transport: httpresponse.NewTransport(&http.Transport{MaxIdleConnsPerHost: connections})}}
	for _, address := range addresses {
		u, err := url.Parse(address)
		if err != nil || u.Host == "" {
			return nil, fmt.Errorf("%w: %q", ErrInvalidAddress, address)
		}
		t.nodes = append(t.nodes, u)
	}
	if len(t.nodes) == 0 {
		return nil, fmt.Errorf("%w: no addresses given", ErrInvalidAddress)
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

// Close closes idle connections.
func (t *HTTPTarget) Close() { t.client.CloseIdleConnections() }
