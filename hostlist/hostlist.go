// Package hostlist is the interface to the platform's list of the system's hosts.
// The list may be out of date, unreachable or wrong; package membership documents how
// it handles these cases.
package hostlist

import (
	"context"
	"errors"

	"hawthornrill.example/hawthornrill/domain"
)

var (
	// ErrUnavailable means that the list could not be fetched.
	ErrUnavailable = errors.New("hostlist: unavailable")
	// ErrMalformed means that the platform's response is not a valid list of hosts. No
	// part of it may be used.
	ErrMalformed = errors.New("hostlist: malformed list")
)

// State is a host's state as reported by the platform.
type State string

const (
	// StateLive hosts are in service.
	StateLive State = "live"
	// StateLeaving hosts are about to be removed.
	StateLeaving State = "leaving"
)

// Host is one entry of the platform's list: either an entry host, which has a Node, or
// an endpoint's host, which has an Endpoint.
type Host struct {
	Node     domain.NodeID     `json:"node,omitempty"`
	Endpoint domain.EndpointID `json:"endpoint,omitempty"`
	// Address is the address of the peer listener or of the endpoint, "IP:port".
	Address    string            `json:"address"`
	DataCentre domain.DataCentre `json:"data_centre"`
	State      State             `json:"state"`
}

// List provides the platform's current list. Implementations are safe for concurrent
// use.
type List interface {
	// List returns all hosts, in any order, or an error that wraps ErrUnavailable or
	// ErrMalformed.
	List(ctx context.Context) ([]Host, error)
}
