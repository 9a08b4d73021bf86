package gossip

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"hawthornrill.example/hawthornrill/boottime"
	"hawthornrill.example/hawthornrill/directory"
	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/routing/quarantine"
)

// Report is what a node tells another of itself. A later one replaces an earlier one.
type Report struct {
	From domain.NodeID `cbor:"1,keyasint"`
	// Life differs between two lives of a node's process.
	Life       uint64            `cbor:"2,keyasint"`
	DataCentre domain.DataCentre `cbor:"11,keyasint"`
	// SentAt is the sender's clock, Echo the greatest SentAt that it has had from the receiver's life EchoLife.
	SentAt   boottime.Instant `cbor:"3,keyasint"`
	Echo     boottime.Instant `cbor:"4,keyasint,omitempty"`
	EchoLife uint64           `cbor:"5,keyasint,omitempty"`
	// Version is the sender's configuration, Age how old its knowledge of it was when the report was sent.
	Version uint64        `cbor:"6,keyasint,omitempty"`
	Age     time.Duration `cbor:"7,keyasint,omitempty"`
	// Endpoints is the revision of the last change of the endpoints that the sender has heard of.
	Endpoints uint64 `cbor:"12,keyasint,omitempty"`
	// Loads are the endpoints at which the sender has requests.
	Loads []Load `cbor:"8,keyasint,omitempty"`
	// ServiceDemand is what callers ask of the sender, by service.
	Asked []ServiceDemand `cbor:"19,keyasint,omitempty"`
	// Failed are endpoints that failed the sender lately.
	Failed []domain.EndpointID `cbor:"13,keyasint,omitempty"`
	// Broken is the latest evidence of contents that endpoints broke off while they ran them.
	Broken []quarantine.Evidence `cbor:"20,keyasint,omitempty"`
	// Limits are what endpoints have stated to the sender lately of their limits.
	Limits []EndpointLimit `cbor:"21,keyasint,omitempty"`
	// LimitUsage are the organisations' limits as the sender sees them.
	Spent []LimitUsage `cbor:"9,keyasint,omitempty"`
	// Document is the sender's configuration as the operators wrote it, for a receiver that lacks it.
	Document []byte `cbor:"16,keyasint,omitempty"`
	// Steps are the changes that lead from the receiver's configuration to the sender's, in their order.
	Steps []cbor.RawMessage `cbor:"18,keyasint,omitempty"`
	// ForwardsChanges is true if the sender follows the store for the nodes of its data centre, Changes are the latest of the
	// endpoints; only these nodes are told.
	PassesOn bool               `cbor:"14,keyasint,omitempty"`
	Changes  []directory.Change `cbor:"15,keyasint,omitempty"`
	// Every is the pause between the sender's reports to the receiver.
	Every time.Duration `cbor:"17,keyasint,omitempty"`
	// Leaving is true once the sender takes no more requests.
	Leaving bool `cbor:"10,keyasint,omitempty"`
}

// missed is how many pauses a report may be late by: two reports may be lost.
const missed = 3

// Validity is how long the report counts as its sender's state.
func (r *Report) Validity() time.Duration { return freshFor(r.Every) }

// freshFor is how long a report counts of a sender that sends one each so often, whatever it says no longer than a silent
// peer is remembered.
func freshFor(every time.Duration) time.Duration {
	return min(max(MinReportValidity, missed*min(every, SilentPeerRetention)), SilentPeerRetention)
}

// Load is what the sender has outstanding at an endpoint.
type Load struct {
	Endpoint domain.EndpointID `cbor:"1,keyasint"`
	Requests int               `cbor:"2,keyasint"`
	// PrefillTokens are of prompts without a first event yet, PromptTokens of all, AnswerTokens are expected still.
	PrefillTokens int `cbor:"3,keyasint,omitempty"`
	PromptTokens  int `cbor:"4,keyasint,omitempty"`
	AnswerTokens  int `cbor:"5,keyasint,omitempty"`
	// TokenMicros is the time in microseconds that the endpoint takes for a token, as the sender sees it; zero if it does
	// not know.
	TokenMicros int `cbor:"6,keyasint,omitempty"`
}

// ServiceDemand is what callers have asked of the sender lately of a service: the requests times the time that each holds a place.
type ServiceDemand struct {
	_       struct{} `cbor:",toarray"`
	Service string
	// PlaceMillis is in milliseconds; what was asked earlier counts for less.
	PlaceMillis int
}

// LimitUsage is what the sender has let through of an organisation's limit in its life, and what it knows to have been used
// by all nodes in the window that ends now, and what may be used at once.
type LimitUsage struct {
	Organisation domain.OrganisationID `cbor:"1,keyasint"`
	Total        float64               `cbor:"2,keyasint"`
	Used         float64               `cbor:"3,keyasint"`
	Level        float64               `cbor:"4,keyasint"`
}

// EndpointLimit is what an endpoint has stated to the sender of the requests a second that it takes from all nodes together.
type EndpointLimit struct {
	_        struct{} `cbor:",toarray"`
	Endpoint domain.EndpointID
	// PerSecond is 0 or more; Ended is true if the endpoint no longer names a limit.
	PerSecond float64
	Ended     bool
	// AgeMillis is how many milliseconds before the report the endpoint stated it.
	AgeMillis int64
}
