package engine

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"

	"hawthornrill.example/hawthornrill/prefix"
)

// request holds the fields of a chat completion request that the engine uses.
type request struct {
	Model     string    `json:"model"`
	Messages  []message `json:"messages"`
	MaxTokens int       `json:"max_tokens"`
	// MaxCompletionTokens is the newer name of MaxTokens.
	MaxCompletionTokens int    `json:"max_completion_tokens"`
	Seed                uint64 `json:"seed"`
	Stream              bool   `json:"stream"`
	// AnswerTokens is an extension of this simulated engine: the actual length of
	// the answer, which a scheduler that reads only max_tokens can't know.
	AnswerTokens int `json:"answer_tokens"`
}

type message struct {
	Role    string  `json:"role"`
	Content content `json:"content"`
}

// content is the text of a message. In JSON it is a string, or a list of parts
// whose texts are joined.
type content string

// maxAnswerTokens is the maximum number of answer tokens of one request.
const maxAnswerTokens = 1 << 17

// UnmarshalJSON implements json.Unmarshaler for both forms.
func (c *content) UnmarshalJSON(data []byte) error {
	data = bytes.TrimSpace(data)
	if len(data) == 0 || data[0] != '[' {
		var text string
		err := json.Unmarshal(data, &text)
		*c = content(text)
		return err
	}
	var parts []struct {
		Text string `json:"text"`
	}
	if err := json.Unmarshal(data, &parts); err != nil {
		return err
	}
	var b strings.Builder
	for _, p := range parts {
		b.WriteString(p.Text)
	}
	*c = content(b.String())
	return nil
}

// parseRequest decodes and validates a body. Its error wraps ErrBadRequest.
func parseRequest(body []byte) (request, error) {
	var r request
	if err := json.Unmarshal(body, &r); err != nil {
		return request{}, fmt.Errorf("%w: %w", ErrBadRequest, err)
	}
	if r.MaxCompletionTokens != 0 {
		r.MaxTokens = r.MaxCompletionTokens
	}
	switch {
	case r.Model == "":
		return request{}, fmt.Errorf("%w: model is missing", ErrBadRequest)
	case len(r.Messages) == 0:
		return request{}, fmt.Errorf("%w: messages are missing", ErrBadRequest)
	case r.MaxTokens < 0 || r.MaxTokens > maxAnswerTokens:
		return request{}, fmt.Errorf("%w: max_tokens must be between 0 and %d", ErrBadRequest, maxAnswerTokens)
	case r.AnswerTokens < 0 || r.AnswerTokens > maxAnswerTokens:
		return request{}, fmt.Errorf("%w: answer_tokens must be between 0 and %d", ErrBadRequest, maxAnswerTokens)
	}
	return r, nil
}

// chain returns the prefix hash chain of the conversation.
func (r request) chain() *prefix.Chain {
	c := prefix.NewChain(r.Model)
	for _, m := range r.Messages {
		c.Add(m.Role, string(m.Content))
	}
	return c
}

func (r request) contains(text string) bool {
	for _, m := range r.Messages {
		if strings.Contains(string(m.Content), text) {
			return true
		}
	}
	return false
}
