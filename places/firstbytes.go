package places

import (
	"math/bits"
	"time"
)

const (
	// defaultFirst is the time to the first byte until it is measured.
	defaultFirst = 50 * time.Millisecond
	// shortPrompt is the number of tokens below which prompts are not told apart: reading so many takes two milliseconds.
	shortPrompt = 256
	// promptClasses is the number of classes of prompts, each twice as long as the one before; the last holds the rest.
	promptClasses = 12
)

// firstBytes are the mean times in seconds from a dispatch to the first byte, by the length of the prompt. A mean over all
// prompts would take a short one for late, and refuse it, when it can still be on time, and send a long one too late.
type firstBytes [promptClasses]mean

func newFirstBytes() firstBytes {
	var f firstBytes
	for i := range f {
		f[i].value = defaultFirst.Seconds()
	}
	return f
}

func promptClass(tokens int) int {
	return min(bits.Len(uint(max(tokens, 0)/shortPrompt)), promptClasses-1)
}

func (f *firstBytes) add(tokens int, first time.Duration) {
	f[promptClass(tokens)].add(first.Seconds())
}

func (f *firstBytes) of(tokens int) time.Duration {
	return time.Duration(f[promptClass(tokens)].value * float64(time.Second))
}
