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

// exported is the stand-in's own form of KV cache. A real one has the tensors
// here; ours has the hashes again, so that an import of nonsense is found out.
type exported struct {
	Blocks []uint64 `json:"blocks"`
}

// ExportKV implements endpoint.KVTransfer. It takes the time of a transfer.
func (e *Engine) ExportKV(ctx context.Context, blocks []uint64) (endpoint.KVCache, error) {
	if err := e.enter(ctx); err != nil {
		return endpoint.KVCache{}, err
	}
	held := e.leadingBlocks(blocks)
	if err := e.transfer(ctx, len(held)); err != nil {
		return endpoint.KVCache{}, err
	}
	data, err := json.Marshal(exported{Blocks: held})
	return endpoint.KVCache{Blocks: held, Data: data}, err
}

// ImportKV implements endpoint.KVTransfer. It takes the time of a transfer and
// imports no more than fits beside what is in use.
func (e *Engine) ImportKV(ctx context.Context, cache endpoint.KVCache) (int, error) {
	if err := e.enter(ctx); err != nil {
		return 0, err
	}
	var data exported
	if err := json.Unmarshal(cache.Data, &data); err != nil {
		return 0, refused(fmt.Errorf("%w: KV cache: %w", ErrBadRequest, err))
	}
	if err := e.transfer(ctx, len(data.Blocks)); err != nil {
		return 0, err
	}
	return e.importBlocks(data.Blocks), nil
}

// transfer passes the time that so many blocks take.
func (e *Engine) transfer(ctx context.Context, blocks int) error {
	takes := time.Duration(blocks*prefix.BlockTokens) * e.options.Speed.Transfer
	timer := time.NewTimer(takes)
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
	held := e.memory.hold(blocks)
	e.counts.Imported += uint64(held.stored * prefix.BlockTokens)
	e.noteLoad()
	return held.total
}
