package membership

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a change that is dropped before its push because the data centre has become smaller meanwhile: it stayed
// counted, and the node pushed without end.
func TestChangeIsPushedAfterTheDataCentreShrinks(t *testing.T) {
	var b broadcasts
	r := newRecord(memberOf("x", 1, 1), 0, intentServing)
	b.addRecord(r)
	for range transmissions(48) {
		b.piggyback(piggybackLimit, 48)
	}
	b.piggyback(piggybackLimit, 2)
	pushed, _ := b.take(pushLimit, 2)
	assert.Equal(t, len(pushed), 1)
	assert.Equal(t, pushed[0].Node, r.Node)
	assert.Equal(t, b.unsent, 0)
	assert.Equal(t, len(b.pending), 0)
}
