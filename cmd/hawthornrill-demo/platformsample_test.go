package main

import (
	"strings"
	"testing"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
)

func TestPlatformSampleServesEachRequestOnce(t *testing.T) {
	var out strings.Builder
	assert.NilError(t, samplePlatform(t.Context(), &out, zerolog.Nop()))
	assert.Assert(t, strings.Contains(out.String(), "6 requests through 2 nodes, each run once"), out.String())
}
