package document

import (
	"testing"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/domain"
)

func TestHeadRecordsEditsAfter(t *testing.T) {
	stamps := func(generations ...uint64) (s []Stamp) {
		for _, g := range generations {
			s = append(s, Stamp{Generation: g})
		}
		return s
	}
	cases := []struct {
		older []Stamp
		base  uint64
		want  bool
	}{
		{stamps(4, 3), 2, true},
		{stamps(4, 3), 1, false},
		{stamps(3), 4, true},
		{stamps(3), 3, false},
		{nil, 5, true},
		{nil, 3, false},
	}
	for _, c := range cases {
		h := head{Version: Version{Stamp: Stamp{Generation: 5}}, OlderEdits: c.older}
		assert.Equal(t, h.recordsEditsAfter(c.base), c.want, "%v since %d", c.older, c.base)
	}
}

func TestHeadRecordsEdits(t *testing.T) {
	for _, keep := range []int{0, 8, 100} {
		var h head
		var ids []EditID
		for g := range uint64(200) {
			ids = append(ids, NewEditID())
			h = h.next(Version{Stamp: Stamp{Generation: g + 1, Edit: ids[g]}}, nil, keep)
		}
		remembered := max(maxEditRecords, keep+1)
		assert.Equal(t, len(h.History), keep)
		assert.Equal(t, len(h.edits()), remembered)
		for i, id := range ids {
			_, ok := h.accepted(id)
			assert.Equal(t, ok, i >= len(ids)-remembered)
		}
		assert.Assert(t, h.recordsEditsAfter(uint64(200-remembered)) && !h.recordsEditsAfter(uint64(199-remembered)))
	}
}

func TestDiffManifests(t *testing.T) {
	hashes := func(text string) (all []Hash) {
		for _, c := range []byte(text) {
			all = append(all, Hash{c})
		}
		return all
	}
	cases := []struct {
		base, next string
		runs       int
	}{
		{"abcdef", "abcdef", 1},
		{"abcdef", "abXdef", 3},
		{"abcdef", "abdef", 2},
		{"abcdef", "Xabcdef", 2},
		{"", "abc", 1},
		{"abc", "", 0},
		{"abc", "cba", 3},
		{"aab", "aab", 2},
	}
	for _, c := range cases {
		runs := diffManifests(hashes(c.base), hashes(c.next))
		assert.Equal(t, len(runs), c.runs, "%s to %s", c.base, c.next)
		got, err := applyRuns(hashes(c.base), runs)
		assert.NilError(t, err)
		assert.DeepEqual(t, got, hashes(c.next))
	}
	_, err := applyRuns(hashes("abc"), []hashRun{{Start: 2, Count: 2}})
	assert.ErrorIs(t, err, errCorrupt)
}

func TestTreeReachesEveryMemberOnce(t *testing.T) {
	for _, size := range []int{1, 2, 9, 10, 48, 200} {
		var members []domain.Member
		for i := range size {
			members = append(members, domain.Member{Node: domain.NodeID(rune('A' + i))})
		}
		root := members[size/2].Node
		reached := map[domain.NodeID]int{root: 1}
		level := []domain.NodeID{root}
		depth := 0
		for ; len(level) > 0; depth++ {
			var next []domain.NodeID
			for _, node := range level {
				children := treeChildren(root, node, 7, members, 8)
				assert.Assert(t, len(children) <= 8)
				for _, child := range children {
					reached[child.Node]++
					next = append(next, child.Node)
				}
			}
			level = next
		}
		assert.Equal(t, len(reached), size)
		for node, times := range reached {
			assert.Equal(t, times, 1, "%s of %d", node, size)
		}
		assert.Assert(t, depth <= 4)
	}
}
