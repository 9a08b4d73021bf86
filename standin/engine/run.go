package engine

import (
	"time"
)

// RunState tells how far a run came.
type RunState string

// States of a run.
const (
	RunWaiting   RunState = "waiting"
	RunRunning   RunState = "running"
	RunFinished  RunState = "finished"
	RunCancelled RunState = "cancelled"
	RunCrashed   RunState = "crashed"
)

// Run is the witness of one request that the engine accepted. Two runs with one
// key are two dispatches. Times are by the engine's own clock.
type Run struct {
	Key        string    `json:"key"`
	Model      string    `json:"model"`
	State      RunState  `json:"state"`
	Arrived    time.Time `json:"arrived"`
	Admitted   time.Time `json:"admitted,omitzero"`
	FirstToken time.Time `json:"first_token,omitzero"`
	Ended      time.Time `json:"ended,omitzero"`
	// Leaving is true if the engine had announced that it is leaving.
	Leaving bool `json:"leaving,omitempty"`
	// Sum is the hash of the prompt.
	PromptHash uint64 `json:"sum"`
	// PromptTokens and AnswerTokens are the request's size; Emitted counts answer
	// tokens sent.
	PromptTokens int `json:"prompt_tokens"`
	AnswerTokens int `json:"answer_tokens"`
	Emitted      int `json:"emitted"`
	// Cached prompt tokens were reused, Prefilled ones computed, preemptions
	// included.
	Cached    int `json:"cached"`
	Prefilled int `json:"prefilled"`
}
