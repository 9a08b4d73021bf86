package gossip

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"hawthornrill.example/hawthornrill/boottime"
	"hawthornrill.example/hawthornrill/directory"
	"hawthornrill.example/hawthornrill/domain"
)

// Report is the state that a node sends to another. A later report replaces an earlier one.
type Report struct {
	From domain.NodeID `cbor:"1,keyasint"`
	// Life identifies the sender's process and changes with each restart.
	Life       uint64            `cbor:"2,keyasint"`
	DataCentre domain.DataCentre `cbor:"11,keyasint"`
	// SentAt is the time of sending by the sender's clock. Echo is the latest SentAt received from the receiver's process
	// EchoLife.
	SentAt   boottime.Instant `cbor:"3,keyasint"`
	Echo     boottime.Instant `cbor:"4,keyasint,omitempty"`
	EchoLife uint64           `cbor:"5,keyasint,omitempty"`
	// Version is the sender's configuration version, Age the age of that knowledge when the report was sent.
	Version uint64        `cbor:"6,keyasint,omitempty"`
	Age     time.Duration `cbor:"7,keyasint,omitempty"`
	// Endpoints is the revision of the last endpoint change known to the sender.
	Endpoints uint64 `cbor:"12,keyasint,omitempty"`
	// EndpointsAgeMillis is the age in milliseconds of the sender's knowledge that its list of endpoints is complete, zero if that is
	// unknown. StoreRevision is the latest revision that the store has stated to any node, as far as the sender knows.
	EndpointsAgeMillis int    `cbor:"37,keyasint,omitempty"`
	StoreRevision      uint64 `cbor:"38,keyasint,omitempty"`
	// StoreAnsweredMillis is how many milliseconds ago the store was last known to answer a node, zero if that is unknown.
	// StoreSinceMillis is since when it has been available, zero if that is longer ago than the sender states.
	StoreAnsweredMillis int `cbor:"34,keyasint,omitempty"`
	StoreSinceMillis    int `cbor:"35,keyasint,omitempty"`
	// StoreFails is true while the sender's own calls to the store fail.
	StoreFails bool `cbor:"36,keyasint,omitempty"`
	// Loads are the sender's outstanding requests, by endpoint.
	Loads []Load `cbor:"8,keyasint,omitempty"`
	// Asked is the demand of the sender's callers, by service.
	Asked []ServiceDemand `cbor:"19,keyasint,omitempty"`
	// Failed are the endpoints that have recently said to the sender that they failed, by their own answers.
	Failed []domain.EndpointID `cbor:"13,keyasint,omitempty"`
	// NotReached are the endpoints of which the sender has recently got no answer. They may be sound.
	NotReached []UnreachedEndpoint `cbor:"24,keyasint,omitempty"`
	// Limits are the limits that endpoints have recently stated to the sender.
	Limits []EndpointLimit `cbor:"21,keyasint,omitempty"`
	// Reach is whether the sender reaches the endpoints of services that a node has lost.
	Reach []ServiceReach `cbor:"22,keyasint,omitempty"`
	// Forwards is the address, "IP:port", at which the sender takes requests of other nodes, set if it reaches one of these services.
	Forwards string `cbor:"23,keyasint,omitempty"`
	// Brittle are the services about whose brittleness endpoints have recently told the sender.
	Brittle []BrittleService `cbor:"25,keyasint,omitempty"`
	// Lent are the shares of brittle endpoints' slots that the sender leaves to others.
	Lent []LentShare `cbor:"33,keyasint,omitempty"`
	// EndedAnswers, SoundParts and Alive are the sender's latest evidence on parts of prompts that end endpoints. CrashParts are all parts that
	// were identified, sent to peers with another digest than PartsDigest.
	EndedAnswers []EndedAnswer   `cbor:"28,keyasint,omitempty"`
	SoundParts   []SoundPart     `cbor:"29,keyasint,omitempty"`
	Alive        []AliveEndpoint `cbor:"30,keyasint,omitempty"`
	CrashParts   []CrashParts    `cbor:"31,keyasint,omitempty"`
	PartsDigest  uint64          `cbor:"32,keyasint,omitempty"`
	// Spent is the usage of the organisations' limits as known to the sender.
	Spent []LimitUsage `cbor:"9,keyasint,omitempty"`
	// Document is the sender's configuration as written by the operators, for a receiver that lacks it.
	Document []byte `cbor:"16,keyasint,omitempty"`
	// Steps are the consecutive changes from the receiver's configuration to the sender's, encoded.
	Steps []cbor.RawMessage `cbor:"18,keyasint,omitempty"`
	// PassesOn is true if the sender forwards endpoint changes to the nodes of its data centre. Changes are the latest
	// endpoint changes, sent only to those nodes.
	PassesOn bool               `cbor:"14,keyasint,omitempty"`
	Changes  []directory.Change `cbor:"15,keyasint,omitempty"`
	// Versions are the software versions of the endpoints listed by Changes, change by change in the same order. StatesVersions is
	// true if the sender passes versions on, too; earlier programs don't.
	Versions       [][]string `cbor:"26,keyasint,omitempty"`
	StatesVersions bool       `cbor:"27,keyasint,omitempty"`
	// Every is the interval between the sender's reports to the receiver.
	Every time.Duration `cbor:"17,keyasint,omitempty"`
	// Leaving is true once the sender accepts no more requests.
	Leaving bool `cbor:"10,keyasint,omitempty"`
}

// validityIntervals is the number of report intervals for which a report is valid: two reports may be lost.
const validityIntervals = 3

// Validity is how long the report counts as its sender's current state.
func (r *Report) Validity() time.Duration { return validity(r.Every) }

// validity is how long a report is valid if its sender reports at the interval. It never exceeds the retention of a silent
// peer, whatever interval the sender states.
func validity(interval time.Duration) time.Duration {
	return min(max(MinReportValidity, validityIntervals*min(interval, SilentPeerRetention)), SilentPeerRetention)
}

// Load is the sender's outstanding work at an endpoint.
type Load struct {
	Endpoint domain.EndpointID `cbor:"1,keyasint"`
	Requests int               `cbor:"2,keyasint"`
	// PrefillTokens counts the prompt tokens of requests without a first event yet, PromptTokens those of all requests, and
	// AnswerTokens the tokens still expected.
	PrefillTokens int `cbor:"3,keyasint,omitempty"`
	PromptTokens  int `cbor:"4,keyasint,omitempty"`
	AnswerTokens  int `cbor:"5,keyasint,omitempty"`
	// TokenMicros is the endpoint's time per token in microseconds as observed by the sender, zero if unknown.
	TokenMicros int `cbor:"6,keyasint,omitempty"`
}

// UnreachedEndpoint is an endpoint of which the sender got no answer, AgeMillis milliseconds ago.
type UnreachedEndpoint struct {
	_         struct{} `cbor:",toarray"`
	Endpoint  domain.EndpointID
	AgeMillis int
}

// BrittleService is what an endpoint stated about its service AgeMillis milliseconds ago: that its endpoints fall over if they
// reject more than MaxRejections requests in a second or, if Ended is true, that they don't.
type BrittleService struct {
	_             struct{} `cbor:",toarray"`
	Service       string
	MaxRejections int
	Ended         bool
	AgeMillis     int64
}

// LentShare says that the sender leaves its share of the slots to another node at some of the endpoints of a service: Quarters of
// each four, 1 to 3.
type LentShare struct {
	_        struct{} `cbor:",toarray"`
	Service  string
	To       domain.NodeID
	Quarters int
}

// ServiceReach is whether the sender reaches the endpoints of a service.
type ServiceReach struct {
	_       struct{} `cbor:",toarray"`
	Service string
	// Lost is true if the sender reaches none of them. Otherwise AgeMillis is the time in milliseconds since it last heard from one.
	Lost      bool
	AgeMillis int
}

// DemandDecay is the time constant with which the demand counts lose weight, after which a request counts for a third: bursts last
// for seconds.
const DemandDecay = 2 * time.Second

// ServiceDemand is the recent demand of the sender's callers for a service: requests times the time for which each holds a
// place.
type ServiceDemand struct {
	_       struct{} `cbor:",toarray"`
	Service string
	// PlaceMillis is in milliseconds; earlier requests are weighted less.
	PlaceMillis int
}

// Places is the mean number of places that the demand needs.
func (d ServiceDemand) Places() float64 {
	return float64(d.PlaceMillis) / float64(DemandDecay.Milliseconds())
}

// LimitUsage is the usage of an organisation's limit: Total is what the sender has admitted since its process started, Used
// the known usage by all nodes in the current window, and Level what may be used at once.
type LimitUsage struct {
	Organisation domain.OrganisationID `cbor:"1,keyasint"`
	Total        float64               `cbor:"2,keyasint"`
	Used         float64               `cbor:"3,keyasint"`
	Level        float64               `cbor:"4,keyasint"`
}

// EndpointLimit is the rate of requests from all nodes together that an endpoint has stated to the sender.
type EndpointLimit struct {
	_        struct{} `cbor:",toarray"`
	Endpoint domain.EndpointID
	// PerSecond is 0 or more. Ended is true if the endpoint no longer states a limit.
	PerSecond float64
	Ended     bool
	// AgeMillis is the time in milliseconds between the endpoint's statement and the report.
	AgeMillis int64
}
