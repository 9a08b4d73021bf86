package engine

// Counts are sums since the engine's first start; crashes don't reset them.
type Counts struct {
	// Arrived requests were accepted, Refused ones were not.
	Arrived, Refused uint64
	Finished         uint64
	Cancelled        uint64
	// Crashed counts requests lost in a crash, Crashes the crashes.
	Crashed, Crashes uint64
	// Preempted counts sequences that were thrown out of the batch for lack of KV
	// memory and computed again.
	Preempted uint64
	// PrefillDone counts prompt tokens computed, PrefillReused those found in the
	// cache instead.
	PrefillDone, PrefillReused uint64
	// PrefillAbandoned counts those computed for requests that did not finish or
	// were preempted.
	PrefillAbandoned uint64
	// PrefillRepeated counts those in blocks that this engine had computed before
	// and evicted or lost since.
	PrefillRepeated uint64
	// Generated counts answer tokens; GeneratedAbandoned those of requests that did
	// not finish.
	Generated, GeneratedAbandoned uint64
	// Imported and Exported count tokens of KV cache.
	Imported, Exported uint64
}
