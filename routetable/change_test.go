package routetable

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/domain"
)

// randomTable returns a table of random rows.
func randomTable(t testing.TB, r *rand.Rand, version uint64, rows int) *Table {
	var routes []Route
	for i := range rows {
		if r.IntN(4) > 0 {
			routes = append(routes, Route{
				Name: fmt.Sprint("r", i), Host: fmt.Sprint("h", i%3), Prefix: fmt.Sprintf("/p%d/", i), Tier: domain.Tier(r.IntN(2)),
				Splits: []Split{{Service: "s", Weight: 1 + r.IntN(2)}},
			})
		}
	}
	var organisations []Organisation
	for i := range 5 {
		if r.IntN(4) > 0 {
			organisations = append(organisations, Organisation{
				ID: domain.OrganisationID(fmt.Sprint("o", i)), Keys: []string{fmt.Sprint("k", i), fmt.Sprint("l", i, r.IntN(2))},
			})
		}
	}
	r.Shuffle(len(routes), func(i, j int) { routes[i], routes[j] = routes[j], routes[i] })
	table, err := New(version, routes, []Service{{Name: "s", CacheTokens: r.IntN(2)}}, organisations, Limits{MaxHeaderBytes: r.IntN(3)})
	assert.NilError(t, err)
	return table
}

func TestChangeGivesTheTableItWasMadeOf(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	for range 200 {
		from, to := randomTable(t, r, 4, 20), randomTable(t, r, 9, 20)
		sent, err := cbor.Marshal(Diff(from, to))
		assert.NilError(t, err)
		var change Change
		assert.NilError(t, cbor.Unmarshal(sent, &change))
		got, err := from.Apply(&change)
		assert.NilError(t, err)
		assert.Equal(t, got.Digest(), to.Digest())
		for i := range 20 {
			host, path := fmt.Sprint("h", i%3), fmt.Sprintf("/p%d/x", i)
			assert.DeepEqual(t, got.Route(host, path), to.Route(host, path))
		}
		for i := range 5 {
			key := fmt.Sprint("k", i)
			assert.DeepEqual(t, got.Organisation(key), to.Organisation(key))
		}
	}
}

func TestChangeThatDoesNotFitIsRefused(t *testing.T) {
	r := rand.New(rand.NewPCG(3, 4))
	from, other, to := randomTable(t, r, 4, 20), randomTable(t, r, 4, 20), randomTable(t, r, 9, 20)
	change := Diff(from, to)
	_, err := to.Apply(change)
	assert.ErrorIs(t, err, ErrChangeMismatch, "another version")
	_, err = other.Apply(change)
	assert.ErrorIs(t, err, ErrChangeMismatch, "another table of the same version")
	back := Diff(to, from)
	_, err = to.Apply(back)
	assert.ErrorIs(t, err, ErrChangeMismatch, "older version")
}

// TestChangeOfAKeyIsShort removes a key from a configuration of two thousand routes, some 700 KB in the format of the
// operators.
func TestChangeOfAKeyIsShort(t *testing.T) {
	rows := func(keys ...string) ([]Route, []Service, []Organisation) {
		var routes []Route
		for i := range 2000 {
			routes = append(routes, Route{Name: fmt.Sprint(i), Host: "h", Prefix: fmt.Sprintf("/%d/", i), Splits: []Split{{Service: "s", Weight: 1}}})
		}
		return routes, []Service{{Name: "s"}}, []Organisation{{ID: "o", Keys: keys}, {ID: "p", Keys: []string{"q"}}}
	}
	table := func(version uint64, keys ...string) *Table {
		routes, services, organisations := rows(keys...)
		built, err := New(version, routes, services, organisations, Limits{})
		assert.NilError(t, err)
		return built
	}
	sent, err := cbor.Marshal(Diff(table(1, "a", "b"), table(2, "a")))
	assert.NilError(t, err)
	assert.Assert(t, len(sent) < 1000, "%d bytes", len(sent))
}
