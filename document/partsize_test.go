package document

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/store"
)

// Guards against an edit whose first parts are written before the store refuses one that is too large.
func TestPartBeyondTheStoresLimitIsRefusedBeforeAnythingIsWritten(t *testing.T) {
	inBubble(t, 1, 1, func(t *testing.T, f *fleet) {
		f.start()
		f.nodes[0].mustUpdate(set("before"))
		time.Sleep(time.Second)
		before := f.store.Counts()
		_, err := f.nodes[0].update(func(Version, []byte) (Value, error) {
			return Value{Parts: [][]byte{make([]byte, 100<<10), make([]byte, store.MaxValueBytes+1)}}, nil
		})
		assert.ErrorIs(t, err, ErrNotAccepted)
		assert.ErrorContains(t, err, "part of 1048577 bytes exceeds the limit of 1048576")
		assert.Equal(t, f.store.Counts().Writes, before.Writes)
		f.expectAll("before")
	})
}
