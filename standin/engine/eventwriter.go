package engine

import (
	"encoding/json"
	"fmt"
	"time"
)

// eventWriter renders the events of one answer as chat completion chunks.
type eventWriter struct {
	before string
}

const (
	firstDelta = `"choices":[{"index":0,"delta":{"role":"assistant","content":"`
	nextDelta  = `"choices":[{"index":0,"delta":{"content":"`
	afterDelta = `"},"finish_reason":null}]}`
	// done is the last event's data.
	done = "[DONE]"
)

func newEventWriter(key, model string, created time.Time) eventWriter {
	id, _ := json.Marshal("chatcmpl-" + key)
	name, _ := json.Marshal(model)
	before := fmt.Sprintf(`{"id":%s,"object":"chat.completion.chunk","created":%d,"model":%s,`, id, created.Unix(), name)
	return eventWriter{before: before}
}

// token renders one token, whose text needs no escaping.
func (w eventWriter) token(text string, first bool) []byte {
	delta := nextDelta
	if first {
		delta = firstDelta
	}
	data := make([]byte, 0, len(w.before)+len(delta)+len(text)+len(afterDelta))
	data = append(data, w.before...)
	data = append(data, delta...)
	data = append(data, text...)
	return append(data, afterDelta...)
}

// finish renders the last chunk.
func (w eventWriter) finish(reason string, u usage) []byte {
	usage, _ := json.Marshal(u)
	return fmt.Appendf(nil, `%s"choices":[{"index":0,"delta":{},"finish_reason":"%s"}],"usage":%s}`, w.before, reason, usage)
}

// usage is the account at the end of an answer.
type usage struct {
	PromptTokens     int           `json:"prompt_tokens"`
	CompletionTokens int           `json:"completion_tokens"`
	TotalTokens      int           `json:"total_tokens"`
	Details          promptDetails `json:"prompt_tokens_details"`
}

type promptDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

func newUsage(prompt, completion, cached int) usage {
	return usage{
		PromptTokens:     prompt,
		CompletionTokens: completion,
		TotalTokens:      prompt + completion,
		Details:          promptDetails{CachedTokens: cached},
	}
}
