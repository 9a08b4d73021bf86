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

	"hawthornrill.example/hawthornrill/httpresponse"
)

// answerTokens is the length of a sample answer in tokens.
const answerTokens = 40

// maxErrorBytes bounds the part of an error response's body that is shown.
const maxErrorBytes = 4096

// sessionHeader is the HTTP header that carries a session token.
const sessionHeader = "Hawthornrill-Session"

// streamEndData is the data of a stream's last event.
const streamEndData = "[DONE]"

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// chatRequest is the body of a chat completion request.
type chatRequest struct {
	Model     string    `json:"model"`
	Messages  []message `json:"messages"`
	MaxTokens int       `json:"max_tokens"`
	Stream    bool      `json:"stream"`
}

// chatEvent holds the fields of a stream event that the sample reads.
type chatEvent struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
}

// client sends the requests of callers.
var client = httpresponse.NewClient()

// conversation is the client side of a chat with a model.
type conversation struct {
	model, key string
	// session is the session token issued by the node.
	session  string
	messages []message
}

func newConversation(model, key string) *conversation {
	return &conversation{model: model, key: key}
}

// openSession opens a session at the node and stores its token.
func (c *conversation) openSession(ctx context.Context, url string) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/sessions", nil)
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+c.key)
	response, err := client.Do(request)
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

func (c *conversation) addQuestion(text string) {
	c.messages = append(c.messages, message{Role: "user", Content: text})
}

func (c *conversation) addAnswer(text string) {
	c.messages = append(c.messages, message{Role: "assistant", Content: text})
}

// streamedAnswer is a received answer with its number of events and the times to the first and the last one.
type streamedAnswer struct {
	text              string
	events            int
	firstEvent, total time.Duration
}

// send sends the conversation so far and reads the streamed answer.
func (c *conversation) send(ctx context.Context, url, requestKey string) (streamedAnswer, error) {
	body, err := json.Marshal(chatRequest{Model: c.model, Messages: c.messages, MaxTokens: answerTokens, Stream: true})
	if err != nil {
		return streamedAnswer{}, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return streamedAnswer{}, err
	}
	request.Header.Set("Authorization", "Bearer "+c.key)
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Idempotency-Key", requestKey)
	request.Header.Set(sessionHeader, c.session)
	sent := time.Now()
	response, err := client.Do(request)
	if err != nil {
		return streamedAnswer{}, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return streamedAnswer{}, statusError(response)
	}
	return readStream(response.Body, sent)
}

// statusError returns an error with the status and body of an unsuccessful response.
func statusError(response *http.Response) error {
	text, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
	return fmt.Errorf("%s: %s", response.Status, text)
}

// readStream collects the text of a stream. It returns io.ErrUnexpectedEOF if the stream ends without its last event.
func readStream(body io.Reader, sent time.Time) (streamedAnswer, error) {
	var s streamedAnswer
	var text strings.Builder
	for event, err := range sse.Read(body, nil) {
		if err != nil {
			return s, err
		}
		if event.Data == streamEndData {
			s.text, s.total = text.String(), time.Since(sent)
			return s, nil
		}
		if s.events++; s.events == 1 {
			s.firstEvent = time.Since(sent)
		}
		var e chatEvent
		if err := json.Unmarshal([]byte(event.Data), &e); err != nil {
			return s, fmt.Errorf("decode event %q: %w", event.Data, err)
		}
		for _, choice := range e.Choices {
			text.WriteString(choice.Delta.Content)
		}
	}
	return s, io.ErrUnexpectedEOF
}
