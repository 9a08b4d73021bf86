package places

import (
	"math/bits"
	"time"
)

const (
	// defaultFirstByteTime is used until there are measurements.
	defaultFirstByteTime = 50 * time.Millisecond
	// shortPromptTokens is the length below which prompts share one class: prefilling that many tokens takes two
	// milliseconds.
	shortPromptTokens = 256
	// promptClasses is the number of prompt classes. Each covers twice the length of the one before; the last is
	// unbounded.
	promptClasses = 12
)

// firstByteTimes are the mean times in seconds from dispatch to first byte, by prompt length. One mean over all prompts
// would classify short prompts as late and refuse them although they can be on time, and would send long ones too late.
type firstByteTimes [promptClasses]mean

func newFirstByteTimes() firstByteTimes {
	var f firstByteTimes
	for i := range f {
		f[i].value = defaultFirstByteTime.Seconds()
	}
	return f
}

func promptClass(tokens int) int {
	return min(bits.Len(uint(max(tokens, 0)/shortPromptTokens)), promptClasses-1)
}

func (f *firstByteTimes) add(tokens int, first time.Duration) {
	f[promptClass(tokens)].add(first.Seconds())
}

func (f *firstByteTimes) mean(tokens int) time.Duration {
	return time.Duration(f[promptClass(tokens)].value * float64(time.Second))
}
