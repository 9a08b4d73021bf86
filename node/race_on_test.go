//go:build race

package node

import (
	"os"
	"runtime"
	"testing"
)

// raceEnabled reports whether the race detector is enabled.
const raceEnabled = true

// TestMain limits the race detector to one processor. With more, the runtime of Go
// 1.26.8 runs timers of one synctest bubble on several threads with the same race
// context, which occasionally crashes the detector.
func TestMain(m *testing.M) {
	runtime.GOMAXPROCS(1)
	os.Exit(m.Run())
}
