package places

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

func TestFirstBytesByLengthOfThePrompt(t *testing.T) {
	f := newFirstBytes()
	for range 20 {
		f.add(8000, 500*time.Millisecond)
		f.add(0, 5*time.Millisecond)
	}
	assert.Assert(t, f.of(7000) > 400*time.Millisecond)
	assert.Assert(t, f.of(100) < 10*time.Millisecond)
	assert.Equal(t, f.of(600), defaultFirst)
	assert.Assert(t, f.of(1<<40) == defaultFirst && f.of(-1) < 10*time.Millisecond)
}

func TestShortPromptIsNotLateForTheSakeOfLongOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 1)
		long, short := testAsk(), testAsk()
		long.PromptTokens, short.PromptTokens = 8000, 100
		for range 40 {
			b.take(long).Release(served(500 * time.Millisecond))
		}
		soon := time.Now().Add(300 * time.Millisecond)
		long.FirstByteDue, short.FirstByteDue = soon, soon
		p := b.pools["s"]
		assert.Assert(t, long.late(time.Now(), p.start(long)))
		assert.Assert(t, !short.late(time.Now(), p.start(short)))
	})
}
