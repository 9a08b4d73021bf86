package directory

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/domain"
)

func TestVersionsAreCountedByService(t *testing.T) {
	d := New()
	d.Apply(1, []*Endpoint{
		{ID: "a", Service: "s", Version: "v1"}, {ID: "b", Service: "s", Version: "v2"}, {ID: "c", Service: "s", Version: "v2"},
		{ID: "d", Service: "s", Version: "v3", Leaving: true}, {ID: "e", Service: "t", Version: "v1"},
	}, nil, 0)
	assert.DeepEqual(t, d.Current().Versions(), map[string]map[string]int{"s": {"v1": 1, "v2": 2}, "t": {"v1": 1}})
	assert.Equal(t, d.Current().MaxVersions(), 2)
}

// earlierEndpoint is the form of Endpoint in programs that know no version.
type earlierEndpoint struct {
	_                            struct{} `cbor:",toarray"`
	ID, Service, Address, Centre string
	Slots                        int
	Leaving                      bool
	Born                         int64
}

// Guards against a form of the list that earlier programs can't read: nodes are replaced one by one.
func TestEarlierProgramsReadTheList(t *testing.T) {
	data, err := cbor.Marshal(&Endpoint{ID: "a", Service: "s", Slots: 3, Version: "v1"})
	assert.NilError(t, err)
	var earlier earlierEndpoint
	assert.NilError(t, cbor.Unmarshal(data, &earlier))
	assert.Equal(t, earlier.ID, "a")
	data, err = cbor.Marshal(&earlier)
	assert.NilError(t, err)
	var later Endpoint
	assert.NilError(t, cbor.Unmarshal(data, &later))
	assert.Equal(t, later.Slots, 3)
}

// Guards against a version that is believed although two entries of one incarnation contradict each other.
func TestContradictingVersionsAreUnknown(t *testing.T) {
	d := New()
	entry := func(born int64, version string) *Endpoint {
		return &Endpoint{ID: "a", Service: "s", Born: born, Version: version}
	}
	d.Apply(1, []*Endpoint{entry(1000, "v1")}, nil, 0)
	d.Apply(2, []*Endpoint{entry(1000, "v1")}, nil, 0)
	assert.Equal(t, len(d.TakeVersionChanges()), 0)
	d.Apply(3, []*Endpoint{entry(1000, "v2")}, nil, 0)
	assert.DeepEqual(t, d.TakeVersionChanges(), []domain.EndpointID{"a"})
	assert.Equal(t, d.Current().Service("s")[0].Version, "")
	d.Apply(4, []*Endpoint{entry(1000, "v1")}, nil, 0)
	assert.Equal(t, d.Current().Service("s")[0].Version, "", "believed again")
	d.TakeVersionChanges()
	d.Apply(5, []*Endpoint{entry(2000, "v2")}, nil, 0)
	assert.Equal(t, d.Current().Service("s")[0].Version, "v2", "a later incarnation has a version of its own")
	assert.DeepEqual(t, d.TakeVersionChanges(), []domain.EndpointID{"a"})
	d.Apply(6, []*Endpoint{entry(1000, "v1")}, nil, 0)
	assert.Equal(t, d.Current().Service("s")[0].Version, "v2", "a late entry of the earlier incarnation")
	assert.Equal(t, len(d.TakeVersionChanges()), 0)
}
