package engine

import "time"

// Speed is how fast an engine's hardware is. The zero value takes no time.
type Speed struct {
	// Prefill is the time for one uncached prompt token.
	Prefill time.Duration
	// Step is the time to decode one token for a batch of one; PerSequence is
	// added for each further sequence in the batch.
	Step        time.Duration
	PerSequence time.Duration
	// Chunk is the number of prompt tokens that one step computes at most.
	Chunk int
	// Load is the time to load a model's weights, Adapter an adapter's.
	Load    time.Duration
	Adapter time.Duration
	// Transfer is the time to export or import one token of KV cache.
	Transfer time.Duration
}

const defaultChunk = 256

// GenerationB is the older hardware, which takes 2.5 times as long.
func GenerationB() Speed {
	return Speed{
		Prefill:     150 * time.Microsecond,
		Step:        25 * time.Millisecond,
		PerSequence: 500 * time.Microsecond,
		Chunk:       defaultChunk,
		Load:        50 * time.Second,
		Adapter:     2500 * time.Millisecond,
		Transfer:    10 * time.Microsecond,
	}
}

// GenerationA is the newer hardware.
func GenerationA() Speed {
	return Speed{
		Prefill:     60 * time.Microsecond,
		Step:        10 * time.Millisecond,
		PerSequence: 200 * time.Microsecond,
		Chunk:       defaultChunk,
		Load:        20 * time.Second,
		Adapter:     time.Second,
		Transfer:    4 * time.Microsecond,
	}
}

// NoDelay takes no time for anything; it serves to measure what others add.
func NoDelay() Speed { return Speed{Chunk: defaultChunk} }

// Flat yields a token every interval whatever the batch and the prompt, so that
// what others add to it can be told from its own delays.
func Flat(interval time.Duration) Speed { return Speed{Step: interval, Chunk: 1 << 20} }

// step is the time of one step of the batch.
func (s Speed) step(decoding, prefill int) time.Duration {
	d := time.Duration(prefill) * s.Prefill
	if decoding > 0 {
		d += s.Step + time.Duration(decoding-1)*s.PerSequence
	}
	return d
}
