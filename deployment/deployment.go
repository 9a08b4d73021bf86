// Package deployment describes the first users' systems at their sizes of today,
// for the demo, the load tool and tests: which hosts, endpoints and
// organisations there are. It starts nothing.
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

// ErrUnknown means that no deployment has the given name.
var ErrUnknown = errors.New("deployment: no such deployment")

// Host is an entry host.
type Host struct {
	Node       domain.NodeID
	DataCentre domain.DataCentre
}

// Deployment is one user's system. Endpoint rows have no addresses yet: whoever
// starts the endpoints fills them in.
type Deployment struct {
	Name  string
	Hosts []Host
	Table config.Table
	// Keys holds a demonstration API key for each organisation.
	Keys map[domain.OrganisationID]string
	// OneWayDelay is the delay between data centres, ClientOneWayDelay that to callers.
	OneWayDelay       time.Duration
	ClientOneWayDelay time.Duration
	// Model is the name of the model that the engines serve.
	Model string
	// Service is the name of the plain service. NonIdempotentPath and NonIdempotentBody are a POST to it
	// that may not be repeated.
	Service           string
	NonIdempotentPath string
	NonIdempotentBody string
}

// Names lists the deployments.
func Names() []string { return []string{"cucine", "pryce"} }

// ByName returns a deployment or ErrUnknown.
func ByName(name string) (*Deployment, error) {
	switch name {
	case "cucine":
		return Cucine(), nil
	case "pryce":
		return Pryce(), nil
	}
	return nil, fmt.Errorf("%w: %q, there are %q", ErrUnknown, name, Names())
}

// DemoKey returns the demonstration API key of an organisation. It is no secret.
func DemoKey(id domain.OrganisationID) string { return "demo-key-" + string(id) }

// KeyHash returns the SHA-256 of an API key as organisation rows hold it.
func KeyHash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}
