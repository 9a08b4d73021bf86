package directory

import (
	"strconv"

	"hawthornrill.example/hawthornrill/domain"
)

// Endpoint is an endpoint as it was last listed. It is immutable; a change makes a new value.
type Endpoint struct {
	_ struct{} `cbor:",toarray"`
	// ID names the endpoint, also after a restart. Its address may later belong to another endpoint, so that every send
	// names the ID.
	ID      domain.EndpointID
	Service string
	// Address is "IP:port".
	Address    string
	DataCentre domain.DataCentre
	// Slots is how many requests it works on at a time.
	Slots int
	// Leaving endpoints finish what they have and get nothing new.
	Leaving bool
	// Born is when the endpoint started, in Unix milliseconds by its own clock; 0 if it does not say.
	Born int64
}

// bornBase writes the start in as few characters as a name may hold: incarnations are named in each report between nodes.
const bornBase = 36

// Incarnation names the endpoint from its start to its end. What is counted or learned of an endpoint is kept under this
// name, so that nothing of it holds for the next incarnation, which begins empty.
func (e *Endpoint) Incarnation() domain.EndpointID {
	if e.Born == 0 {
		return e.ID
	}
	return e.ID + domain.EndpointID("@"+strconv.FormatInt(e.Born, bornBase))
}

// outdated reports whether e tells of an incarnation before that of the listed one: a write that arrived late.
func (e *Endpoint) outdated(listed *Endpoint) bool {
	return listed != nil && e.Born != 0 && e.Born < listed.Born
}
