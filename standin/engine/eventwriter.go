package engine

import (
	"encoding/json"
	"fmt"
	"time"
)

// eventWriter renders the events of one answer as chat completion chunks.
type eventWriter struct {
	head string // start of each chunk, up to its choices
}

const (
	firstDelta = `"choices":[{"index":0,"delta":{"role":"assistant","content":"`
	nextDelta  = `"choices":[{"index":0,"delta":{"content":"`
	afterDelta = `"},"finish_reason":null}]}`
	// doneEvent is the data of the last event.
	doneEvent = "[DONE]"
)

func newEventWriter(key, model string, created time.Time) eventWriter {
	id, _ := json.Marshal("chatcmpl-" + key)
	name, _ := json.Marshal(model)
	head := fmt.Sprintf(`{"id":%s,"object":"chat.completion.chunk","created":%d,"model":%s,`, id, created.Unix(), name)
	return eventWriter{head: head}
}

// token renders one token. Its text is not escaped: generated words need none.
func (w eventWriter) token(text string, first bool) []byte {
	delta := nextDelta
	if first {
		delta = firstDelta
	}
	data := make([]byte, 0, len(w.head)+len(delta)+len(text)+len(afterDelta))
	data = append(data, w.head...)
	data = append(data, delta...)
	data = append(data, text...)
	return append(data, afterDelta...)
}

// finish renders the last chunk, with the finish reason and usage.
func (w eventWriter) finish(reason string, u usage) []byte {
	usage, _ := json.Marshal(u)
	return fmt.Appendf(nil, `%s"choices":[{"index":0,"delta":{},"finish_reason":"%s"}],"usage":%s}`, w.head, reason, usage)
}

// usage is the token usage reported at the end of an answer.
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
