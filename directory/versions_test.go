package directory

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"
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
