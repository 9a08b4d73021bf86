package entry

import (
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"maps"
	"net/http"
	"slices"

	"hawthornrill.example/hawthornrill/ledger"
	"hawthornrill.example/hawthornrill/prefix"
)

const (
	chatPath    = "/v1/chat/completions"
	fieldStream = "stream"
)

// chatBody is the part of a chat completion's body that the system looks at.
type chatBody struct {
	Model               string
	Messages            []chatMessage
	Stream              bool
	MaxTokens           *int
	MaxCompletionTokens *int
}

type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// chatRequest is a checked body with what follows from it.
type chatRequest struct {
	chatBody
	// engineBody is the body with "stream" set to true.
	engineBody  []byte
	fingerprint ledger.Fingerprint
	blocks      []uint64
	tokens      int
	content     uint64
}

// parseChat checks the body. It returns a problem that names the field or the
// position at fault.
func parseChat(body []byte) (*chatRequest, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, jsonProblem("body", err)
	}
	request := &chatRequest{}
	if err := request.decode(fields); err != nil {
		return nil, err
	}
	if err := request.check(); err != nil {
		return nil, err
	}
	request.describePrompt()
	fields[fieldStream] = json.RawMessage("true")
	request.fingerprint, request.engineBody = canonical(fields)
	return request, nil
}

// decode takes the fields by their exact names, as engines do: a field that
// differs in case is another one.
func (r *chatRequest) decode(fields map[string]json.RawMessage) error {
	targets := []struct {
		name  string
		value any
	}{
		{"model", &r.Model},
		{"messages", &r.Messages},
		{fieldStream, &r.Stream},
		{"max_tokens", &r.MaxTokens},
		{"max_completion_tokens", &r.MaxCompletionTokens},
	}
	for _, target := range targets {
		raw, ok := fields[target.name]
		if !ok {
			continue
		}
		if err := json.Unmarshal(raw, target.value); err != nil {
			return jsonProblem(target.name, err)
		}
	}
	return nil
}

func (r *chatRequest) check() error {
	if r.Model == "" {
		return invalid(http.StatusBadRequest, "invalid_body", "model", "model is missing")
	}
	if len(r.Messages) == 0 {
		return invalid(http.StatusBadRequest, "invalid_body", "messages", "messages must have at least one message")
	}
	for i, message := range r.Messages {
		if message.Role == "" {
			return invalid(http.StatusBadRequest, "invalid_body", "messages", "message %d has no role", i)
		}
	}
	for field, value := range map[string]*int{"max_tokens": r.MaxTokens, "max_completion_tokens": r.MaxCompletionTokens} {
		if value != nil && *value <= 0 {
			return invalid(http.StatusBadRequest, "invalid_body", field, "%s must be above 0", field)
		}
	}
	return nil
}

// describePrompt computes the prefix blocks, the estimate of its length and the
// hash by which a request that crashes endpoints is recognised.
func (r *chatRequest) describePrompt() {
	chain := prefix.NewChain(r.Model)
	for _, message := range r.Messages {
		chain.Add(message.Role, message.text())
	}
	r.blocks = chain.Blocks()
	r.tokens = chain.Tokens()
	r.content = chain.Sum()
}

// text returns the content if it is a string, else its JSON.
func (m chatMessage) text() string {
	var text string
	if json.Unmarshal(m.Content, &text) == nil {
		return text
	}
	return string(m.Content)
}

// answerTokens returns the most tokens that the answer may have, given the
// model's bound; zero for no bound.
func (r *chatRequest) answerTokens(bound int) (tokens int, field string) {
	switch {
	case r.MaxCompletionTokens != nil:
		return *r.MaxCompletionTokens, "max_completion_tokens"
	case r.MaxTokens != nil:
		return *r.MaxTokens, "max_tokens"
	default:
		return bound, ""
	}
}

// canonical writes the fields in a fixed order and without space, and hashes
// them. Whether the caller wants a stream is always "true" here, so that a retry
// may ask for the same answer in the other form.
func canonical(fields map[string]json.RawMessage) (ledger.Fingerprint, []byte) {
	var body bytes.Buffer
	body.WriteByte('{')
	for i, name := range slices.Sorted(maps.Keys(fields)) {
		if i > 0 {
			body.WriteByte(',')
		}
		// Names and values come from a decoder: both encode.
		quoted, _ := json.Marshal(name)
		body.Write(quoted)
		body.WriteByte(':')
		_ = json.Compact(&body, fields[name])
	}
	body.WriteByte('}')
	return fingerprint([]byte(chatPath), body.Bytes()), body.Bytes()
}

// fingerprint hashes the parts of a request, with their borders.
func fingerprint(parts ...[]byte) ledger.Fingerprint {
	hash := sha256.New()
	for _, part := range parts {
		sum := sha256.Sum256(part)
		hash.Write(sum[:])
	}
	return ledger.Fingerprint(hash.Sum(nil)[:len(ledger.Fingerprint{})])
}

// jsonProblem names the position or the field that does not fit.
func jsonProblem(field string, err error) *Problem {
	var syntax *json.SyntaxError
	var typed *json.UnmarshalTypeError
	switch {
	case errors.As(err, &typed):
		if typed.Field != "" {
			field += "." + typed.Field
		}
		return invalid(http.StatusBadRequest, "invalid_body", field, "%s can't be a JSON %s", field, typed.Value)
	case errors.As(err, &syntax):
		return invalid(http.StatusBadRequest, "invalid_json", field, "malformed JSON at byte %d: %s", syntax.Offset, syntax.Error())
	default:
		return invalid(http.StatusBadRequest, "invalid_json", field, "malformed JSON")
	}
}
