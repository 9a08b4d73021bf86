package entrynode

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"

	"hawthornrill.example/hawthornrill/gateway"
	"hawthornrill.example/hawthornrill/httpresponse"
)

const (
	// originsPath is where a node takes other nodes' queries on the origins of streams.
	originsPath = "/hawthornrill/origins"
	// maxOriginMessage limits a query and its reply, in bytes.
	maxOriginMessage = 16 << 10
	// maxOriginQueries limits the queries over connections that a node has open at a time.
	maxOriginQueries = 32
)

var errTooManyQueries = errors.New("entrynode: too many queries on origins of streams")

// originClient queries other nodes over connections.
type originClient struct {
	client http.Client
	places chan struct{}
}

func newOriginClient() *originClient {
	transport := httpresponse.NewTransport(&http.Transport{
		DialContext:       func(ctx context.Context, _, address string) (net.Conn, error) { return dial(ctx, address) },
		DisableKeepAlives: true,
	})
	return &originClient{http.Client{Transport: transport}, make(chan struct{}, maxOriginQueries)}
}

// query sends the query to the node at the address and returns its reply.
func (c *originClient) query(ctx context.Context, address string, query []byte) ([]byte, error) {
	select {
	case c.places <- struct{}{}:
		defer func() { <-c.places }()
	default:
		return nil, errTooManyQueries
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+originsPath, bytes.NewReader(query))
	if err != nil {
		return nil, fmt.Errorf("entrynode: query origins: %w", err)
	}
	response, err := c.client.Do(request)
	if err != nil {
		return nil, fmt.Errorf("entrynode: query origins: %w", err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("entrynode: query origins: status %d", response.StatusCode)
	}
	reply, err := io.ReadAll(io.LimitReader(response.Body, maxOriginMessage))
	if err != nil {
		return nil, fmt.Errorf("entrynode: query origins: %w", err)
	}
	return reply, nil
}

// servePeer serves another node: what it forwards, and its queries.
func (n *Node) servePeer(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != originsPath || gateway.Forwarded(r) {
		n.gateway.ServeForwarded(w, r)
		return
	}
	query, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxOriginMessage))
	if err != nil {
		http.Error(w, "the query can't be read", http.StatusBadRequest)
		return
	}
	reply, err := n.origins.Answer(query)
	if err != nil {
		n.log.Warn().Err(err).Str("peer", r.RemoteAddr).Msg("query on the origin of a stream is malformed")
		http.Error(w, "malformed query", http.StatusBadRequest)
		return
	}
	if _, err := w.Write(reply); err != nil {
		n.log.Debug().Err(err).Str("peer", r.RemoteAddr).Msg("failed to reply on the origin of a stream")
	}
}
