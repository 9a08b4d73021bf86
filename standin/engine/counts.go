package engine

// Counts are totals since the engine was created; crashes don't reset them.
type Counts struct {
	// Arrived counts accepted requests, Refused those that were refused.
	Arrived   uint64 `json:"arrived"`
	Refused   uint64 `json:"refused"`
	Finished  uint64 `json:"finished"`
	Cancelled uint64 `json:"cancelled"`
	// Crashed counts requests lost in crashes, Crashes the crashes themselves.
	Crashed uint64 `json:"crashed"`
	Crashes uint64 `json:"crashes"`
	// Preempted counts sequences that were removed from the batch for lack of KV
	// memory and queued to be recomputed.
	Preempted uint64 `json:"preempted"`
	// PrefillDone counts prompt tokens computed, PrefillReused those found in the
	// cache.
	PrefillDone   uint64 `json:"prefill_done"`
	PrefillReused uint64 `json:"prefill_reused"`
	// PrefillAbandoned counts prompt tokens computed for requests that did not
	// finish or were preempted.
	PrefillAbandoned uint64 `json:"prefill_abandoned"`
	// PrefillRepeated counts prompt tokens in blocks that this engine had already
	// computed and since evicted or lost.
	PrefillRepeated uint64 `json:"prefill_repeated"`
	// Generated counts answer tokens, GeneratedAbandoned those of requests that did
	// not finish.
	Generated          uint64 `json:"generated"`
	GeneratedAbandoned uint64 `json:"generated_abandoned"`
	// Imported and Exported count KV cache tokens.
	Imported uint64 `json:"imported"`
	Exported uint64 `json:"exported"`
}
