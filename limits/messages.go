package limits

import (
	"time"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/peer"
)

const methodReport peer.Method = "limits.report"

// report informs an owner of the organisations in use at a node.
type report struct {
	Demands []demand `cbor:"1,keyasint"`
}

// demand is one organisation's part of a report.
type demand struct {
	Organisation domain.OrganisationID `cbor:"1,keyasint"`
	// Sequence increases with each report of the organisation by this incarnation of
	// the node.
	Sequence uint64 `cbor:"2,keyasint"`
	// Share is the share of requests that the node holds, InFlight the part in use,
	// Wanted the number that it could use. All exclude the requests reserved for each
	// node.
	Share    int `cbor:"3,keyasint,omitempty"`
	InFlight int `cbor:"4,keyasint,omitempty"`
	Wanted   int `cbor:"5,keyasint,omitempty"`
	// Tokens is the number of tokens requested.
	Tokens int `cbor:"6,keyasint,omitempty"`
	// AdvanceTokens were used without having been allocated, ReturnedTokens are
	// returned unused.
	AdvanceTokens  int `cbor:"7,keyasint,omitempty"`
	ReturnedTokens int `cbor:"8,keyasint,omitempty"`
	// RecentTokens approximates the tokens used in the last minute.
	RecentTokens int `cbor:"9,keyasint,omitempty"`
}

// reply contains the allocations, in the order of the report.
type reply struct {
	Shares []allocation `cbor:"1,keyasint"`
}

// allocation is one organisation's part of a reply.
type allocation struct {
	// Ignored is true if the demand was older than an earlier one, or the owner does
	// not know the organisation.
	Ignored bool `cbor:"1,keyasint,omitempty"`
	// Share is the node's share of requests under the limit Limit.
	Share int `cbor:"2,keyasint,omitempty"`
	Limit int `cbor:"3,keyasint,omitempty"`
	// Tokens are added to the node's tokens once.
	Tokens int `cbor:"4,keyasint,omitempty"`
	// Wait is the time until the owner has tokens to allocate.
	Wait time.Duration `cbor:"5,keyasint,omitempty"`
}
