package engine

import "time"

// Speed is how fast an engine's hardware is. The zero value takes no time.
type Speed struct {
	// Prefill is the time for one uncached prompt token.
	Prefill time.Duration
	// Step is the time to decode one token for a batch of one; PerSequence is
	// added for each further sequence in the batch.
	DecodeStep  time.Duration
	PerSequence time.Duration
	// Chunk is the number of prompt tokens that one step computes at most.
	PrefillChunk int
	// Load is the time to load a model's weights, Adapter an adapter's.
	ModelLoad   time.Duration
	AdapterLoad time.Duration
	// Transfer is the time to export or import one token of KV cache.
	Transfer time.Duration
}

const defaultChunk = 256

// GenerationB is the older hardware, which takes 2.5 times as long.
func GenerationB() Speed {
	return Speed{
		Prefill:      150 * time.Microsecond,
		DecodeStep:   25 * time.Millisecond,
		PerSequence:  500 * time.Microsecond,
		PrefillChunk: defaultChunk,
		ModelLoad:    50 * time.Second,
		AdapterLoad:  2500 * time.Millisecond,
		Transfer:     10 * time.Microsecond,
	}
}

// GenerationA is the newer hardware.
func GenerationA() Speed {
	return Speed{
		Prefill:      60 * time.Microsecond,
		DecodeStep:   10 * time.Millisecond,
		PerSequence:  200 * time.Microsecond,
		PrefillChunk: defaultChunk,
		ModelLoad:    20 * time.Second,
		AdapterLoad:  time.Second,
		Transfer:     4 * time.Microsecond,
	}
}

// NoDelay takes no time for anything; it serves to measure what others add.
func NoDelay() Speed { return Speed{PrefillChunk: defaultChunk} }

// FixedInterval yields a token every interval whatever the batch and the prompt, so that
// what others add to it can be told from its own delays.
func FixedInterval(interval time.Duration) Speed {
	return Speed{DecodeStep: interval, PrefillChunk: 1 << 20}
}

// step is the time of one step of the batch.
func (s Speed) step(decoding, prefill int) time.Duration {
	d := time.Duration(prefill) * s.Prefill
	if decoding > 0 {
		d += s.DecodeStep + time.Duration(decoding-1)*s.PerSequence
	}
	return d
}
