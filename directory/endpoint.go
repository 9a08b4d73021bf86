package directory

import "hawthornrill.example/hawthornrill/domain"

// Endpoint is one life of an endpoint. It is immutable; a change makes a new value.
type Endpoint struct {
	_ struct{} `cbor:",toarray"`
	// ID names this life. Its address may later belong to another endpoint, so that every send names the ID.
	ID      domain.EndpointID
	Service string
	// Address is "IP:port".
	Address    string
	DataCentre domain.DataCentre
	// Slots is how many requests it works on at a time.
	Slots int
	// Leaving endpoints finish what they have and get nothing new.
	Leaving bool
}
