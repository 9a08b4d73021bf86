package engine

import "time"

// Speed describes the performance of an engine's hardware. With the zero value all
// work takes no time.
type Speed struct {
	// Prefill is the time for one uncached prompt token.
	Prefill time.Duration
	// DecodeStep is the time to decode one token with a batch of one; PerSequence is
	// added for each further sequence in the batch.
	DecodeStep  time.Duration
	PerSequence time.Duration
	// PrefillChunk is the maximum number of prompt tokens that one step computes.
	PrefillChunk int
	// ModelLoad is the time to load a model's weights, AdapterLoad an adapter's.
	ModelLoad   time.Duration
	AdapterLoad time.Duration
	// Transfer is the time to export or import one token of KV cache.
	Transfer time.Duration
}

const defaultChunk = 256

// GenerationB returns the speed of the older hardware, which takes 2.5 times as
// long.
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

// GenerationA returns the speed of the newer hardware.
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

// NoDelay returns a speed with which all work takes no time. It is used to measure
// the overhead of other components.
func NoDelay() Speed { return Speed{PrefillChunk: defaultChunk} }

// FixedInterval returns a speed that yields one token every interval, whatever the
// batch and the prompt, so that delays added by other components can be
// distinguished from those of the engine.
func FixedInterval(interval time.Duration) Speed {
	return Speed{DecodeStep: interval, PrefillChunk: 1 << 20}
}

// step returns the duration of one step of the batch.
func (s Speed) step(decoding, prefill int) time.Duration {
	d := time.Duration(prefill) * s.Prefill
	if decoding > 0 {
		d += s.DecodeStep + time.Duration(decoding-1)*s.PerSequence
	}
	return d
}
