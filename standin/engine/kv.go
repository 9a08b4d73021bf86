package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"hawthornrill.example/hawthornrill/endpoint"
	"hawthornrill.example/hawthornrill/prefix"
)

var _ endpoint.KVTransfer = (*Engine)(nil)

// kvPayload is the data of an exported KV cache. A real engine transfers tensors;
// the simulated one repeats the block hashes, so that an import of corrupt data is
// detected.
type kvPayload struct {
	Blocks []uint64 `json:"blocks"`
}

// ExportKV implements endpoint.KVTransfer. It takes the transfer time of the
// blocks.
func (e *Engine) ExportKV(ctx context.Context, blocks []uint64) (endpoint.KVCache, error) {
	if err := e.awaitReachable(ctx); err != nil {
		return endpoint.KVCache{}, err
	}
	held := e.leadingBlocks(blocks)
	if err := e.simulateTransfer(ctx, len(held)); err != nil {
		return endpoint.KVCache{}, err
	}
	data, err := json.Marshal(kvPayload{Blocks: held})
	return endpoint.KVCache{Blocks: held, Data: data}, err
}

// ImportKV implements endpoint.KVTransfer. It takes the transfer time of the
// blocks and imports the leading ones that fit beside the memory in use.
func (e *Engine) ImportKV(ctx context.Context, cache endpoint.KVCache) (int, error) {
	if err := e.awaitReachable(ctx); err != nil {
		return 0, err
	}
	var data kvPayload
	if err := json.Unmarshal(cache.Data, &data); err != nil {
		return 0, wrapRefused(fmt.Errorf("%w: KV cache: %w", ErrBadRequest, err))
	}
	if err := e.simulateTransfer(ctx, len(data.Blocks)); err != nil {
		return 0, err
	}
	return e.importBlocks(data.Blocks), nil
}

// simulateTransfer waits for the transfer time of the given number of blocks.
func (e *Engine) simulateTransfer(ctx context.Context, blocks int) error {
	duration := time.Duration(blocks*prefix.BlockTokens) * e.options.Speed.Transfer
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("%w: %w", endpoint.ErrBroken, context.Cause(ctx))
	}
}

func (e *Engine) leadingBlocks(blocks []uint64) []uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for n < len(blocks) && e.memory.cache.has(blocks[n]) {
		n++
	}
	e.counts.Exported += uint64(n * prefix.BlockTokens)
	return blocks[:n]
}

func (e *Engine) importBlocks(blocks []uint64) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	result := e.memory.insert(blocks)
	e.counts.Imported += uint64(result.stored * prefix.BlockTokens)
	e.recordLoad()
	return result.total
}
