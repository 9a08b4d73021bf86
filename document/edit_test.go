package document

import (
	"context"
	"errors"
	"slices"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/store/memstore"
)

// headWrites applies the fault to writes of the head.
func headWrites(fault memstore.Fault) memstore.FaultFunc {
	return func(c memstore.Call) memstore.Fault {
		if c.Operation == memstore.OperationCompareAndSwap && strings.HasSuffix(c.Key, "/head") {
			return fault
		}
		return memstore.Fault{}
	}
}

func TestRacingEditsAreAllKept(t *testing.T) {
	inBubble(t, 2, 4, func(t *testing.T, f *fleet) {
		f.start()
		time.Sleep(5 * time.Second)
		var group errgroup.Group
		for i, n := range f.nodes {
			group.Go(func() error {
				_, err := n.update(add(string(rune('a' + i))))
				return err
			})
		}
		assert.NilError(t, group.Wait())
		time.Sleep(time.Second)
		got := []byte(f.nodes[0].value())
		f.expectAll(string(got))
		slices.Sort(got)
		assert.Equal(t, string(got), "abcdefgh")
		assert.Equal(t, f.nodes[0].condition().InForce.Generation, uint64(8))
	})
}

func TestEditUnderFaultsOfTheStore(t *testing.T) {
	cases := []struct {
		name  string
		fault func(f *fleet, editor *testNode)
		err   error
		value string
	}{
		{"answers lost", func(_ *fleet, n *testNode) { n.client.DropNextResponses(7) }, nil, "one+"},
		{"slow", func(_ *fleet, n *testNode) { n.client.SetDelay(400 * time.Millisecond) }, nil, "one+"},
		{"down", func(_ *fleet, n *testNode) { n.client.SetDown(true) }, ErrNotAccepted, "one"},
		{"down for the head", func(_ *fleet, n *testNode) {
			n.client.SetFunc(headWrites(memstore.Fault{Down: true}))
		}, ErrNotAccepted, "one"},
		{"answer lost, then down", func(_ *fleet, n *testNode) {
			calls := 0
			n.client.SetFunc(func(c memstore.Call) memstore.Fault {
				if !strings.HasSuffix(c.Key, "/head") || c.Operation != memstore.OperationCompareAndSwap {
					return memstore.Fault{Down: calls > 0}
				}
				calls++
				return memstore.Fault{DropResponse: calls == 1, Down: calls > 1}
			})
		}, ErrUnknownOutcome, "one+"},
		{"answer lost, then edited by another", func(f *fleet, n *testNode) {
			var lost bool
			watching, _ := f.splitHeads(f.nodes)
			n.client.SetFunc(func(c memstore.Call) memstore.Fault {
				if !lost && c.Operation == memstore.OperationCompareAndSwap && strings.HasSuffix(c.Key, "/head") {
					lost = true
					time.AfterFunc(10*time.Millisecond, func() { _, _ = watching[0].update(add("-")) })
					return memstore.Fault{DropResponse: true}
				}
				return memstore.Fault{}
			})
		}, nil, "one+-"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			inBubble(t, 1, 4, func(t *testing.T, f *fleet) {
				f.start()
				f.nodes[0].mustUpdate(set("one"))
				time.Sleep(time.Minute)
				_, others := f.splitHeads(f.nodes)
				editor := others[0]
				f.network.Partition(names([]*testNode{editor}), names(slices.DeleteFunc(slices.Clone(f.nodes), editor.is)))
				c.fault(f, editor)
				version, err := editor.update(add("+"))
				assert.Assert(t, errors.Is(err, c.err), "%v", err)
				// The editor has what was accepted, without being told.
				assert.Assert(t, !version.After(editor.service.all()[0].stamp()))
				editor.client.SetDown(false)
				editor.client.SetFunc(nil)
				f.network.HealAll()
				time.Sleep(20 * time.Second)
				f.expectAll(c.value)
			})
		})
	}
}

func TestSettle(t *testing.T) {
	cases := []struct {
		name  string
		fault memstore.Fault
		err   error
		value string
	}{
		{"it had taken effect", memstore.Fault{DropResponse: true, Delay: 20 * time.Second}, nil, "one+"},
		{"it is still on its way", memstore.Fault{Delay: time.Hour}, ErrNotAccepted, "one"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			inBubble(t, 1, 4, func(t *testing.T, f *fleet) {
				f.start()
				f.nodes[0].mustUpdate(set("one"))
				time.Sleep(time.Minute)
				editor, edit := f.nodes[1], Edit{ID: NewEditID()}
				editor.client.SetFunc(headWrites(c.fault))
				_, err := editor.service.Update(t.Context(), docName, edit, add("+"))
				assert.ErrorIs(t, err, ErrUnknownOutcome)
				time.Sleep(time.Minute)
				for _, n := range f.nodes[2:] {
					version, err := n.service.Settle(t.Context(), docName, edit.ID, 1)
					assert.Assert(t, errors.Is(err, c.err), "%v", err)
					if err == nil {
						assert.Equal(t, version.Generation, uint64(2))
					}
				}
				time.Sleep(2 * time.Hour)
				f.expectAll(c.value)
				// The same edit again has the same result.
				editor.client.SetFunc(nil)
				_, err = editor.service.Update(t.Context(), docName, edit, add("+"))
				assert.Assert(t, errors.Is(err, c.err), "%v", err)
				f.expectAll(c.value)
			})
		})
	}
}

// storedParts returns how many parts the store has.
func (f *fleet) storedParts() int {
	entries, err := f.store.NewClient().List(context.Background(), keyRoot+docName+"/part/")
	assert.NilError(f.t, err)
	return len(entries)
}

func TestInterruptedEditIsCollected(t *testing.T) {
	inBubble(t, 1, 4, func(t *testing.T, f *fleet) {
		f.start()
		f.nodes[0].mustUpdate(set("one"))
		f.nodes[1].client.SetFunc(headWrites(memstore.Fault{Down: true}))
		_, err := f.nodes[1].update(set("left behind"))
		assert.ErrorIs(t, err, ErrNotAccepted)
		assert.Equal(t, f.storedParts(), 4)
		time.Sleep(50 * time.Minute) // There has been a collection, but they are too young.
		assert.Equal(t, f.storedParts(), 4)
		time.Sleep(3 * time.Hour)
		assert.Equal(t, f.storedParts(), 2)
		// What the history refers to is kept, and no more of it than is wanted.
		for _, text := range strings.Split("abcdefghijk", "") {
			f.nodes[2].mustUpdate(set(text))
		}
		time.Sleep(3 * time.Hour)
		assert.Equal(t, f.storedParts(), 2*(1+f.spec.KeepHistory))
		_, value, err := f.nodes[3].service.Load(t.Context(), docName, 4)
		assert.NilError(t, err)
		assert.Equal(t, string(value.Bytes()), "c")
		_, _, err = f.nodes[3].service.Load(t.Context(), docName, 3)
		assert.ErrorIs(t, err, ErrNoVersion)
	})
}

// An editor that is paused between writing its parts and its head must not make
// a version whose parts were collected meanwhile.
func TestLateHeadAfterCollectionIsRefused(t *testing.T) {
	inBubble(t, 1, 4, func(t *testing.T, f *fleet) {
		f.start()
		f.nodes[0].mustUpdate(set("one"))
		f.nodes[1].client.SetFunc(headWrites(memstore.Fault{Delay: 5 * time.Hour}))
		_, err := f.nodes[1].update(set("late"))
		assert.ErrorIs(t, err, ErrUnknownOutcome)
		time.Sleep(6 * time.Hour)
		assert.Equal(t, f.storedParts(), 2)
		f.expectAll("one")
		for _, n := range f.nodes {
			n.halt()
		}
		f.start()
		time.Sleep(20 * time.Second)
		f.expectAll("one")
	})
}

// A part that is about to be collected is kept when an edit needs it again.
func TestPartInUseAgainIsKept(t *testing.T) {
	inBubble(t, 1, 4, func(t *testing.T, f *fleet) {
		f.start()
		f.nodes[0].mustUpdate(set("one"))
		f.nodes[1].client.SetFunc(headWrites(memstore.Fault{Down: true}))
		_, err := f.nodes[1].update(set("two"))
		assert.ErrorIs(t, err, ErrNotAccepted)
		// Each deletion is slow: the edit comes in between its decision and effect.
		deleting := make(chan struct{}, 8)
		for _, n := range f.nodes {
			n.client.SetFunc(func(c memstore.Call) memstore.Fault {
				if c.Operation != memstore.OperationDelete {
					return memstore.Fault{}
				}
				deleting <- struct{}{}
				return memstore.Fault{Delay: time.Second}
			})
		}
		<-deleting
		f.nodes[2].mustUpdate(set("two"))
		time.Sleep(time.Minute)
		for _, n := range f.nodes {
			n.halt()
		}
		f.start()
		time.Sleep(20 * time.Second)
		f.expectAll("two")
	})
}

func TestInlineDocument(t *testing.T) {
	inBubble(t, 2, 3, func(t *testing.T, f *fleet) {
		f.spec = Spec{Name: docName, WatchIn: []domain.DataCentre{"dc0"}}
		f.start()
		before := f.store.Counts().Writes
		f.nodes[0].mustUpdate(set("one"))
		f.nodes[4].mustUpdate(set("two"))
		assert.Equal(t, f.store.Counts().Writes-before, uint64(2))
		time.Sleep(time.Second)
		f.expectAll("two")
		watching, _ := f.splitHeads(f.nodes)
		assert.Equal(t, len(watching), 2)
		assert.Equal(t, f.storedParts(), 0)
	})
}
