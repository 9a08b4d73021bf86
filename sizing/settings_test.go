package sizing

import (
	"cmp"
	"os"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/capacity"
	"hawthornrill.example/hawthornrill/ledger"
	"hawthornrill.example/hawthornrill/limits"
	"hawthornrill.example/hawthornrill/membership"
	"hawthornrill.example/hawthornrill/peer/wslink"
	"hawthornrill.example/hawthornrill/prefix"
	"hawthornrill.example/hawthornrill/routing"
	"hawthornrill.example/hawthornrill/settings"
)

// defaultSettings returns the defaults of the code that the constants file repeats.
func defaultSettings(t *testing.T) map[string]float64 {
	return map[string]float64{
		"retention_seconds":         settings.Default().Retention.Window.Seconds(),
		"answer_bytes_bound":        float64(settings.Default().Retention.AnswerBytes),
		"renew_seconds":             capacity.DefaultRenewInterval.Seconds(),
		"tick_seconds":              capacity.DefaultTick.Seconds(),
		"prefix_blocks":             routing.DefaultPrefixBlocks,
		"characters_per_token":      prefix.BytesPerToken,
		"block_tokens":              prefix.BlockTokens,
		"fence_seconds":             ledger.DefaultFenceTimeout.Seconds(),
		"exchange_seconds":          membership.DefaultExchangeInterval.Seconds(),
		"exchange_timeout":          membership.DefaultExchangeTimeout.Seconds(),
		"delegates":                 membership.DefaultDelegates,
		"list_seconds":              membership.DefaultHostListInterval.Seconds(),
		"link_idle_seconds":         wslink.DefaultIdleTimeout.Seconds(),
		"report_seconds":            sourceDuration(t, "../node/reports.go", "reportInterval").Seconds(),
		"watch_seconds":             sourceDuration(t, "../document/options.go", "WatchTimeout").Seconds(),
		"renewals_per_lease":        sourceNumber(t, "../store/lease/lease.go", "options.TTL", " / "),
		"candidates":                sourceNumber(t, "../coordinator/options.go", "o.Candidates", ", "),
		"coordinator_seconds":       sourceDuration(t, "../coordinator/options.go", "o.Period").Seconds(),
		"coordinator_lease_seconds": sourceDuration(t, "../coordinator/options.go", "o.LeaseTTL").Seconds(),
		"backoff_seconds":           sourceDuration(t, "../store/budget/options.go", "o.BackoffMax").Seconds(),
		"anti_entropy_seconds":      sourceDuration(t, "../document/options.go", "AntiEntropyInterval").Seconds(),
		"watchers":                  sourceNumber(t, "../document/options.go", "o.Watchers", ", "),
		"quiet_seconds":             limits.DefaultSlowReportInterval.Seconds(),
		"probe_seconds":             membership.DefaultProbeInterval.Seconds(),
		"probe_timeout":             membership.DefaultProbeTimeout.Seconds(),
		"suspicion_seconds":         membership.DefaultSuspicionTimeout.Seconds(),
		"gone_seconds":              membership.DefaultGoneAfter.Seconds(),
		"grant_ttl_seconds":         capacity.DefaultGrantTTL.Seconds(),
		"notice_seconds":            settings.Default().Shutdown.NoticePeriod.Seconds(),
		"limits_patience":           limits.DefaultOwnerWaitTimeout.Seconds(),
	}
}

// sourceNumber reads a number that has no exported name from the source code, such as
// the 2 in "setDefault(&o.Watchers, 2)" or the 3 in "o.TTL / 3".
func sourceNumber(t *testing.T, file, name, operator string) float64 {
	t.Helper()
	text, err := os.ReadFile(file)
	assert.NilError(t, err)
	found := regexp.MustCompile(regexp.QuoteMeta(name) + operator + `(\d+)\b`).FindSubmatch(text)
	assert.Assert(t, found != nil, "%s has no default %s", file, name)
	count, err := strconv.Atoi(string(found[1]))
	assert.NilError(t, err)
	return float64(count)
}

// sourceDuration reads a duration that has no exported name from the source code, such
// as the value in "reportEvery = 2 * time.Second".
func sourceDuration(t *testing.T, file, name string) time.Duration {
	t.Helper()
	text, err := os.ReadFile(file)
	assert.NilError(t, err)
	found := regexp.MustCompile(`\b` + name + `[ ,=]+(?:(\d+) ?\* ?)?time\.(Millisecond|Second|Minute)`).FindSubmatch(text)
	assert.Assert(t, found != nil, "%s has no default %s", file, name)
	units := map[string]time.Duration{"Millisecond": time.Millisecond, "Second": time.Second, "Minute": time.Minute}
	count, err := strconv.Atoi(cmp.Or(string(found[1]), "1"))
	assert.NilError(t, err)
	return time.Duration(count) * units[string(found[2])]
}

func TestSettingsMatchCodeDefaults(t *testing.T) {
	c, err := ReadConstants(strings.NewReader(readFile(t, constantsFile)))
	assert.NilError(t, err)
	inFile := make(map[string]float64)
	for _, f := range c.Settings {
		inFile[f.Name] = f.Value
	}
	assert.DeepEqual(t, inFile, defaultSettings(t))
}
