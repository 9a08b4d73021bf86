package gateway

import (
	"net/http"
	"time"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/endpointlimit"
)

// Call is what the head of a caller's request says.
type Call struct {
	// ID names this attempt of the caller.
	ID string
	// Key is the organisation's key, empty if there is none.
	Key string
	// Patience is how long the caller waits for the whole answer; zero if it does not say.
	Timeout time.Duration
	// PromptTokens and MaxAnswerTokens describe a model's request, ExpectedAnswerTokens is the caller's guess; zero if
	// it does not say.
	PromptTokens         int
	MaxAnswerTokens      int
	ExpectedAnswerTokens int
	// Prompt are the parts of the prompt, the first one first.
	Prompt []PromptPart
	// LastEventID is the id of the last event that the caller has, empty at the beginning.
	LastEventID string
}

// PromptPart is a part of a prompt. Engines that keep it, and all parts before it, need not read it again.
type PromptPart struct {
	Hash   uint64
	Tokens int
}

// blocks returns what identifies each part together with all before it, and their tokens.
func (c *Call) blocks() (hashes []uint64, tokens []int) {
	before := uint64(0)
	for _, part := range c.Prompt {
		before = (before ^ part.Hash) * hashMultiplier
		hashes = append(hashes, before)
		tokens = append(tokens, part.Tokens)
	}
	return hashes, tokens
}

// hashMultiplier mixes the hashes of parts in their order (the 64-bit FNV prime).
const hashMultiplier = 0x100000001b3

// Tokens is what the call counts under a limit on tokens.
func (c *Call) Tokens() int { return c.PromptTokens + c.MaxAnswerTokens }

// AnswerTokens is the length of the answer to expect.
func (c *Call) AnswerTokens() int {
	if c.ExpectedAnswerTokens > 0 {
		return min(c.ExpectedAnswerTokens, max(c.MaxAnswerTokens, 1))
	}
	return c.MaxAnswerTokens
}

// Dispatch is what the system tells an endpoint beside the caller's request.
type Dispatch struct {
	Endpoint     domain.EndpointID
	Organisation domain.OrganisationID
	// TimeLeft is what is left of the time that the request may take.
	TimeLeft time.Duration
	// LastEventID is the id of the last event passed on, empty at the beginning.
	LastEventID string
}

// AnswerHead is what the head of an endpoint's answer says.
type AnswerHead struct {
	// ID is the request that it answers, empty if it does not say.
	ID string
	// NotRun is the endpoint's promise that it did not and will not run the request.
	NotRun bool
	// Signed is true if the answer is the endpoint's own, rather than something on the way.
	Signed bool
	// Limit is what the endpoint says of how many requests a second it takes from all nodes together.
	Limit endpointlimit.Advertisement
}

// Protocol translates heads. Implementations decide nothing.
type Protocol interface {
	// ReadCall decodes a caller's head; its error tells the caller what is wrong.
	ReadCall(head http.Header) (Call, error)
	// WriteDispatch makes a caller's head, without what concerns one connection, that of a dispatch.
	WriteDispatch(head http.Header, d Dispatch)
	// ReadAnswer decodes the head of an answer.
	ReadAnswer(status int, head http.Header) AnswerHead
}
