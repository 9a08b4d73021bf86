// Package config defines the operators' configuration table: tiers, organisations,
// models, services and endpoints with their weights and limits. A Snapshot is one
// accepted revision. It is immutable, and the request path reads it without locking.
package config

import (
	"time"

	"hawthornrill.example/hawthornrill/domain"
)

// Revision numbers accepted configurations in increasing order. Zero means that no
// configuration is in force.
type Revision uint64

// TierRow describes a tier of service.
type TierRow struct {
	// Name is referenced by OrganisationRow.Tier.
	Name string `cbor:"1,keyasint,omitempty" toml:"name" csv:"name" json:"name"`
	// Rank is the tier's priority; 0 is the highest.
	Rank domain.Tier `cbor:"2,keyasint,omitempty" toml:"rank" csv:"rank" json:"rank"`
	// FirstTokenMillis is the target time to first token in milliseconds; 0 for none.
	FirstTokenMillis int `cbor:"3,keyasint,omitempty" toml:"first_token_ms" csv:"first_token_ms" json:"first_token_ms"`
	// DeadlineMillis is the default deadline of requests that specify none.
	DeadlineMillis int `cbor:"4,keyasint,omitempty" toml:"deadline_ms" csv:"deadline_ms" json:"deadline_ms"`
}

// OrganisationRow describes a customer.
type OrganisationRow struct {
	ID domain.OrganisationID `cbor:"1,keyasint,omitempty" toml:"id" csv:"id" json:"id"`
	// Tier is the name of a TierRow.
	Tier string `cbor:"2,keyasint,omitempty" toml:"tier" csv:"tier" json:"tier"`
	// Weight is the organisation's weight relative to the others of its tier.
	Weight int `cbor:"3,keyasint,omitempty" toml:"weight" csv:"weight" json:"weight"`
	// InFlight limits the admitted requests that are not finished; 0 for no limit.
	InFlight int `cbor:"4,keyasint,omitempty" toml:"in_flight" csv:"in_flight" json:"in_flight"`
	// TokensPerMinute limits prompt and answer tokens; 0 for no limit.
	TokensPerMinute int `cbor:"5,keyasint,omitempty" toml:"tokens_per_minute" csv:"tokens_per_minute" json:"tokens_per_minute"`
	// KeyHashes are the hexadecimal SHA-256 hashes of the organisation's API keys,
	// separated by spaces. The keys themselves are not stored.
	KeyHashes string `cbor:"6,keyasint,omitempty" toml:"key_hashes" csv:"key_hashes" json:"key_hashes"`
	// HomeDataCentre decides request keys sent outside a session. If empty, one is
	// assigned when the row is accepted. It can't change while that data centre has
	// endpoints.
	HomeDataCentre domain.DataCentre `cbor:"7,keyasint,omitempty" toml:"home_data_centre" csv:"home_data_centre" json:"home_data_centre"`
}

// ModelRow describes a model that the engines serve.
type ModelRow struct {
	Name string `cbor:"1,keyasint,omitempty" toml:"name" csv:"name" json:"name"`
	// MaxPromptTokens and MaxAnswerTokens limit each request.
	MaxPromptTokens int `cbor:"2,keyasint,omitempty" toml:"max_prompt_tokens" csv:"max_prompt_tokens" json:"max_prompt_tokens"`
	MaxAnswerTokens int `cbor:"3,keyasint,omitempty" toml:"max_answer_tokens" csv:"max_answer_tokens" json:"max_answer_tokens"`
}

// ServiceRow describes a plain service and its calls.
type ServiceRow struct {
	Name string `cbor:"1,keyasint,omitempty" toml:"name" csv:"name" json:"name"`
	// Once lists the non-idempotent calls, which must not be retried, as methods or
	// "METHOD /path/prefix" pairs separated by commas, such as "POST, PUT /saved-jobs".
	Once string `cbor:"2,keyasint,omitempty" toml:"once" csv:"once" json:"once"`
	// DeadlineMillis is the default deadline of calls that specify none.
	DeadlineMillis int `cbor:"3,keyasint,omitempty" toml:"deadline_ms" csv:"deadline_ms" json:"deadline_ms"`
}

// EndpointKind distinguishes inference engines from plain services.
type EndpointKind string

const (
	// KindEngine is an inference engine.
	KindEngine EndpointKind = "engine"
	// KindService is an instance of a plain service.
	KindService EndpointKind = "service"
)

// EndpointRow describes a back-end endpoint.
type EndpointRow struct {
	ID         domain.EndpointID `cbor:"1,keyasint,omitempty" toml:"id" csv:"id" json:"id"`
	Kind       EndpointKind      `cbor:"2,keyasint,omitempty" toml:"kind" csv:"kind" json:"kind"`
	DataCentre domain.DataCentre `cbor:"3,keyasint,omitempty" toml:"data_centre" csv:"data_centre" json:"data_centre"`
	// Address is "http://IP:port".
	Address string `cbor:"4,keyasint,omitempty" toml:"address" csv:"address" json:"address"`
	// Serves lists the names of the models or services, separated by spaces.
	Serves string `cbor:"5,keyasint,omitempty" toml:"serves" csv:"serves" json:"serves"`
	// Generation is the hardware generation. Its learned speed is used until the
	// endpoint's own is known.
	Generation string `cbor:"6,keyasint,omitempty" toml:"generation" csv:"generation" json:"generation"`
	// Weight scales the endpoint's share of the load; 100 is the full share.
	Weight int `cbor:"7,keyasint,omitempty" toml:"weight" csv:"weight" json:"weight"`
	// Limit is the maximum number of dispatched requests that are not finished.
	Limit int `cbor:"8,keyasint,omitempty" toml:"limit" csv:"limit" json:"limit"`
	// TokenLimit limits the prompt and expected answer tokens in the engine; 0 for no
	// limit.
	TokenLimit int `cbor:"9,keyasint,omitempty" toml:"token_limit" csv:"token_limit" json:"token_limit"`
	// Drain is true while the operator is draining the endpoint.
	Drain bool `cbor:"10,keyasint,omitempty" toml:"drain" csv:"drain" json:"drain"`
	// ChecksFencing is true if the endpoint rejects commands with an outdated fencing
	// token.
	ChecksFencing bool `cbor:"11,keyasint,omitempty" toml:"checks_fencing" csv:"checks_fencing" json:"checks_fencing"`
}

// Table is the complete configuration table in the form that operators edit.
type Table struct {
	Tiers         []TierRow         `toml:"tiers" json:"tiers"`
	Organisations []OrganisationRow `toml:"organisations" json:"organisations"`
	Models        []ModelRow        `toml:"models" json:"models"`
	Services      []ServiceRow      `toml:"services" json:"services"`
	Endpoints     []EndpointRow     `toml:"endpoints" json:"endpoints"`
}

// Organisation is an organisation row resolved for the request path.
type Organisation struct {
	OrganisationRow
	Rank            domain.Tier
	DefaultDeadline time.Duration
	// FirstTokenTarget is the tier's target time to first token; zero for none.
	FirstTokenTarget time.Duration
}

// Snapshot is one accepted revision with its indexes. It must not be modified.
type Snapshot struct {
	Revision Revision
	Table    Table
	// Organisations by identifier.
	Organisations map[domain.OrganisationID]*Organisation
	// OrganisationByKeyHash maps the SHA-256 hash of an API key to its organisation.
	OrganisationByKeyHash map[[32]byte]*Organisation
	// Endpoints by identifier.
	Endpoints map[domain.EndpointID]*EndpointRow
	// Pools lists the endpoints of each pool, sorted by identifier.
	Pools map[domain.PoolName][]*EndpointRow
	// Models and Services by name.
	Models   map[string]*ModelRow
	Services map[string]*ServiceRow
	// NonIdempotentRules by service name.
	NonIdempotentRules map[string]NonIdempotentRules
}

// View provides the snapshot in force without locking. It is nil until the first
// one is in force.
type View interface {
	Current() *Snapshot
}
