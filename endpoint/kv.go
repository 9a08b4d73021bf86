package endpoint

import "context"

// KVCache is the exported KV cache of a prefix.
type KVCache struct {
	// Blocks are the hashes of the prefix's blocks, the shortest prefix first.
	Blocks []uint64 `json:"blocks"`
	// Data is the cache in the engine's own format.
	Data []byte `json:"data,omitempty"`
}

// KVTransfer is implemented by model engines that can transfer KV cache.
type KVTransfer interface {
	// ExportKV returns the cache of the leading blocks that the engine holds, which may be none.
	ExportKV(ctx context.Context, blocks []uint64) (KVCache, error)
	// ImportKV imports an exported cache and returns how many of its blocks the engine now holds.
	ImportKV(ctx context.Context, cache KVCache) (int, error)
}
