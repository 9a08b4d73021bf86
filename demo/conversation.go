package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/tmaxmax/go-sse"
)

// answerTokens is the length of a sample answer.
const answerTokens = 40

// maxErrorBytes bounds what is shown of an error's body.
const maxErrorBytes = 4096

// sessionHeader carries a session's token.
const sessionHeader = "Hawthornrill-Session"

// doneData is the data of the last event of a stream.
const doneData = "[DONE]"

// message is one message of a conversation.
type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// chatRequest is the body of a chat completion.
type chatRequest struct {
	Model     string    `json:"model"`
	Messages  []message `json:"messages"`
	MaxTokens int       `json:"max_tokens"`
	Stream    bool      `json:"stream"`
}

// chatEvent is what the sample reads of an event.
type chatEvent struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
}

// conversation is a caller's side of a chat.
type conversation struct {
	model, key string
	// session is the token that the node gave out.
	session  string
	messages []message
}

func newConversation(model, key string) *conversation {
	return &conversation{model: model, key: key}
}

// open opens the conversation's session.
func (c *conversation) open(ctx context.Context, url string) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/sessions", nil)
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+c.key)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusCreated {
		return statusError(response)
	}
	c.session = response.Header.Get(sessionHeader)
	return nil
}

func (c *conversation) ask(text string) {
	c.messages = append(c.messages, message{Role: "user", Content: text})
}

func (c *conversation) answered(text string) {
	c.messages = append(c.messages, message{Role: "assistant", Content: text})
}

// streamed is an answer as it was received.
type streamed struct {
	text         string
	events       int
	first, total time.Duration
}

// send streams the answer to the conversation so far.
func (c *conversation) send(ctx context.Context, url, requestKey string) (streamed, error) {
	body, err := json.Marshal(chatRequest{Model: c.model, Messages: c.messages, MaxTokens: answerTokens, Stream: true})
	if err != nil {
		return streamed{}, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return streamed{}, err
	}
	request.Header.Set("Authorization", "Bearer "+c.key)
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Idempotency-Key", requestKey)
	request.Header.Set(sessionHeader, c.session)
	sent := time.Now()
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return streamed{}, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return streamed{}, statusError(response)
	}
	return read(response.Body, sent)
}

// statusError is the error of a response that is no answer.
func statusError(response *http.Response) error {
	text, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
	return fmt.Errorf("%s: %s", response.Status, text)
}

// read collects a stream's text; a stream without its last event is an error.
func read(body io.Reader, sent time.Time) (streamed, error) {
	var s streamed
	var text strings.Builder
	for event, err := range sse.Read(body, nil) {
		if err != nil {
			return s, err
		}
		if event.Data == doneData {
			s.text, s.total = text.String(), time.Since(sent)
			return s, nil
		}
		if s.events++; s.events == 1 {
			s.first = time.Since(sent)
		}
		var e chatEvent
		if err := json.Unmarshal([]byte(event.Data), &e); err != nil {
			return s, fmt.Errorf("event %q: %w", event.Data, err)
		}
		for _, choice := range e.Choices {
			text.WriteString(choice.Delta.Content)
		}
	}
	return s, io.ErrUnexpectedEOF
}
