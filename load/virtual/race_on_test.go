//go:build race

package virtual

import (
	"os"
	"runtime"
	"testing"
)

// TestMain limits tests with the race detector to one processor. With more, the runtime
// of Go 1.26.8 runs the timers of one synctest bubble on several threads under one race
// detector context, which occasionally crashes.
func TestMain(m *testing.M) {
	runtime.GOMAXPROCS(1)
	os.Exit(m.Run())
}
