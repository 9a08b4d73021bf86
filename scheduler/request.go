package scheduler

import (
	"time"

	"hawthornrill.example/hawthornrill/config"
	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/endpoint"
	"hawthornrill.example/hawthornrill/ledger"
)

// Request is one admitted request of a caller. It must not be changed after
// Submit.
type Request struct {
	Key domain.RequestKey
	// Minted says that the key was made for this attempt: no earlier one exists.
	GeneratedKey bool
	Organisation *config.Organisation
	Pool         domain.PoolName
	// Fingerprint covers what is asked, to notice a key used twice.
	Fingerprint ledger.Fingerprint
	// Content covers what is asked without key and caller, to recognise a request
	// that crashes endpoints.
	ContentHash uint64
	// PromptTokens, AnswerTokens and Blocks describe a model's request.
	PromptTokens int
	AnswerTokens int
	Blocks       []uint64
	// Deadline is how long the request may wait for a place; once dispatched it
	// goes on to its end.
	Deadline time.Duration
	// CancelOnDisconnect says that the caller can't come back for the answer: the request is
	// cancelled as soon as the caller is gone.
	CancelOnDisconnect bool
	// Body is a model's JSON body with "stream" set to true; nil for a plain call.
	Body []byte
	// Call is a plain call; nil for a model.
	Call *endpoint.ServiceRequest
}
