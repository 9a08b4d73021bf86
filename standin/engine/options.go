package engine

import (
	"time"

	"hawthornrill.example/hawthornrill/defaults"
)

// Options describe an engine. New fills in the defaults.
type Options struct {
	Speed Speed
	// BatchLimit is the number of sequences computed at a time. Default 32.
	BatchLimit int
	// KVTokens is the size of the KV cache in tokens. Default 131072.
	KVTokens int
	// WaitingLimit bounds the requests that wait for the batch; further ones are
	// refused. Default 0, no bound.
	WaitingLimit int
	// Models are loaded from the start. With none, the engine serves any model
	// until the first order.
	Models []string
	// Retention is for how long an ended stream can be resumed. Default 60 s.
	Retention time.Duration
	// LoadLag is how old load reports are. Default 500 ms, negative for none.
	LoadLag time.Duration
	// CacheEventDelay is how late cache events appear. Default 1 s, negative for
	// none. CacheEventLossRate is the share of them that never do, between 0 and 1.
	CacheEventDelay    time.Duration
	CacheEventLossRate float64
	// IgnoreFencing obeys orders with an old fencing number.
	IgnoreFencing bool
	// RestartDelay is how long the engine is down after a crash. Default Speed.Load;
	// negative for ever.
	RestartDelay time.Duration
	// Poison crashes the engine that computes a prompt with this text in it.
	Poison string
	// Seed makes the gaps in cache events differ between engines.
	Seed uint64
	// FetchWeights, if set, gets weights before they are loaded, such as from the
	// weight store. If it fails, the model or adapter is not there.
	FetchWeights func(Weights) error
	// OnUp, if set, is told when the engine begins and ceases to refuse
	// connections. It must not call the engine.
	OnUp func(up bool)
	// OnPrefill, if set, is told of each prompt block that is computed. It must
	// not call the engine.
	OnPrefill func(block uint64)
}

// Weights names weights to load; Adapter is empty for a model's own.
type Weights struct{ Model, Version, Adapter string }

const (
	defaultBatchLimit      = 32
	defaultKVTokens        = 128 << 10
	defaultRetention       = time.Minute
	defaultLoadLag         = 500 * time.Millisecond
	defaultCacheEventDelay = time.Second
)

// DefaultOptions returns the options with their defaults, of no speed.
func DefaultOptions() Options { return Options{}.withDefaults() }

func (o Options) withDefaults() Options {
	defaults.Set(&o.BatchLimit, defaultBatchLimit)
	defaults.Set(&o.KVTokens, defaultKVTokens)
	defaults.Set(&o.Speed.PrefillChunk, defaultChunk)
	defaults.Set(&o.Retention, defaultRetention)
	defaults.Set(&o.LoadLag, defaultLoadLag)
	defaults.Set(&o.CacheEventDelay, defaultCacheEventDelay)
	defaults.Set(&o.RestartDelay, o.Speed.ModelLoad)
	o.LoadLag = max(0, o.LoadLag)
	o.CacheEventDelay = max(0, o.CacheEventDelay)
	return o
}
