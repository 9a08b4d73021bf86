// Package deployment describes the systems of the first users at their current
// size: their hosts, endpoints and organisations. The demo, the load tool and tests
// use the descriptions; the package starts no processes.
package deployment

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"time"

	"hawthornrill.example/hawthornrill/config"
	"hawthornrill.example/hawthornrill/domain"
)

// ErrUnknown means that there is no deployment with the given name.
var ErrUnknown = errors.New("deployment: no such deployment")

// Host is an entry host.
type Host struct {
	Node       domain.NodeID
	DataCentre domain.DataCentre
}

// Deployment is the system of one user. Endpoint rows have no addresses; the code
// that starts the endpoints sets them.
type Deployment struct {
	Name  string
	Hosts []Host
	Table config.Table
	// Keys holds a demonstration API key for each organisation.
	Keys map[domain.OrganisationID]string
	// OneWayDelay is the one-way network delay between data centres, ClientOneWayDelay
	// the one between callers and nodes.
	OneWayDelay       time.Duration
	ClientOneWayDelay time.Duration
	// Model is the name of the model that the engines serve.
	Model string
	// Service is the name of the plain service. NonIdempotentPath and
	// NonIdempotentBody are the path and body of a POST to it that must not be
	// repeated.
	Service           string
	NonIdempotentPath string
	NonIdempotentBody string
}

// Names returns the names of the deployments.
func Names() []string { return []string{"cucine", "pryce"} }

// ByName returns the deployment with the given name, or ErrUnknown.
func ByName(name string) (*Deployment, error) {
	switch name {
	case "cucine":
		return Cucine(), nil
	case "pryce":
		return Pryce(), nil
	}
	return nil, fmt.Errorf("%w: %q, there are %q", ErrUnknown, name, Names())
}

// DemoKey returns the demonstration API key of an organisation. It is not secret.
func DemoKey(id domain.OrganisationID) string { return "demo-key-" + string(id) }

// KeyHash returns the SHA-256 of an API key in the encoding of organisation rows.
func KeyHash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}
