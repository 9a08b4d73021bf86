// Package hostlist is the seam to the platform's list of the system's hosts. The
// list lags, may be unreachable and may be wrong; package membership says what it
// makes of it.
package hostlist

import (
	"context"
	"errors"

	"hawthornrill.example/hawthornrill/domain"
)

var (
	// ErrUnavailable means that the list could not be had.
	ErrUnavailable = errors.New("hostlist: unavailable")
	// ErrMalformed means that the platform's answer is not a list of hosts. Nothing
	// of it may be used.
	ErrMalformed = errors.New("hostlist: malformed list")
)

// State is what the platform says of a host.
type State string

const (
	// StateLive hosts are in service.
	StateLive State = "live"
	// StateLeaving hosts are about to be taken away.
	StateLeaving State = "leaving"
)

// Host is a host as the platform lists it: an entry host, which has a Node, or an
// endpoint's, which has an Endpoint.
type Host struct {
	Node     domain.NodeID     `json:"node,omitempty"`
	Endpoint domain.EndpointID `json:"endpoint,omitempty"`
	// Address is the peer listener or the endpoint's, "IP:port".
	Address    string            `json:"address"`
	DataCentre domain.DataCentre `json:"data_centre"`
	State      State             `json:"state"`
}

// List gives the platform's current list. Implementations are safe for concurrent
// use.
type List interface {
	// List returns all hosts, in any order, or an error that wraps ErrUnavailable or
	// ErrMalformed.
	List(ctx context.Context) ([]Host, error)
}
