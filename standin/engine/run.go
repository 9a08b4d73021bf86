package engine

import (
	"time"
)

// RunState is the state of a run.
type RunState string

// States of a run.
const (
	RunWaiting   RunState = "waiting"
	RunRunning   RunState = "running"
	RunFinished  RunState = "finished"
	RunCancelled RunState = "cancelled"
	RunCrashed   RunState = "crashed"
)

// Run records one request that the engine accepted. Two runs with the same key are
// two dispatches. Times are taken from the engine's clock.
type Run struct {
	Key        string    `json:"key"`
	Model      string    `json:"model"`
	State      RunState  `json:"state"`
	Arrived    time.Time `json:"arrived"`
	Admitted   time.Time `json:"admitted,omitzero"`
	FirstToken time.Time `json:"first_token,omitzero"`
	Ended      time.Time `json:"ended,omitzero"`
	// Leaving is true if the engine had announced that it is leaving when the
	// request arrived.
	Leaving    bool   `json:"leaving,omitempty"`
	PromptHash uint64 `json:"sum"`
	// PromptTokens and AnswerTokens are the size of the request; Emitted counts the
	// answer tokens generated so far.
	PromptTokens int `json:"prompt_tokens"`
	AnswerTokens int `json:"answer_tokens"`
	Emitted      int `json:"emitted"`
	// Cached counts prompt tokens reused from the cache, Prefilled those computed.
	// Both include recomputation after preemptions.
	Cached    int `json:"cached"`
	Prefilled int `json:"prefilled"`
}
