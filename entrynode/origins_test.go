package entrynode

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/boottime"
	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/origin"
)

// newOriginKeeper returns the keeper of a node that has another one at the address.
func newOriginKeeper(self, other, address string) *origin.Keeper {
	return origin.New(origin.Config{
		Self: domain.NodeID(self),
		Members: func() []domain.Member {
			return []domain.Member{{Node: domain.NodeID(self)}, {Node: domain.NodeID(other), Address: address}}
		},
		Others: func() []domain.Member { return nil }, AllHeard: func() bool { return true },
		Send:  func(string, []byte) error { return nil },
		Query: newOriginClient().query, VersionChanges: func() []domain.EndpointID { return nil },
		Clock: boottime.Now, Log: zerolog.Nop(), Metrics: metrics.NewSet(),
	})
}

// Guards against streams that don't go on while datagrams between nodes are lost.
func TestOriginsAreQueriedOverConnections(t *testing.T) {
	knows := &Node{origins: newOriginKeeper("a", "b", "")}
	server := httptest.NewServer(http.HandlerFunc(knows.servePeer))
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	asks := newOriginKeeper("b", "a", address)

	key := origin.NewKey("o", 1, "attempt")
	assert.Equal(t, asks.Lookup(t.Context(), key, true).State, origin.Unknown)
	began := origin.Origin{Service: "s", Version: "v1"}
	knows.origins.Begin(key, began, "", time.Minute)
	found := asks.Lookup(t.Context(), key, true)
	assert.Equal(t, found.State, origin.Known)
	assert.Equal(t, found.Origin, began)

	_, err := newOriginClient().query(t.Context(), address, []byte("malformed"))
	assert.ErrorContains(t, err, "status 400")
}

func TestQueriesOverConnectionsAreBounded(t *testing.T) {
	release := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }))
	defer server.Close()
	defer close(release)
	address, client := strings.TrimPrefix(server.URL, "http://"), newOriginClient()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	for range maxOriginQueries {
		go func() { _, _ = client.query(ctx, address, nil) }() // ends with the context
	}
	for len(client.places) < maxOriginQueries {
		time.Sleep(time.Millisecond)
	}
	_, err := client.query(ctx, address, nil)
	assert.ErrorIs(t, err, errTooManyQueries)
}
