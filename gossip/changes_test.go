package gossip

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/directory"
)

func TestVersionsOfChangesArePassedOn(t *testing.T) {
	var sent, got Report
	sent.SetEndpointChanges([]directory.Change{
		{Listed: []*directory.Endpoint{{ID: "a", Version: "v1"}, {ID: "b", Version: "v2"}}}, {Revision: 3},
	}, true)
	data, err := cbor.Marshal(sent)
	assert.NilError(t, err)
	assert.NilError(t, cbor.Unmarshal(data, &got))
	changes := got.EndpointChanges()
	assert.Equal(t, changes[0].Listed[0].Version, "v1")
	assert.Equal(t, changes[0].Listed[1].Version, "v2")
	assert.Assert(t, got.forwardsChanges())
}

// Guards against endpoints without a version that an earlier program passes on.
func TestChangesOfEarlierProgramsAreNotReliedOn(t *testing.T) {
	earlier := Report{PassesOn: true, Changes: []directory.Change{{Listed: []*directory.Endpoint{{ID: "a"}}}}}
	assert.Equal(t, len(earlier.EndpointChanges()), 0)
	assert.Assert(t, !earlier.forwardsChanges())
	wrong := earlier
	wrong.Versions = [][]string{{"v1", "v2"}}
	assert.Equal(t, len(wrong.EndpointChanges()), 0)
}
