package load

import (
	"time"

	"hawthornrill.example/hawthornrill/domain"
)

// Request is one request of a workload, including the behaviour of its caller.
type Request struct {
	// Key is the idempotency key, unique within the workload.
	Key          string                `json:"key"`
	Kind         string                `json:"kind"`
	Organisation domain.OrganisationID `json:"organisation"`
	Tier         domain.Tier           `json:"tier"`
	DataCentre   domain.DataCentre     `json:"data_centre"`
	// At is the time at which the request is sent, relative to the start of the run.
	At time.Duration `json:"at"`
	// Timeout is the time after At within which a complete response counts as on time.
	// FirstTokenTarget is the target for the time to first token, zero for none.
	Timeout          time.Duration `json:"patience"`
	FirstTokenTarget time.Duration `json:"first_token"`

	Method string `json:"method"`
	Path   string `json:"path"`
	Body   []byte `json:"-"`
	// NonIdempotent marks a service call that must not be executed twice.
	NonIdempotent bool `json:"once"`
	// RetryAfter is the time after which the caller sends the request again with the
	// same key, to another node if there is one; zero for no retry. HangUpAfter is the
	// time after which the caller disconnects and does not return; zero for never.
	RetryAfter  time.Duration `json:"retry_after"`
	HangUpAfter time.Duration `json:"hang_up_after"`

	// PromptTokens, NewTokens and AnswerTokens are the sizes of a model request.
	// NewTokens is the part of the prompt that no earlier request contained.
	PromptTokens int `json:"prompt_tokens"`
	NewTokens    int `json:"new_tokens"`
	AnswerTokens int `json:"answer_tokens"`
}

// IsModelRequest reports whether the request is for a model, as opposed to a service
// call.
func (r *Request) IsModelRequest() bool { return r.AnswerTokens > 0 }
