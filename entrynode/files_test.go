package entrynode

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestConnectionLimitsFitDescriptorLimit(t *testing.T) {
	tests := []struct{ files, callers, endpoints int }{
		{0, 0, 0},
		{4100, 1950, 1560},
		{8192, 3996, 3196},
		{100, 1, 1},
	}
	for _, test := range tests {
		h := Host{MaxFiles: test.files}
		assert.Equal(t, h.callerConnections(), test.callers)
		assert.Equal(t, h.endpointConnections(), test.endpoints)
		others := h.peerConnections() + h.forwarderConnections() + 2*maxPortConnections
		assert.Assert(t, test.files < 1000 || test.callers+test.endpoints+others+reservedDescriptors < test.files)
	}
}
