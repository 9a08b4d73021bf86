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

// chatBody holds the fields of a chat completion request that are interpreted here.
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

// chatRequest is a validated body and the values derived from it.
type chatRequest struct {
	chatBody
	// engineBody is the body in canonical form, with "stream" set to true.
	engineBody   []byte
	fingerprint  ledger.Fingerprint
	prefixBlocks []uint64
	promptTokens int
	contentHash  uint64
}

// parseChat parses and validates the body. The problem that it returns names the
// invalid field or position.
func parseChat(body []byte) (*chatRequest, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, jsonProblem("body", err)
	}
	request := &chatRequest{}
	if err := request.decode(fields); err != nil {
		return nil, err
	}
	if err := request.validate(); err != nil {
		return nil, err
	}
	request.analysePrompt()
	fields[fieldStream] = json.RawMessage("true")
	request.fingerprint, request.engineBody = canonicalBody(fields)
	return request, nil
}

// decode decodes the fields by their exact names, as engines do. Unlike in
// encoding/json, names are case-sensitive.
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

func (r *chatRequest) validate() error {
	if r.Model == "" {
		return invalidRequest(http.StatusBadRequest, "invalid_body", "model", "model is missing")
	}
	if len(r.Messages) == 0 {
		return invalidRequest(http.StatusBadRequest, "invalid_body", "messages", "messages must have at least one message")
	}
	for i, message := range r.Messages {
		if message.Role == "" {
			return invalidRequest(http.StatusBadRequest, "invalid_body", "messages", "message %d has no role", i)
		}
	}
	for field, value := range map[string]*int{"max_tokens": r.MaxTokens, "max_completion_tokens": r.MaxCompletionTokens} {
		if value != nil && *value <= 0 {
			return invalidRequest(http.StatusBadRequest, "invalid_body", field, "%s must be above 0", field)
		}
	}
	return nil
}

// analysePrompt computes the prefix blocks, the estimated number of tokens and the
// content hash that identifies requests that crash endpoints.
func (r *chatRequest) analysePrompt() {
	chain := prefix.NewChain(r.Model)
	for _, message := range r.Messages {
		chain.Add(message.Role, message.text())
	}
	r.prefixBlocks = chain.Blocks()
	r.promptTokens = chain.Tokens()
	r.contentHash = chain.Sum()
}

// text returns the content if it is a string, otherwise its JSON.
func (m chatMessage) text() string {
	var text string
	if json.Unmarshal(m.Content, &text) == nil {
		return text
	}
	return string(m.Content)
}

// maxAnswerTokens returns the maximum number of tokens of the answer, and the field
// that sets it. Without such a field it is the model's limit; zero means no limit.
func (r *chatRequest) maxAnswerTokens(modelLimit int) (tokens int, field string) {
	switch {
	case r.MaxCompletionTokens != nil:
		return *r.MaxCompletionTokens, "max_completion_tokens"
	case r.MaxTokens != nil:
		return *r.MaxTokens, "max_tokens"
	default:
		return modelLimit, ""
	}
}

// canonicalBody encodes the fields in sorted order without whitespace, and
// fingerprints the result. The field "stream" is always true in it, so that a retry
// may request the same answer with or without streaming.
func canonicalBody(fields map[string]json.RawMessage) (ledger.Fingerprint, []byte) {
	var body bytes.Buffer
	body.WriteByte('{')
	for i, name := range slices.Sorted(maps.Keys(fields)) {
		if i > 0 {
			body.WriteByte(',')
		}
		// The names and values were decoded from JSON, so encoding them can't fail.
		quoted, _ := json.Marshal(name)
		body.Write(quoted)
		body.WriteByte(':')
		_ = json.Compact(&body, fields[name])
	}
	body.WriteByte('}')
	return fingerprint([]byte(chatPath), body.Bytes()), body.Bytes()
}

// fingerprint hashes the parts of a request. Each part is hashed separately, so
// that moving bytes between parts changes the result.
func fingerprint(parts ...[]byte) ledger.Fingerprint {
	hash := sha256.New()
	for _, part := range parts {
		sum := sha256.Sum256(part)
		hash.Write(sum[:])
	}
	return ledger.Fingerprint(hash.Sum(nil)[:len(ledger.Fingerprint{})])
}

// jsonProblem converts a decoding error into a problem that names the position or
// the field.
func jsonProblem(field string, err error) *Problem {
	var syntax *json.SyntaxError
	var typed *json.UnmarshalTypeError
	switch {
	case errors.As(err, &typed):
		if typed.Field != "" {
			field += "." + typed.Field
		}
		return invalidRequest(http.StatusBadRequest, "invalid_body", field, "%s can't be a JSON %s", field, typed.Value)
	case errors.As(err, &syntax):
		return invalidRequest(http.StatusBadRequest, "invalid_json", field, "malformed JSON at byte %d: %s", syntax.Offset, syntax.Error())
	default:
		return invalidRequest(http.StatusBadRequest, "invalid_json", field, "malformed JSON")
	}
}
