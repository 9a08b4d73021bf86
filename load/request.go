package load

import (
	"time"

	"hawthornrill.example/hawthornrill/domain"
)

// Request is one request of a workload, with all that its callers will do.
type Request struct {
	// Key is the idempotency key, unique in the workload.
	Key          string                `json:"key"`
	Kind         string                `json:"kind"`
	Organisation domain.OrganisationID `json:"organisation"`
	Tier         domain.Tier           `json:"tier"`
	DataCentre   domain.DataCentre     `json:"data_centre"`
	// At is when it is sent, counted from the start.
	At time.Duration `json:"at"`
	// Patience is how long after At a complete answer is on time; TimeToFirstToken is the
	// aim for its first token, zero for none.
	Timeout          time.Duration `json:"patience"`
	FirstTokenTarget time.Duration `json:"first_token"`

	Method string `json:"method"`
	Path   string `json:"path"`
	Body   []byte `json:"-"`
	// Once marks a plain call that must not be repeated.
	NonIdempotent bool `json:"once"`
	// RetryAfter is when an impatient caller sends it again with the same key, at
	// another node if there is one; zero for never. HangUpAfter is when the caller
	// goes away for good.
	RetryAfter  time.Duration `json:"retry_after"`
	HangUpAfter time.Duration `json:"hang_up_after"`

	// PromptTokens, NewTokens and AnswerTokens size a model's request; NewTokens is
	// the part of the prompt that no request before it had.
	PromptTokens int `json:"prompt_tokens"`
	NewTokens    int `json:"new_tokens"`
	AnswerTokens int `json:"answer_tokens"`
}

// Model reports whether the request is for a model and not for a plain service.
func (r *Request) IsModelRequest() bool { return r.AnswerTokens > 0 }
