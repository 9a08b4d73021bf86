package directory

import (
	"testing"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/domain"
)

func listed(ids ...string) []*Endpoint {
	var list []*Endpoint
	for _, id := range ids {
		list = append(list, &Endpoint{ID: domain.EndpointID(id), Service: "s"})
	}
	return list
}

func names(d *Directory) string {
	text := ""
	for _, e := range d.Current().Service("s") {
		text += string(e.ID)
	}
	return text
}

func TestRemovedEndpointsLeaveSnapshotImmediately(t *testing.T) {
	d := New()
	d.Apply(1, listed("b", "a"), nil, 0)
	assert.Equal(t, names(d), "ab")
	d.Apply(2, nil, []domain.EndpointID{"a"}, 0)
	assert.Equal(t, names(d), "b")
	d.Replace(3, listed("c"), 0)
	assert.Equal(t, names(d), "c")
}

func TestEntriesMissingAfterOutageAreRetained(t *testing.T) {
	d := New()
	leaving := &Endpoint{ID: "l", Service: "s", Leaving: true}
	d.Apply(1, append(listed("a", "b", "c"), leaving), nil, 0)
	d.Replace(10, listed("c"), 20)
	assert.Equal(t, names(d), "abc", "a leaving endpoint is not retained")
	d.Apply(12, listed("a"), nil, 20)
	assert.Equal(t, len(d.Sweep(19)), 0)
	assert.Equal(t, len(d.Sweep(20)), 1)
	assert.Equal(t, names(d), "ac", "an endpoint that is listed again stays")
}

func incarnation(born int64, leaving bool) *Endpoint {
	return &Endpoint{ID: "a", Service: "s", Born: born, Leaving: leaving}
}

func TestRestartedEndpointIsNewIncarnation(t *testing.T) {
	d := New()
	first, second := incarnation(1000, true), incarnation(2000, false)
	d.Apply(1, []*Endpoint{first}, nil, 0)
	d.Apply(2, []*Endpoint{second}, nil, 0)
	assert.Assert(t, d.Current().Endpoint(first.Incarnation()) == nil, "the earlier incarnation is removed at once")
	assert.Equal(t, d.Current().Endpoint(second.Incarnation()), second)
	d.Apply(3, []*Endpoint{first}, nil, 0)
	assert.Equal(t, d.Current().Endpoint(second.Incarnation()), second, "a late entry of the earlier incarnation is ignored")
	assert.Equal(t, d.Current().Len(), 1)
	d.Replace(4, []*Endpoint{first}, 0)
	assert.Equal(t, d.Current().Endpoint(second.Incarnation()), second)
}

func TestEntryWithoutStartTimeKeepsListedIncarnation(t *testing.T) {
	d := New()
	d.Apply(1, []*Endpoint{incarnation(1000, false)}, nil, 0)
	d.Apply(2, []*Endpoint{incarnation(0, true)}, nil, 0)
	assert.Assert(t, d.Current().Endpoint(incarnation(1000, false).Incarnation()).Leaving)
}

func TestUnusableEndpointIsRemovedDuringOutage(t *testing.T) {
	d := New()
	d.Apply(1, listed("a", "b"), nil, 0)
	d.Replace(2, nil, 20)
	d.Drop([]domain.EndpointID{"a"})
	assert.Equal(t, names(d), "b")
}
