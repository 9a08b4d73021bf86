package gossip

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against memory that grows with the addresses from which datagrams come.
func TestParsedAddressesAreBounded(t *testing.T) {
	u, err := ListenUDP("127.0.0.1:0")
	assert.NilError(t, err)
	defer u.Close()
	for i := range 3 * maxAddresses {
		_, err := u.address(fmt.Sprintf("127.0.%d.%d:9", i/256, i%256))
		assert.NilError(t, err)
	}
	assert.Assert(t, len(u.addresses) <= maxAddresses)
}
