package routetable

import (
	"errors"
	"testing"

	"gotest.tools/v3/assert"
)

func table(t *testing.T) *Table {
	t.Helper()
	one := []Split{{Service: "s", Weight: 1}}
	built, err := New(7, []Route{
		{Name: "short", Host: "h", Prefix: "/a/", Splits: one},
		{Name: "long", Host: "h", Prefix: "/a/b/", Splits: one},
		{Name: "other", Host: "i", Prefix: "/", Splits: one},
	}, []Service{{Name: "s"}}, []Organisation{{ID: "o", Keys: []string{"k1", "k2"}}}, Limits{})
	assert.NilError(t, err)
	return built
}

func TestLongestPrefixOfTheHost(t *testing.T) {
	tests := []struct{ host, path, route string }{
		{"h", "/a/x", "short"},
		{"h", "/a/b/x", "long"},
		{"h:8080", "/a/b/", "long"},
		{"h", "/a", ""},
		{"h", "/ab/", ""},
		{"i", "/a/b/", "other"},
		{"j", "/", ""},
	}
	built := table(t)
	for _, test := range tests {
		name := ""
		if r := built.Route(test.host, test.path); r != nil {
			name = r.Name
		}
		assert.Equal(t, name, test.route, "%s%s", test.host, test.path)
	}
}

func TestSeveralKeysAnOrganisation(t *testing.T) {
	built := table(t)
	assert.Equal(t, built.Organisation("k1"), built.Organisation("k2"))
	assert.Assert(t, built.Organisation("") == nil)
	assert.Assert(t, built.RequiresKeys())
}

func TestSplitsByWeight(t *testing.T) {
	r := Route{Splits: []Split{{Service: "a", Weight: 3}, {Service: "b", Weight: 1}}}
	counts := map[string]int{}
	for hash := range uint64(400) {
		counts[r.Service(hash)]++
	}
	assert.DeepEqual(t, counts, map[string]int{"a": 300, "b": 100})
	none := Route{Splits: []Split{{Service: "a"}, {Service: "b"}}}
	assert.Equal(t, none.Service(5), "a")
}

func TestInvalidRows(t *testing.T) {
	rows := map[string]Route{
		"no service":      {Name: "r", Prefix: "/"},
		"unknown service": {Name: "r", Prefix: "/", Splits: []Split{{Service: "x"}}},
		"bad prefix":      {Name: "r", Prefix: "a/", Splits: []Split{{Service: "s"}}},
	}
	for name, row := range rows {
		_, err := New(1, []Route{row}, []Service{{Name: "s"}}, nil, Limits{})
		assert.Assert(t, errors.Is(err, ErrInvalid), name)
	}
}

func TestCost(t *testing.T) {
	tokens := Organisation{CountTokens: true, PlainTokens: 20}
	assert.Equal(t, tokens.Cost(300), 300.0)
	assert.Equal(t, tokens.Cost(0), 20.0)
	assert.Equal(t, (&Organisation{}).Cost(300), 1.0)
}

func TestRepeatable(t *testing.T) {
	assert.Assert(t, (&Route{Kind: Idempotent}).Repeatable())
	assert.Assert(t, !(&Route{Kind: NonIdempotent, Resumable: true}).Repeatable())
	assert.Assert(t, !(&Route{Kind: Stream}).Repeatable())
	assert.Assert(t, (&Route{Kind: Stream, Resumable: true}).Repeatable())
}
