package scheduler

import (
	"time"

	"hawthornrill.example/hawthornrill/config"
	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/endpoint"
	"hawthornrill.example/hawthornrill/ledger"
)

// Request is one admitted request of a caller. It must not be modified after Submit.
type Request struct {
	Key domain.RequestKey
	// GeneratedKey is true if the key was generated for this attempt, so that no
	// earlier attempt exists.
	GeneratedKey bool
	Organisation *config.Organisation
	Pool         domain.PoolName
	// Fingerprint covers the request's contents, to detect a key reused for another
	// request.
	Fingerprint ledger.Fingerprint
	// ContentHash covers the request's contents without key and caller, to recognise
	// a request that crashes endpoints.
	ContentHash uint64
	// PromptTokens, AnswerTokens and Blocks (hashes of the prompt's prefix blocks)
	// describe a model request.
	PromptTokens int
	AnswerTokens int
	Blocks       []uint64
	// Deadline bounds the wait for a slot. A request that has been dispatched runs to
	// its end.
	Deadline time.Duration
	// CancelOnDisconnect is true if the caller can't reconnect to read the answer:
	// the request is cancelled as soon as the caller disconnects.
	CancelOnDisconnect bool
	// Body is a model's JSON body with "stream" set to true; nil for a service call.
	Body []byte
	// Call is a service call; nil for a model request.
	Call *endpoint.ServiceRequest
}
