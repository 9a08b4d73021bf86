package limits

import (
	"time"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/peer"
)

const methodReport peer.Method = "limits.report"

// report tells an owner of the organisations in use at a node.
type report struct {
	Demands []demand `cbor:"1,keyasint"`
}

// demand is one organisation's part of a report.
type demand struct {
	Organisation domain.OrganisationID `cbor:"1,keyasint"`
	// Sequence grows with each report of the organisation by this life of the node.
	Sequence uint64 `cbor:"2,keyasint"`
	// Share is the share of requests that the node holds, InFlight what it uses, Wanted
	// what it could use, all beyond what each node may always use.
	Share    int `cbor:"3,keyasint,omitempty"`
	InFlight int `cbor:"4,keyasint,omitempty"`
	Wanted   int `cbor:"5,keyasint,omitempty"`
	// Tokens are asked for.
	Tokens int `cbor:"6,keyasint,omitempty"`
	// Advance were used without having been given, Returned are given back.
	Advance  int `cbor:"7,keyasint,omitempty"`
	Returned int `cbor:"8,keyasint,omitempty"`
	// Recent is about what was used in the last minute.
	Recent int `cbor:"9,keyasint,omitempty"`
}

// reply gives the shares, in the order of the report.
type reply struct {
	Shares []allotment `cbor:"1,keyasint"`
}

// allotment is one organisation's part of a reply.
type allotment struct {
	// Ignored is true if the demand was older than one before it, or the owner does
	// not know the organisation.
	Ignored bool `cbor:"1,keyasint,omitempty"`
	// Share of requests, of the limit Limit.
	Share int `cbor:"2,keyasint,omitempty"`
	Limit int `cbor:"3,keyasint,omitempty"`
	// Tokens are given, once.
	Tokens int `cbor:"4,keyasint,omitempty"`
	// Wait is how long it takes until there are any tokens to give.
	Wait time.Duration `cbor:"5,keyasint,omitempty"`
}
