package sizing

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/capacity"
	"hawthornrill.example/hawthornrill/prefix"
	"hawthornrill.example/hawthornrill/routing"
	"hawthornrill.example/hawthornrill/settings"
)

// codeSettings are the defaults of the code that the constants file repeats.
func codeSettings() map[string]float64 {
	return map[string]float64{
		"retention_seconds":  settings.Default().Retention.Window.Seconds(),
		"answer_bytes_bound": float64(settings.Default().Retention.AnswerBytes),
		"renew_seconds":      capacity.DefaultRenewEvery.Seconds(),
		"tick_seconds":       capacity.DefaultTick.Seconds(),
		"prefix_blocks":      routing.DefaultPrefixBlocks,
		"block_tokens":       prefix.BlockTokens,
	}
}

func TestSettingsAreThoseOfTheCode(t *testing.T) {
	c, err := ReadConstants(strings.NewReader(read(t, constantsFile)))
	assert.NilError(t, err)
	inFile := make(map[string]float64)
	for _, f := range c.Settings {
		inFile[f.Name] = f.Value
	}
	assert.DeepEqual(t, inFile, codeSettings())
}
