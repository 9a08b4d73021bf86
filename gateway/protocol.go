package gateway

import (
	"net/http"
	"strconv"
	"time"

	"hawthornrill.example/hawthornrill/brittle"
	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/endpointgate"
	"hawthornrill.example/hawthornrill/endpointlimit"
)

// Call is the decoded header of a caller's request.
type Call struct {
	// ID identifies this attempt of the caller.
	ID string
	// Key is the organisation's API key, empty if there is none.
	Key string
	// Timeout is how long the caller waits for the complete response; zero if not stated.
	Timeout time.Duration
	// PromptTokens and MaxAnswerTokens are the sizes of a model request, ExpectedAnswerTokens is the caller's estimate of
	// the response's length; zero if not stated.
	PromptTokens         int
	MaxAnswerTokens      int
	ExpectedAnswerTokens int
	// Model is the model that the call is for, empty if not stated.
	Model string
	// Prompt holds the parts of the prompt in order.
	Prompt []PromptPart
	// LastEventID is the id of the last event that the caller received, empty if it received none.
	LastEventID string
	// Resumes is the ID of the attempt that brought the first event of the stream that the call continues, empty if not stated.
	Resumes string
}

// PromptPart is a part of a prompt. An engine that has it and all parts before it in its cache need not prefill it again.
type PromptPart struct {
	Hash   uint64
	Tokens int
}

// prefixBlocks returns, for each part of the prompt, a hash of the prefix that ends with it and the part's tokens.
func (c *Call) prefixBlocks() (hashes []uint64, tokens []int) {
	before := uint64(0)
	for _, part := range c.Prompt {
		before = (before ^ part.Hash) * hashMultiplier
		hashes = append(hashes, before)
		tokens = append(tokens, part.Tokens)
	}
	return hashes, tokens
}

// maxLoggedParts bounds the parts of a prompt in a log line.
const maxLoggedParts = 16

// partHashes returns the hashes of the prompt's parts in order.
func (c *Call) partHashes() []uint64 {
	if len(c.Prompt) == 0 {
		return nil
	}
	hashes := make([]uint64, 0, len(c.Prompt))
	for _, part := range c.Prompt {
		hashes = append(hashes, part.Hash)
	}
	return hashes
}

// partNames returns the hashes of the prompt's first parts in hexadecimal, for the log.
func (c *Call) partNames() []string {
	names := make([]string, 0, min(len(c.Prompt), maxLoggedParts))
	for _, part := range c.Prompt[:cap(names)] {
		names = append(names, strconv.FormatUint(part.Hash, 16))
	}
	return names
}

// hashMultiplier is the 64-bit FNV prime; it makes a prefix's hash depend on the order of its parts.
const hashMultiplier = 0x100000001b3

// Tokens is the number of tokens that the call is charged under a token limit.
func (c *Call) Tokens() int { return c.PromptTokens + c.MaxAnswerTokens }

// AnswerTokens is the expected length of the response in tokens.
func (c *Call) AnswerTokens() int {
	if c.ExpectedAnswerTokens > 0 {
		return min(c.ExpectedAnswerTokens, max(c.MaxAnswerTokens, 1))
	}
	return c.MaxAnswerTokens
}

// Dispatch is what the gateway adds to the caller's header when it sends a request to an endpoint.
type Dispatch struct {
	Endpoint     domain.EndpointID
	Organisation domain.OrganisationID
	// TimeLeft is the time until the request's deadline.
	TimeLeft time.Duration
	// LastEventID is the id of the last event forwarded, empty if there was none.
	LastEventID string
}

// AnswerHead is the decoded header of an endpoint's response.
type AnswerHead struct {
	// ID is the id of the request that it responds to, empty if not stated.
	ID string
	// NotRun is the endpoint's promise that it has not run the request and will not.
	NotRun bool
	// Signed is true if the response comes from the endpoint itself and not from an intermediary.
	Signed bool
	// Limit is the request rate that the endpoint accepts from all nodes together.
	Limit endpointlimit.Advertisement
	// Brittle is what the endpoint says about rejecting requests.
	Brittle brittle.Statement
	// Notice is what the endpoint says about further requests.
	Notice endpointgate.Notice
}

// Protocol translates headers to and from the deployment's format. Implementations make no decisions.
type Protocol interface {
	// ReadCall decodes the header of a caller's request; its error is shown to the caller.
	ReadCall(head http.Header) (Call, error)
	// WriteDispatch turns a caller's header, without its hop-by-hop fields, into that of a dispatch.
	WriteDispatch(head http.Header, d Dispatch)
	// ReadAnswer decodes the header of an endpoint's response.
	ReadAnswer(status int, head http.Header) AnswerHead
}
