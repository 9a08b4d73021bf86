package engine

// Counts are sums since the engine's first start; crashes don't reset them.
type Counts struct {
	// Arrived requests were accepted, Refused ones were not.
	Arrived   uint64 `json:"arrived"`
	Refused   uint64 `json:"refused"`
	Finished  uint64 `json:"finished"`
	Cancelled uint64 `json:"cancelled"`
	// Crashed counts requests lost in a crash, Crashes the crashes.
	Crashed uint64 `json:"crashed"`
	Crashes uint64 `json:"crashes"`
	// Preempted counts sequences that were thrown out of the batch for lack of KV
	// memory and computed again.
	Preempted uint64 `json:"preempted"`
	// PrefillDone counts prompt tokens computed, PrefillReused those found in the
	// cache instead.
	PrefillDone   uint64 `json:"prefill_done"`
	PrefillReused uint64 `json:"prefill_reused"`
	// PrefillAbandoned counts those computed for requests that did not finish or
	// were preempted.
	PrefillAbandoned uint64 `json:"prefill_abandoned"`
	// PrefillRepeated counts those in blocks that this engine had computed before
	// and evicted or lost since.
	PrefillRepeated uint64 `json:"prefill_repeated"`
	// Generated counts answer tokens; GeneratedAbandoned those of requests that did
	// not finish.
	Generated          uint64 `json:"generated"`
	GeneratedAbandoned uint64 `json:"generated_abandoned"`
	// Imported and Exported count tokens of KV cache.
	Imported uint64 `json:"imported"`
	Exported uint64 `json:"exported"`
}
