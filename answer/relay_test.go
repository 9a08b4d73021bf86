package answer_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/answer"
	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/peer/peertest"
)

func TestRelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := peertest.NewNetwork()
		defer network.Close()
		member := func(name domain.NodeID) domain.Member { return domain.Member{Node: name, Incarnation: 1} }
		registry := answer.NewRegistry(answer.NewCache(answer.CacheOptions{}))
		answer.NewRelay(network.Node(member("holder")), registry)
		reader := answer.NewRelay(network.Node(member("reader")), answer.NewRegistry(answer.NewCache(answer.CacheOptions{})))
		faulty := network.Node(member("faulty"))
		faulty.Handle(answer.MethodRead, func(context.Context, domain.Member, []byte) ([]byte, error) {
			chunk := map[int]any{1: 5, 2: []byte("x")}
			return cbor.Marshal(map[int]any{2: map[int]any{2: []any{chunk}}})
		})
		key := domain.RequestKey{Organisation: "o", Client: "k"}
		buffer := answer.NewBuffer(0)
		registry.Open(key, buffer)
		go func() {
			// Longer than the holder blocks one read.
			time.Sleep(3 * answer.MaxReadWait / 2)
			buffer.SetHead(answer.Head{Status: 200})
			for i := range uint64(5) {
				assert.Check(t, buffer.Append(t.Context(), i, make([]byte, 40<<10)))
			}
			buffer.End(answer.End{})
			registry.Finish(key, buffer)
		}()
		position := answer.Position{NeedHead: true}
		reads, heads := 0, 0
		for end := (*answer.End)(nil); end == nil; reads++ {
			batch, err := reader.Read(t.Context(), member("holder"), key, position)
			assert.NilError(t, err)
			if batch.Head != nil {
				heads++
			}
			position, end = position.Advance(batch), batch.End
		}
		assert.Equal(t, position.From, uint64(5))
		assert.Equal(t, heads, 1)
		// One empty read and five of one chunk each: two chunks exceed the size of a batch.
		assert.Assert(t, reads >= 6, reads)

		other := key
		other.Organisation = "other"
		_, err := reader.Read(t.Context(), member("holder"), other, answer.Position{})
		assert.ErrorIs(t, err, answer.ErrNotHeld)
		_, err = reader.Read(t.Context(), member("faulty"), key, answer.Position{})
		assert.ErrorIs(t, err, answer.ErrHolderUnavailable)
		network.Cut("reader", "holder")
		_, err = reader.Read(t.Context(), member("holder"), key, answer.Position{})
		assert.ErrorIs(t, err, answer.ErrHolderUnavailable)
	})
}
