// Package knownred tests the script that reads KNOWN-RED.txt, the list of tests that CI passes over.
package knownred

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// skipped returns what the script prints for a list, and whether it accepts the list.
func skipped(t *testing.T, list string) (pattern string, ok bool) {
	path := filepath.Join(t.TempDir(), "list.txt")
	assert.NilError(t, os.WriteFile(path, []byte(list), 0o600))
	out, err := exec.Command("../.ci/known-red", path).Output()
	return strings.TrimSpace(string(out)), err == nil
}

func TestKnownFailuresAreSkippedAlone(t *testing.T) {
	for name, test := range map[string]struct{ list, want string }{
		"empty":       {"", ""},
		"no entry":    {"Tests that fail.\n\nseen: test: nothing\n", ""},
		"case":        {"case: review/1\ncommand: bash review/1/run.sh\n", ""},
		"test":        {"test: ./knownred TestKnownFailuresAreSkippedAlone\nseed: 1\n", "^TestKnownFailuresAreSkippedAlone$"},
		"case of one": {"test: ./knownred TestKnownFailuresAreSkippedAlone/empty\n", "^TestKnownFailuresAreSkippedAlone$/^empty$"},
		"two": {"test: ./knownred TestKnownFailuresAreSkippedAlone\n\ntest: ./knownred TestWrongEntriesAreRefused\n",
			"^TestKnownFailuresAreSkippedAlone$|^TestWrongEntriesAreRefused$"},
	} {
		t.Run(name, func(t *testing.T) {
			got, ok := skipped(t, test.list)
			assert.Assert(t, ok)
			assert.Equal(t, got, test.want)
		})
	}
}

// Guards against an entry that passes over nothing, or over a test that is not listed.
func TestWrongEntriesAreRefused(t *testing.T) {
	for name, list := range map[string]string{
		"no such test":            "test: ./knownred TestNobodyWrote\n",
		"test of another package": "test: ./follow TestWrongEntriesAreRefused\n",
		"name in two packages":    "test: ./exchange TestMain\n",
		"no test":                 "test: ./knownred\n",
		"no package":              "test: TestWrongEntriesAreRefused\n",
		"more than a test":        "test: ./knownred TestWrongEntriesAreRefused seed 1\n",
	} {
		t.Run(name, func(t *testing.T) {
			got, ok := skipped(t, list)
			assert.Assert(t, !ok, "accepted as %q", got)
		})
	}
}
