package node

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// wallClock are the ways from a time.Time to the wall clock.
var wallClock = regexp.MustCompile(`\.Unix(Nano|Milli|Micro)?\(|time\.Unix|\.Round\(0\)|time\.Date\(`)

// wallClockAllowed are packages that read the wall clock: session tokens expire by
// it, a daemon's incarnation is taken from it, and sizing writes a date.
var wallClockAllowed = []string{"session/", "daemon/", "sizing/", "standin/", "load/", "cmd/", "demo/"}

// TestNoDecisionReadsTheWallClock is why a jump of the clock changes no decision.
func TestNoDecisionReadsTheWallClock(t *testing.T) {
	read := 0
	err := fs.WalkDir(os.DirFS(".."), ".", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || filepath.Ext(path) != ".go" || strings.HasSuffix(path, "_test.go") {
			return err
		}
		for _, allowed := range wallClockAllowed {
			if strings.HasPrefix(path, allowed) {
				return nil
			}
		}
		source, err := os.ReadFile(filepath.Join("..", path))
		read++
		assert.Check(t, !wallClock.Match(source), "%s reads the wall clock", path)
		return err
	})
	assert.NilError(t, err)
	assert.Assert(t, read > 100, "only %d files were read", read)
}
