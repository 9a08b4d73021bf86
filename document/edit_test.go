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

// headWrites returns a function that injects the fault into writes of the head.
func headWrites(fault memstore.Fault) memstore.FaultFunc {
	return func(c memstore.Call) memstore.Fault {
		if c.Operation == memstore.OperationCompareAndSwap && strings.HasSuffix(c.Key, "/head") {
			return fault
		}
		return memstore.Fault{}
	}
}

func TestConcurrentEditsAreAllKept(t *testing.T) {
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

func TestEditUnderStoreFaults(t *testing.T) {
	cases := []struct {
		name  string
		fault func(f *fleet, editor *testNode)
		err   error
		value string
	}{
		{"replies lost", func(_ *fleet, n *testNode) { n.client.DropNextResponses(7) }, nil, "one+"},
		{"slow", func(_ *fleet, n *testNode) { n.client.SetDelay(400 * time.Millisecond) }, nil, "one+"},
		{"down", func(_ *fleet, n *testNode) { n.client.SetDown(true) }, ErrNotAccepted, "one"},
		{"down for head writes", func(_ *fleet, n *testNode) {
			n.client.SetFunc(headWrites(memstore.Fault{Down: true}))
		}, ErrNotAccepted, "one"},
		{"reply lost, then down", func(_ *fleet, n *testNode) {
			calls := 0
			n.client.SetFunc(func(c memstore.Call) memstore.Fault {
				if !strings.HasSuffix(c.Key, "/head") || c.Operation != memstore.OperationCompareAndSwap {
					return memstore.Fault{Down: calls > 0}
				}
				calls++
				return memstore.Fault{DropResponse: calls == 1, Down: calls > 1}
			})
		}, ErrUnknownOutcome, "one+"},
		{"reply lost, then concurrent edit", func(f *fleet, n *testNode) {
			var lost bool
			watching, _ := f.splitWatchers(f.nodes)
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
				_, others := f.splitWatchers(f.nodes)
				editor := others[0]
				f.network.Partition(nodeIDs([]*testNode{editor}), nodeIDs(slices.DeleteFunc(slices.Clone(f.nodes), editor.is)))
				c.fault(f, editor)
				version, err := editor.update(add("+"))
				assert.Assert(t, errors.Is(err, c.err), "%v", err)
				// The editor holds the accepted version without an announcement.
				assert.Assert(t, !version.After(editor.service.sortedReplicas()[0].stamp()))
				editor.client.SetDown(false)
				editor.client.SetFunc(nil)
				f.network.HealAll()
				time.Sleep(20 * time.Second)
				f.expectAll(c.value)
			})
		})
	}
}

func TestResolveEdit(t *testing.T) {
	cases := []struct {
		name  string
		fault memstore.Fault
		err   error
		value string
	}{
		{"taken effect", memstore.Fault{DropResponse: true, Delay: 20 * time.Second}, nil, "one+"},
		{"still in flight", memstore.Fault{Delay: time.Hour}, ErrNotAccepted, "one"},
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
					version, err := n.service.ResolveEdit(t.Context(), docName, edit.ID, 1)
					assert.Assert(t, errors.Is(err, c.err), "%v", err)
					if err == nil {
						assert.Equal(t, version.Generation, uint64(2))
					}
				}
				time.Sleep(2 * time.Hour)
				f.expectAll(c.value)
				// A retry of the same edit has the same result.
				editor.client.SetFunc(nil)
				_, err = editor.service.Update(t.Context(), docName, edit, add("+"))
				assert.Assert(t, errors.Is(err, c.err), "%v", err)
				f.expectAll(c.value)
			})
		})
	}
}

// storedParts returns the number of parts and manifests in the store.
func (f *fleet) storedParts() int {
	entries, err := f.store.NewClient().List(context.Background(), keyPrefix+docName+"/part/")
	assert.NilError(f.t, err)
	return len(entries)
}

func TestPartsOfInterruptedEditAreCollected(t *testing.T) {
	inBubble(t, 1, 4, func(t *testing.T, f *fleet) {
		f.start()
		f.nodes[0].mustUpdate(set("one"))
		f.nodes[1].client.SetFunc(headWrites(memstore.Fault{Down: true}))
		_, err := f.nodes[1].update(set("left behind"))
		assert.ErrorIs(t, err, ErrNotAccepted)
		assert.Equal(t, f.storedParts(), 4)
		time.Sleep(50 * time.Minute) // A collection has run, but the parts are younger than CollectAge.
		assert.Equal(t, f.storedParts(), 4)
		time.Sleep(3 * time.Hour)
		assert.Equal(t, f.storedParts(), 2)
		// Parts to which the history refers are kept, up to KeepHistory versions.
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

// Guards against an accepted version with missing parts: an editor is paused between
// writing its parts and its head, and the parts are collected meanwhile.
func TestDelayedHeadWriteAfterCollectionFails(t *testing.T) {
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

// Guards against the deletion of a part in use: an edit refers to a part again after
// the collector has decided to delete it.
func TestPartReferencedAgainIsNotCollected(t *testing.T) {
	inBubble(t, 1, 4, func(t *testing.T, f *fleet) {
		f.start()
		f.nodes[0].mustUpdate(set("one"))
		f.nodes[1].client.SetFunc(headWrites(memstore.Fault{Down: true}))
		_, err := f.nodes[1].update(set("two"))
		assert.ErrorIs(t, err, ErrNotAccepted)
		// Deletions are delayed so that the edit falls between decision and effect.
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
		f.spec = Spec{Name: docName, WatchDataCentres: []domain.DataCentre{"dc0"}}
		f.start()
		before := f.store.Counts().Writes
		f.nodes[0].mustUpdate(set("one"))
		f.nodes[4].mustUpdate(set("two"))
		assert.Equal(t, f.store.Counts().Writes-before, uint64(2))
		time.Sleep(time.Second)
		f.expectAll("two")
		watching, _ := f.splitWatchers(f.nodes)
		assert.Equal(t, len(watching), 2)
		assert.Equal(t, f.storedParts(), 0)
	})
}
