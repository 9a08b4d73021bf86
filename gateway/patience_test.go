package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestHowLongACallerHasWaited(t *testing.T) {
	var p patience
	tests := []struct {
		name   string
		left   time.Duration
		waited time.Duration
	}{
		{"the first seen", 9 * time.Second, 0},
		{"a more patient one", 10 * time.Second, 0},
		{"a first attempt of a less patient caller", 8600 * time.Millisecond, 0},
		{"one that was told to come back after a quarter of its time", 7500 * time.Millisecond, 2500 * time.Millisecond},
		{"one that does not say", 0, 0},
	}
	for _, test := range tests {
		assert.Equal(t, p.waited("r", test.left), test.waited, test.name)
	}
	assert.Equal(t, p.waited("other route", time.Second), time.Duration(0))
}
