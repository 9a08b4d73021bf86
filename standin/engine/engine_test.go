package engine_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/endpoint"
	"hawthornrill.example/hawthornrill/standin/engine"
)

// chatRequest returns a request whose prompt has about the given number of tokens.
func chatRequest(key, topic string, prompt, answer int) endpoint.EngineRequest {
	text := topic + strings.Repeat("x", max(0, 4*prompt-len(topic)-6))
	body, err := json.Marshal(map[string]any{
		"model":      "m",
		"messages":   []map[string]string{{"role": "user", "content": text}},
		"max_tokens": answer,
		"stream":     true,
	})
	if err != nil {
		panic(err)
	}
	return endpoint.EngineRequest{Key: key, Body: body}
}

// followUpRequest returns the next turn of a conversation.
func followUpRequest(t *testing.T, key string, before endpoint.EngineRequest, text string) endpoint.EngineRequest {
	t.Helper()
	var body map[string]any
	assert.NilError(t, json.Unmarshal(before.Body, &body))
	messages := append(body["messages"].([]any),
		map[string]string{"role": "assistant", "content": expectedText(t, before)},
		map[string]string{"role": "user", "content": text})
	body["messages"] = messages
	data, err := json.Marshal(body)
	assert.NilError(t, err)
	return endpoint.EngineRequest{Key: key, Body: data}
}

func requestWithBody(body []byte) endpoint.EngineRequest {
	return endpoint.EngineRequest{Key: "k", Body: body}
}

func newEngine(t *testing.T, options engine.Options) *engine.Engine {
	t.Helper()
	e := engine.New(options)
	t.Cleanup(e.Close)
	return e
}

func start(t *testing.T, e *engine.Engine, r endpoint.EngineRequest) endpoint.Stream {
	t.Helper()
	s, err := e.Start(t.Context(), r)
	assert.NilError(t, err)
	return s
}

// readAll reads a stream to its end and returns its text and the final error.
func readAll(ctx context.Context, s endpoint.Stream) (string, error) {
	var text strings.Builder
	for next := uint64(0); ; next++ {
		event, err := s.Next(ctx)
		if err != nil {
			return text.String(), err
		}
		if event.Offset != next {
			return "", fmt.Errorf("event offset %d, want %d", event.Offset, next)
		}
		if string(event.Data) == "[DONE]" {
			continue
		}
		var chunk struct {
			Choices []struct{ Delta struct{ Content string } }
		}
		if err := json.Unmarshal(event.Data, &chunk); err != nil {
			return "", err
		}
		text.WriteString(chunk.Choices[0].Delta.Content)
	}
}

func expectedText(t *testing.T, r endpoint.EngineRequest) string {
	t.Helper()
	answer, err := engine.ExpectedAnswer(r.Body)
	assert.NilError(t, err)
	return answer.Text()
}

func TestCompleteAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngine(t, engine.Options{Speed: engine.GenerationA()})
		request := chatRequest("k", "a", 100, 50)
		startTime := time.Now()
		text, err := readAll(t.Context(), start(t, e, request))
		assert.Assert(t, errors.Is(err, io.EOF), err)
		assert.Equal(t, text, expectedText(t, request))
		assert.Equal(t, time.Since(startTime), 100*60*time.Microsecond+49*10*time.Millisecond)
		runs := e.Runs()
		assert.Equal(t, len(runs), 1)
		assert.Equal(t, runs[0].State, engine.RunFinished)
	})
}
