// Package config holds the operators' table: tiers, organisations, models,
// services and endpoints with their weights and limits. A Snapshot is one
// accepted revision, immutable, read by the request path without locking.
package config

import (
	"time"

	"hawthornrill.example/hawthornrill/domain"
)

// Revision numbers accepted configurations; a later one is greater. Zero means
// that no configuration is in force.
type Revision uint64

// TierRow describes a tier of service.
type TierRow struct {
	// Name is what organisations refer to.
	Name string `cbor:"1,keyasint,omitempty" toml:"name" csv:"name" json:"name"`
	// Rank 0 is the highest.
	Rank domain.Tier `cbor:"2,keyasint,omitempty" toml:"rank" csv:"rank" json:"rank"`
	// FirstTokenMillis is the aim for the first token, milliseconds; 0 for none.
	FirstTokenMillis int `cbor:"3,keyasint,omitempty" toml:"first_token_ms" csv:"first_token_ms" json:"first_token_ms"`
	// DeadlineMillis is the deadline of a request whose caller gives none.
	DeadlineMillis int `cbor:"4,keyasint,omitempty" toml:"deadline_ms" csv:"deadline_ms" json:"deadline_ms"`
}

// OrganisationRow describes a customer.
type OrganisationRow struct {
	ID domain.OrganisationID `cbor:"1,keyasint,omitempty" toml:"id" csv:"id" json:"id"`
	// Tier is the name of a tier row.
	Tier string `cbor:"2,keyasint,omitempty" toml:"tier" csv:"tier" json:"tier"`
	// Weight is the share within the tier, relative to the others'.
	Weight int `cbor:"3,keyasint,omitempty" toml:"weight" csv:"weight" json:"weight"`
	// InFlight bounds requests admitted and not finished; 0 for no bound.
	InFlight int `cbor:"4,keyasint,omitempty" toml:"in_flight" csv:"in_flight" json:"in_flight"`
	// TokensPerMinute bounds prompt and answer tokens; 0 for no bound.
	TokensPerMinute int `cbor:"5,keyasint,omitempty" toml:"tokens_per_minute" csv:"tokens_per_minute" json:"tokens_per_minute"`
	// KeyHashes are the SHA-256 of the organisation's API keys in hexadecimal,
	// separated by spaces. The keys themselves are kept nowhere.
	KeyHashes string `cbor:"6,keyasint,omitempty" toml:"key_hashes" csv:"key_hashes" json:"key_hashes"`
	// HomeDataCentre decides request keys sent outside a session. One is assigned
	// when the row is accepted without, and it stays while it has endpoints.
	HomeDataCentre domain.DataCentre `cbor:"7,keyasint,omitempty" toml:"home_data_centre" csv:"home_data_centre" json:"home_data_centre"`
}

// ModelRow describes a model that the engines serve.
type ModelRow struct {
	Name string `cbor:"1,keyasint,omitempty" toml:"name" csv:"name" json:"name"`
	// MaxPromptTokens and MaxAnswerTokens bound a request.
	MaxPromptTokens int `cbor:"2,keyasint,omitempty" toml:"max_prompt_tokens" csv:"max_prompt_tokens" json:"max_prompt_tokens"`
	MaxAnswerTokens int `cbor:"3,keyasint,omitempty" toml:"max_answer_tokens" csv:"max_answer_tokens" json:"max_answer_tokens"`
}

// ServiceRow describes calls of a plain service.
type ServiceRow struct {
	Name string `cbor:"1,keyasint,omitempty" toml:"name" csv:"name" json:"name"`
	// Once lists the methods, or "METHOD /path/prefix" pairs, whose calls may not
	// be repeated, separated by commas, such as "POST, PUT /saved-jobs".
	Once string `cbor:"2,keyasint,omitempty" toml:"once" csv:"once" json:"once"`
	// DeadlineMillis is the deadline of a call whose caller gives none.
	DeadlineMillis int `cbor:"3,keyasint,omitempty" toml:"deadline_ms" csv:"deadline_ms" json:"deadline_ms"`
}

// EndpointKind tells a model runner from a plain service.
type EndpointKind string

const (
	// KindEngine is a model runner.
	KindEngine EndpointKind = "engine"
	// KindService is an instance of a plain service.
	KindService EndpointKind = "service"
)

// EndpointRow describes a back end.
type EndpointRow struct {
	ID         domain.EndpointID `cbor:"1,keyasint,omitempty" toml:"id" csv:"id" json:"id"`
	Kind       EndpointKind      `cbor:"2,keyasint,omitempty" toml:"kind" csv:"kind" json:"kind"`
	DataCentre domain.DataCentre `cbor:"3,keyasint,omitempty" toml:"data_centre" csv:"data_centre" json:"data_centre"`
	// Address is "http://IP:port".
	Address string `cbor:"4,keyasint,omitempty" toml:"address" csv:"address" json:"address"`
	// Serves lists model or service names separated by spaces.
	Serves string `cbor:"5,keyasint,omitempty" toml:"serves" csv:"serves" json:"serves"`
	// Generation names the kind of hardware; speeds are learned per generation
	// until the endpoint's own is known.
	Generation string `cbor:"6,keyasint,omitempty" toml:"generation" csv:"generation" json:"generation"`
	// Weight scales the work given to it, 100 for full.
	Weight int `cbor:"7,keyasint,omitempty" toml:"weight" csv:"weight" json:"weight"`
	// Limit bounds requests dispatched and not finished.
	Limit int `cbor:"8,keyasint,omitempty" toml:"limit" csv:"limit" json:"limit"`
	// TokenLimit bounds prompt and expected answer tokens inside the engine; 0 for none.
	TokenLimit int `cbor:"9,keyasint,omitempty" toml:"token_limit" csv:"token_limit" json:"token_limit"`
	// Drain is true while the operator takes it out of service.
	Drain bool `cbor:"10,keyasint,omitempty" toml:"drain" csv:"drain" json:"drain"`
	// ChecksFencing tells whether it refuses orders with an old fencing number.
	ChecksFencing bool `cbor:"11,keyasint,omitempty" toml:"checks_fencing" csv:"checks_fencing" json:"checks_fencing"`
}

// Table is the operators' whole table as they edit it.
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
	// FirstTokenTarget is the tier's aim for the first token; zero for none.
	FirstTokenTarget time.Duration
}

// Snapshot is one accepted revision with indexes. It must not be changed.
type Snapshot struct {
	Revision Revision
	Table    Table
	// Organisations by identifier.
	Organisations map[domain.OrganisationID]*Organisation
	// OrganisationByKeyHash finds the caller by the SHA-256 of its API key.
	OrganisationByKeyHash map[[32]byte]*Organisation
	// Endpoints by identifier.
	Endpoints map[domain.EndpointID]*EndpointRow
	// Pools lists the endpoints of each pool, sorted by identifier.
	Pools map[domain.PoolName][]*EndpointRow
	// Models and Services by name.
	Models   map[string]*ModelRow
	Services map[string]*ServiceRow
	// NonIdempotentRules tells by service name which calls may not be repeated.
	NonIdempotentRules map[string]NonIdempotentRules
}

// View gives the snapshot in force without locking; nil before the first one.
type View interface {
	Current() *Snapshot
}
