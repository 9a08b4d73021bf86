package endpoint

import "context"

// KVCache is the exported KV cache of a prefix.
type KVCache struct {
	// Blocks are the hashes of its blocks, the shortest prefix first.
	Blocks []uint64 `json:"blocks"`
	// Data is the engine's own form of it.
	Data []byte `json:"data,omitempty"`
}

// KVTransfer is the side of a model engine that hands on KV cache.
type KVTransfer interface {
	// ExportKV returns the cache of the leading blocks that the engine holds, which
	// may be none.
	ExportKV(ctx context.Context, blocks []uint64) (KVCache, error)
	// ImportKV puts an exported cache in place and returns how many of its blocks
	// are held now.
	ImportKV(ctx context.Context, cache KVCache) (int, error)
}
