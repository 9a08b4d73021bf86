package main

import (
	"strings"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"
)

func TestOneWorkerRunsJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out strings.Builder
		assert.NilError(t, run(t.Context(), &out))
		assert.Equal(t, out.String(), "one worker was told to count the tokens\n")
	})
}
