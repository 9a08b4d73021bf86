package coordinator

import "hawthornrill.example/hawthornrill/domain"

// ModelDemand is what the requests for a model need in one data centre.
type ModelDemand struct {
	// Waiting counts asks without a place, Running those that have one.
	Waiting int `cbor:"1,keyasint,omitempty" json:"waiting"`
	Running int `cbor:"2,keyasint,omitempty" json:"running"`
	// Tokens are reserved for the running ones, prompts and expected answers.
	Tokens int `cbor:"3,keyasint,omitempty" json:"tokens"`
}

// none reports whether nothing is asked.
func (l ModelDemand) none() bool { return l == ModelDemand{} }

// ModelLocation is a model in a data centre.
type ModelLocation struct {
	Model      string
	DataCentre domain.DataCentre
}

// DemandSource tells, by model, what the pools need that this node owns, in its own
// data centre. A model without a request is there with a zero Load: one that is
// left out is unknown.
type DemandSource interface {
	Demand() map[string]ModelDemand
}
