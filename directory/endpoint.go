package directory

import (
	"strconv"

	"hawthornrill.example/hawthornrill/domain"
)

// Endpoint is an immutable entry of the list. A change is represented by a new value.
type Endpoint struct {
	_ struct{} `cbor:",toarray"`
	// ID identifies the endpoint across restarts. Its address may later belong to another endpoint, so every request to it
	// carries the ID.
	ID      domain.EndpointID
	Service string
	// Address is "IP:port".
	Address    string
	DataCentre domain.DataCentre
	// Slots is the number of requests that the endpoint processes concurrently.
	Slots int
	// Leaving is true if the endpoint finishes its requests and accepts no new ones.
	Leaving bool
	// Born is the start time in Unix milliseconds by the endpoint's clock, 0 if unknown.
	Born int64
	// Version is the version of the endpoint's software, empty if unknown. Versions of a service have no order. It is not part of
	// the encoded form, whose length is fixed.
	Version string `cbor:"-"`
}

// bornRadix is the radix in which the start time is encoded, chosen for short names since each report between nodes contains
// incarnations.
const bornRadix = 36

// Incarnation identifies the endpoint from its start to its end. Counts and observations of an endpoint are kept under this
// name, so that none of them apply to the next incarnation.
func (e *Endpoint) Incarnation() domain.EndpointID {
	if e.Born == 0 {
		return e.ID
	}
	return e.ID + domain.EndpointID("@"+strconv.FormatInt(e.Born, bornRadix))
}

// outdated reports whether e belongs to an earlier incarnation than the listed entry, which means that it arrived late.
func (e *Endpoint) outdated(listed *Endpoint) bool {
	return listed != nil && e.Born != 0 && e.Born < listed.Born
}
