package places

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

func TestFirstByteTimesByPromptLength(t *testing.T) {
	f := newFirstByteTimes()
	for range 20 {
		f.add(8000, 500*time.Millisecond)
		f.add(0, 5*time.Millisecond)
	}
	assert.Assert(t, f.mean(7000) > 400*time.Millisecond)
	assert.Assert(t, f.mean(100) < 10*time.Millisecond)
	assert.Equal(t, f.mean(600), defaultFirstByteTime)
	assert.Assert(t, f.mean(1<<40) == defaultFirstByteTime && f.mean(-1) < 10*time.Millisecond)
}

func TestLongPromptsDoNotMakeShortOnesLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 1)
		long, short := testRequest(), testRequest()
		long.PromptTokens, short.PromptTokens = 8000, 100
		for range 40 {
			f.take(long).Release(served(500 * time.Millisecond))
		}
		soon := time.Now().Add(300 * time.Millisecond)
		long.FirstByteDue, short.FirstByteDue = soon, soon
		p := f.pools["s"]
		assert.Assert(t, long.late(time.Now(), p.firstByteTime(long)))
		assert.Assert(t, !short.late(time.Now(), p.firstByteTime(short)))
	})
}
