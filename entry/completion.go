package entry

import (
	"encoding/json"
	"slices"
	"strings"
)

// completion merges the events of a model's stream into the response body for a
// request without streaming.
type completion struct {
	ID                string          `json:"id,omitempty"`
	Object            string          `json:"object"`
	Created           int64           `json:"created,omitempty"`
	Model             string          `json:"model,omitempty"`
	SystemFingerprint string          `json:"system_fingerprint,omitempty"`
	Choices           []*choice       `json:"choices"`
	Usage             json.RawMessage `json:"usage,omitempty"`
}

type choice struct {
	Index        int           `json:"index"`
	Message      choiceMessage `json:"message"`
	Logprobs     *logprobs     `json:"logprobs,omitempty"`
	FinishReason *string       `json:"finish_reason"`

	content strings.Builder
	refusal strings.Builder
}

type choiceMessage struct {
	Role      string      `json:"role"`
	Content   *string     `json:"content"`
	Refusal   string      `json:"refusal,omitempty"`
	ToolCalls []*toolCall `json:"tool_calls,omitempty"`
}

// logprobs holds log probabilities. Those of all events are concatenated.
type logprobs struct {
	Content []json.RawMessage `json:"content"`
	Refusal []json.RawMessage `json:"refusal,omitempty"`
}

type toolCall struct {
	Index    int    `json:"-"`
	ID       string `json:"id,omitempty"`
	Type     string `json:"type,omitempty"`
	Function struct {
		Name      string `json:"name"`
		Arguments string `json:"arguments"`
	} `json:"function"`
}

func newCompletion() *completion { return &completion{Choices: []*choice{}} }

// addEvent merges one event. It returns an error if the event is not valid JSON,
// since the completion would be incomplete without it.
func (c *completion) addEvent(data []byte) error {
	var event completionEvent
	if err := json.Unmarshal(data, &event); err != nil {
		return err
	}
	c.addMetadata(&event)
	for i := range event.Choices {
		delta := &event.Choices[i]
		target := c.choice(delta.Index)
		if delta.Delta.Role != "" {
			target.Message.Role = delta.Delta.Role
		}
		if delta.Delta.Content != nil {
			target.content.WriteString(*delta.Delta.Content)
		}
		target.refusal.WriteString(delta.Delta.Refusal)
		target.addToolCalls(delta.Delta.ToolCalls)
		target.addLogprobs(delta.Logprobs)
		if delta.FinishReason != nil {
			target.FinishReason = delta.FinishReason
		}
	}
	return nil
}

func (c *completion) addMetadata(event *completionEvent) {
	if c.ID == "" {
		c.ID, c.Created, c.Model = event.ID, event.Created, event.Model
		c.SystemFingerprint = event.SystemFingerprint
	}
	if len(event.Usage) > 0 && string(event.Usage) != "null" {
		c.Usage = event.Usage
	}
}

func (c *completion) choice(index int) *choice {
	for _, existing := range c.Choices {
		if existing.Index == index {
			return existing
		}
	}
	added := &choice{Index: index, Message: choiceMessage{Role: "assistant"}}
	c.Choices = append(c.Choices, added)
	return added
}

func (c *choice) addLogprobs(delta *logprobs) {
	if delta == nil {
		return
	}
	if c.Logprobs == nil {
		c.Logprobs = &logprobs{}
	}
	c.Logprobs.Content = append(c.Logprobs.Content, delta.Content...)
	c.Logprobs.Refusal = append(c.Logprobs.Refusal, delta.Refusal...)
}

func (c *choice) addToolCalls(deltas []toolCallDelta) {
	for _, delta := range deltas {
		call := c.toolCall(delta.Index)
		if delta.ID != "" {
			call.ID = delta.ID
		}
		if delta.Type != "" {
			call.Type = delta.Type
		}
		call.Function.Name += delta.Function.Name
		call.Function.Arguments += delta.Function.Arguments
	}
}

func (c *choice) toolCall(index int) *toolCall {
	for _, existing := range c.Message.ToolCalls {
		if existing.Index == index {
			return existing
		}
	}
	added := &toolCall{Index: index}
	c.Message.ToolCalls = append(c.Message.ToolCalls, added)
	return added
}

// finish sorts the choices and sets their messages. It is called after the last
// event.
func (c *completion) finish() {
	c.Object = "chat.completion"
	slices.SortFunc(c.Choices, func(a, b *choice) int { return a.Index - b.Index })
	for _, choice := range c.Choices {
		content := choice.content.String()
		if content != "" || len(choice.Message.ToolCalls) == 0 {
			choice.Message.Content = &content
		}
		choice.Message.Refusal = choice.refusal.String()
	}
}
