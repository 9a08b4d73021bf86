package quarantine

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
)

// Pattern: a request crashes each endpoint that runs it, and its caller sends it again at other nodes.
func TestContentThatBreaksOffEndpointsIsKnownAtAllNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		one, other := NewTracker(zerolog.Nop()), NewTracker(zerolog.Nop())
		one.RecordFailure("a", poison)
		other.RecordFailure("b", poison)
		one.MergeEvidence(other.RecentEvidence())
		assert.Equal(t, one.Quarantined(poison), time.Duration(0), "two endpoints may break off by chance")
		time.Sleep(time.Second)
		one.RecordFailure("c", poison)
		other.MergeEvidence(one.RecentEvidence())
		assert.Assert(t, one.Quarantined(poison) > time.Minute && other.Quarantined(poison) > time.Minute)
		assert.Equal(t, other.Quarantined(poison+1), time.Duration(0))
		time.Sleep(time.Millisecond)
		one.Completed(poison)
		other.MergeEvidence(one.RecentEvidence())
		assert.Equal(t, other.Quarantined(poison), time.Duration(0), "it was answered after all")
		time.Sleep(2 * tellFor)
		assert.Equal(t, len(one.RecentEvidence()), 0)
	})
}

func TestNewsIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := NewTracker(zerolog.Nop())
		for i := range uint64(200) {
			b.RecordFailure("a", i+1)
		}
		assert.Equal(t, len(b.RecentEvidence()), toldMost)
	})
}
