package routing

import (
	"runtime"
	"testing"

	"gotest.tools/v3/assert"
)

func TestUnusedRoutersAreDropped(t *testing.T) {
	f := NewFactory(Options{})
	used := f.New()
	for range 1000 {
		f.New()
	}
	runtime.GC()
	f.State()
	assert.Equal(t, len(f.routers), 1)
	runtime.KeepAlive(used)
}
