package follow

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/boottime"
)

// second returns an instant in seconds.
func second(s float64) boottime.Instant { return boottime.Instant(s * float64(time.Second)) }

// retention returns until when missing entries are retained, in seconds.
func (h *storeHistory) retention() float64 {
	_, until := h.state()
	return time.Duration(until).Seconds()
}

// answeringHistory returns the history of a node that got answers until the tenth second.
func answeringHistory() *storeHistory {
	h := &storeHistory{}
	for at := 1.0; at <= 10; at++ {
		h.recordAnswer(second(at))
	}
	return h
}

func TestRegularAnswersAreNoOutage(t *testing.T) {
	h := answeringHistory()
	assert.Equal(t, h.retention(), 0.0)
	h.recordAnswer(second(10).Add(maxAnswerGap))
	assert.Equal(t, h.retention(), 0.0)
}

// Guards against a watch that is cut just before its answer being taken for an outage.
func TestCutWatchIsNoOutage(t *testing.T) {
	h := answeringHistory()
	h.recordFailure(second(10))
	h.recordAnswer(second(10).Add(confirmingWatchWait + minRetryDelay))
	assert.Equal(t, h.retention(), 0.0)
}

func TestOutageRetainsFromFirstAnswer(t *testing.T) {
	h := answeringHistory()
	h.recordFailure(second(12.5))
	h.recordAnswer(second(13))
	assert.Equal(t, h.retention(), 13+missingEntryRetention.Seconds())
	h.recordAnswer(second(13.5))
	assert.Equal(t, h.retention(), 13+missingEntryRetention.Seconds(), "later answers don't extend it")
}

// Guards against counting the retention from this node's own first answer, which may be late.
func TestPeersFirstAnswerEndsOutage(t *testing.T) {
	h := answeringHistory()
	h.recordFailure(second(15))
	h.recordPeer(Availability{Since: second(13), Last: second(15.8)})
	h.recordAnswer(second(16))
	assert.Equal(t, h.retention(), 13+missingEntryRetention.Seconds())
}

// The same if the peer's report arrives after this node's own first answer.
func TestLateReportOfPeerShortensRetention(t *testing.T) {
	h := answeringHistory()
	h.recordFailure(second(15))
	h.recordAnswer(second(16))
	assert.Assert(t, h.recordPeer(Availability{Since: second(13), Last: second(15.8)}))
	assert.Equal(t, h.retention(), 13+missingEntryRetention.Seconds())
	assert.Assert(t, !h.recordPeer(Availability{Since: second(14), Last: second(16.5)}), "a later beginning extends nothing")
	assert.Equal(t, h.retention(), 13+missingEntryRetention.Seconds())
}

// Guards against a node's own failed calls being taken for an outage of the store.
func TestAnswersToPeersAreNoOutage(t *testing.T) {
	h := answeringHistory()
	h.recordFailure(second(15))
	h.recordPeer(Availability{Since: second(2), Last: second(15.5)})
	h.recordAnswer(second(16))
	assert.Equal(t, h.retention(), 0.0)
}

// Guards against an outage being overlooked since a peer still reports the period before it.
func TestPeersOldAnswersDontHideOutage(t *testing.T) {
	h := answeringHistory()
	h.recordFailure(second(12.9))
	h.recordPeer(Availability{Since: second(2), Last: second(10.1)})
	h.recordAnswer(second(13))
	assert.Assert(t, !h.recordPeer(Availability{Since: second(2), Last: second(10.1)}))
	assert.Equal(t, h.retention(), 13+missingEntryRetention.Seconds())
}

// A node that nobody reports to knows only that the store returned after its last failed call was sent.
func TestRetentionWithoutPeersIsBoundedByLastFailure(t *testing.T) {
	h := answeringHistory()
	h.recordFailure(second(13))
	h.recordAnswer(second(14))
	assert.Equal(t, h.retention(), 13+maxRetentionAfterFailure.Seconds())
	assert.Assert(t, maxRetentionAfterFailure < 3*time.Second, "it must have ended when the node is held to what the store removed")
}

// After a rest that the store asked for, nothing is known of when it returned.
func TestRetentionAfterRestIsNotShortened(t *testing.T) {
	h := answeringHistory()
	h.recordFailure(second(12))
	h.recordAnswer(second(15))
	assert.Equal(t, h.retention(), 15+missingEntryRetention.Seconds())
}

// Guards against the only node that the store serves taking the others' recovery for the end of an outage.
func TestPeersRecoveryDoesNotEndOwnPeriod(t *testing.T) {
	h := answeringHistory()
	h.recordPeer(Availability{Since: second(10).Add(maxAnswerGap), Last: second(10).Add(maxAnswerGap)})
	assert.Equal(t, h.retention(), 0.0)
	assert.Equal(t, h.available.Since, second(1))
}

// Guards against a node that starts with its first answer retaining what is removed then.
func TestFirstAnswerIsNoOutage(t *testing.T) {
	h := &storeHistory{}
	h.recordAnswer(second(1))
	assert.Equal(t, h.retention(), 0.0)
	h = &storeHistory{}
	h.recordPeer(Availability{Since: second(1), Last: second(1.5)})
	h.recordAnswer(second(2))
	assert.Equal(t, h.retention(), 1+missingEntryRetention.Seconds(), "its peers know of an outage")
}

// A node that was frozen during an outage knows it from its peers only.
func TestFrozenNodeLearnsOfOutage(t *testing.T) {
	h := answeringHistory()
	h.recordPeer(Availability{Since: second(15), Last: second(16)})
	assert.Equal(t, h.retention(), 15+missingEntryRetention.Seconds())
	h = answeringHistory()
	h.recordPeer(Availability{Since: second(2), Last: second(16)})
	assert.Equal(t, h.retention(), 0.0)
}
