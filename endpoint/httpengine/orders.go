package httpengine

import (
	"context"
	"net/http"

	"hawthornrill.example/hawthornrill/endpoint"
)

const (
	pathOrders   = "/v1/orders"
	pathKVExport = "/v1/kv/export"
	pathKVImport = "/v1/kv/import"
)

var (
	_ endpoint.Orders     = (*Client)(nil)
	_ endpoint.KVTransfer = (*Client)(nil)
)

// Order implements endpoint.Orders.
func (c *Client) Order(ctx context.Context, order endpoint.Order) error {
	return c.call(ctx, http.MethodPost, pathOrders, order, nil)
}

// State implements endpoint.Orders.
func (c *Client) State(ctx context.Context) (endpoint.EngineState, error) {
	var state endpoint.EngineState
	err := c.call(ctx, http.MethodGet, pathOrders, nil, &state)
	return state, err
}

// ExportKV implements endpoint.KVTransfer.
func (c *Client) ExportKV(ctx context.Context, blocks []uint64) (endpoint.KVCache, error) {
	var cache endpoint.KVCache
	err := c.call(ctx, http.MethodPost, pathKVExport, blocks, &cache)
	return cache, err
}

// ImportKV implements endpoint.KVTransfer.
func (c *Client) ImportKV(ctx context.Context, cache endpoint.KVCache) (int, error) {
	var held int
	err := c.call(ctx, http.MethodPost, pathKVImport, cache, &held)
	return held, err
}
