package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestEstimatedCallerWait(t *testing.T) {
	var c callerTimeouts
	tests := []struct {
		name   string
		left   time.Duration
		waited time.Duration
	}{
		{"first call on the route", 9 * time.Second, 0},
		{"longer timeout", 10 * time.Second, 0},
		{"first attempt with a slightly shorter timeout", 8600 * time.Millisecond, 0},
		{"retry after a quarter of the timeout", 7500 * time.Millisecond, 2500 * time.Millisecond},
		{"no timeout stated", 0, 0},
	}
	for _, test := range tests {
		assert.Equal(t, c.estimatedWait("r", test.left), test.waited, test.name)
	}
	assert.Equal(t, c.estimatedWait("other route", time.Second), time.Duration(0))
}
