//go:build race

package virtual

import (
	"os"
	"runtime"
	"testing"
)

// TestMain keeps the detector to one processor: with more, the runtime of Go 1.26.8
// runs the timers of one synctest bubble on several threads under one context of
// the detector, which then now and then crashes.
func TestMain(m *testing.M) {
	runtime.GOMAXPROCS(1)
	os.Exit(m.Run())
}
