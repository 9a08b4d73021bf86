package coordinator

import "hawthornrill.example/hawthornrill/domain"

// ModelDemand is the demand for one model in one data centre.
type ModelDemand struct {
	// Waiting counts requests without a slot, Running those that hold one.
	Waiting int `cbor:"1,keyasint,omitempty" json:"waiting"`
	Running int `cbor:"2,keyasint,omitempty" json:"running"`
	// Tokens are reserved for the running requests: prompts and expected answers.
	Tokens int `cbor:"3,keyasint,omitempty" json:"tokens"`
}

func (d ModelDemand) isZero() bool { return d == ModelDemand{} }

// ModelLocation identifies a model in a data centre.
type ModelLocation struct {
	Model      string
	DataCentre domain.DataCentre
}

// DemandSource returns, by model, the demand on the pools that this node owns in
// its own data centre. A model without requests is present with a zero ModelDemand;
// the demand for a model that is left out is unknown.
type DemandSource interface {
	Demand() map[string]ModelDemand
}
