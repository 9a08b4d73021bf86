package entry

import "encoding/json"

// completionEvent is one event of a model's stream.
type completionEvent struct {
	ID                string `json:"id"`
	Created           int64  `json:"created"`
	Model             string `json:"model"`
	SystemFingerprint string `json:"system_fingerprint"`
	Choices           []struct {
		Index int `json:"index"`
		Delta struct {
			Role      string          `json:"role"`
			Content   *string         `json:"content"`
			Refusal   string          `json:"refusal"`
			ToolCalls []toolCallDelta `json:"tool_calls"`
		} `json:"delta"`
		Logprobs     *logprobs `json:"logprobs"`
		FinishReason *string   `json:"finish_reason"`
	} `json:"choices"`
	Usage json.RawMessage `json:"usage"`
}

type toolCallDelta struct {
	Index    int    `json:"index"`
	ID       string `json:"id"`
	Type     string `json:"type"`
	Function struct {
		Name      string `json:"name"`
		Arguments string `json:"arguments"`
	} `json:"function"`
}
