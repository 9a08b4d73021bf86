package httpengine_test

import (
	"encoding/json"
	"errors"
	"io"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/endpoint"
	"hawthornrill.example/hawthornrill/endpoint/httpengine"
	"hawthornrill.example/hawthornrill/endpoint/onesend"
	"hawthornrill.example/hawthornrill/prefix"
	"hawthornrill.example/hawthornrill/standin/engine"
)

const body = `{"model":"m","messages":[{"role":"user","content":"How wide is the hob?"}],"max_tokens":20,"stream":true}`

func newClient(t testing.TB, options engine.Options) (*httpengine.Client, *engine.Engine) {
	t.Helper()
	e := engine.New(options)
	server := httptest.NewServer(engine.NewHandler(e))
	t.Cleanup(server.Close)
	transport := onesend.New(onesend.Options{})
	t.Cleanup(transport.CloseIdleConnections)
	return httpengine.New(server.URL, transport), e
}

// text reads the stream to its end and returns the text of the answer.
func text(t *testing.T, s endpoint.Stream) string {
	t.Helper()
	defer s.Close()
	var all strings.Builder
	for {
		event, err := s.Next(t.Context())
		if errors.Is(err, io.EOF) {
			return all.String()
		}
		assert.NilError(t, err)
		if string(event.Data) == "[DONE]" {
			continue
		}
		var chunk struct {
			Choices []struct{ Delta struct{ Content string } }
		}
		assert.NilError(t, json.Unmarshal(event.Data, &chunk))
		all.WriteString(chunk.Choices[0].Delta.Content)
	}
}

func TestStartAndResume(t *testing.T) {
	client, e := newClient(t, engine.Options{Speed: engine.NoDelay(), LoadLag: -1, CacheEventDelay: -1})
	answer, err := engine.ExpectedAnswer([]byte(body))
	assert.NilError(t, err)
	key := "org:@node%2F1/2::a b%"
	s, err := client.Start(t.Context(), endpoint.EngineRequest{Key: key, Body: []byte(body)})
	assert.NilError(t, err)
	assert.Equal(t, text(t, s), answer.Text())
	assert.Equal(t, e.Runs()[0].Key, key)

	s, err = client.Resume(t.Context(), key, 4)
	assert.NilError(t, err)
	assert.Equal(t, text(t, s), strings.Join(answer.Tokens[4:], ""))

	assert.NilError(t, client.Cancel(t.Context(), key))
	assert.NilError(t, client.Cancel(t.Context(), key))
	_, err = client.Resume(t.Context(), key, 0)
	assert.ErrorIs(t, err, endpoint.ErrStreamNotFound)

	_, err = client.Start(t.Context(), endpoint.EngineRequest{Key: key, Body: []byte(`{}`)})
	assert.ErrorIs(t, err, endpoint.ErrRefused)
	load, err := client.Load(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, load.KVTokens, 128<<10)
	_, err = client.CacheEvents(t.Context(), 0)
	assert.NilError(t, err)
}

func TestOrdersAndKV(t *testing.T) {
	options := engine.Options{Speed: engine.NoDelay(), Models: []string{"m"}}
	client, _ := newClient(t, options)
	other, _ := newClient(t, options)
	ctx := t.Context()
	assert.NilError(t, client.Order(ctx, endpoint.Order{Fence: 7, Kind: endpoint.OrderSetRole, Role: endpoint.RoleDecode}))
	state, err := client.State(ctx)
	assert.NilError(t, err)
	assert.DeepEqual(t, state, endpoint.EngineState{
		Fence: 7, Role: endpoint.RoleDecode, Models: []endpoint.ModelState{{Model: "m", Ready: true}},
	})
	err = client.Order(ctx, endpoint.Order{Fence: 6, Kind: endpoint.OrderUnload, Model: "m"})
	assert.ErrorIs(t, err, endpoint.ErrStaleFence)
	assert.ErrorIs(t, err, endpoint.ErrRefused)

	long := strings.Replace(body, "hob", strings.Repeat("very ", 200)+"hob", 1)
	s, err := client.Start(ctx, endpoint.EngineRequest{Key: "k", Body: []byte(long)})
	assert.NilError(t, err)
	text(t, s)
	chain := prefix.NewChain("m")
	chain.Add("user", "How wide is the "+strings.Repeat("very ", 200)+"hob?")
	cache, err := client.ExportKV(ctx, append(chain.Blocks(), 1, 2, 3))
	assert.NilError(t, err)
	assert.DeepEqual(t, cache.Blocks, chain.Blocks())
	held, err := other.ImportKV(ctx, cache)
	assert.NilError(t, err)
	assert.Equal(t, held, len(cache.Blocks))
}
