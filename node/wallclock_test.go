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

// wallClock matches calls that read the wall-clock part of a time.Time.
var wallClock = regexp.MustCompile(`\.Unix(Nano|Milli|Micro)?\(|time\.Unix|\.Round\(0\)|time\.Date\(`)

// wallClockPackages may read the wall clock: session tokens expire by it, a daemon's
// incarnation is derived from it, and sizing writes a date.
var wallClockPackages = []string{"session/", "daemon/", "sizing/", "standin/", "load/", "cmd/", "demo/"}

// TestNoDecisionReadsTheWallClock checks that no other package reads the wall clock,
// so that a clock jump can't affect decisions.
func TestNoDecisionReadsTheWallClock(t *testing.T) {
	read := 0
	err := fs.WalkDir(os.DirFS(".."), ".", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || filepath.Ext(path) != ".go" || strings.HasSuffix(path, "_test.go") {
			return err
		}
		for _, allowed := range wallClockPackages {
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
