package engine

import (
	"time"

	"hawthornrill.example/hawthornrill/defaults"
)

// Options configure an engine. New fills in the defaults.
type Options struct {
	Speed Speed
	// BatchLimit is the maximum number of sequences in the batch. Default 32.
	BatchLimit int
	// KVTokens is the size of the KV cache in tokens. Default 131072.
	KVTokens int
	// WaitingLimit is the maximum number of requests that wait for the batch;
	// further ones are refused. Default 0, no limit.
	WaitingLimit int
	// Models are loaded from the start. If empty, the engine serves any model until
	// its first order that loads or unloads a model.
	Models []string
	// Retention is how long an ended stream can be resumed. Default 60 s.
	Retention time.Duration
	// LoadLag is the age of load reports. Default 500 ms, negative for none.
	LoadLag time.Duration
	// CacheEventDelay is the delay after which cache events become visible. Default
	// 1 s, negative for none. CacheEventLossRate is the fraction of events that are
	// lost, between 0 and 1.
	CacheEventDelay    time.Duration
	CacheEventLossRate float64
	// IgnoreFencing makes the engine apply orders with an old fencing number.
	IgnoreFencing bool
	// RestartDelay is how long the engine is down after a crash. Default
	// Speed.ModelLoad; if negative, it does not restart.
	RestartDelay time.Duration
	// Poison crashes the engine when it computes a prompt that contains this text.
	Poison string
	// Seed seeds the choice of lost cache events, so that it differs between
	// engines.
	Seed uint64
	// FetchWeights, if set, fetches weights before they are loaded, for example from
	// the weight store. If it fails, the model or adapter is not loaded.
	FetchWeights func(Weights) error
	// OnAvailabilityChange, if set, is called when the engine starts or stops
	// accepting connections. It must not call the engine.
	OnAvailabilityChange func(available bool)
	// OnPrefill, if set, is called for each prompt block that is computed. It must
	// not call the engine.
	OnPrefill func(block uint64)
}

// Weights identifies the weights to load. Adapter is empty for the base model.
type Weights struct{ Model, Version, Adapter string }

const (
	defaultBatchLimit      = 32
	defaultKVTokens        = 128 << 10
	defaultRetention       = time.Minute
	defaultLoadLag         = 500 * time.Millisecond
	defaultCacheEventDelay = time.Second
)

// DefaultOptions returns the default options. Speed has only its PrefillChunk set.
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
