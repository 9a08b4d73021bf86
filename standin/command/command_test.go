package command_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/standin/command"
)

func TestInvalidCommandLines(t *testing.T) {
	tests := map[string]struct {
		args string
		want []string
	}{
		"kind":     {"motor -listen 127.0.0.1:0", []string{`kind = "motor": must be one of engine service store hostlist weights`}},
		"required": {"store", []string{`-listen = "": is required`}},
		"all at once": {"engine -listen here -batch 0 -colour red -kv-tokens many -cache-event-gap 2 stray -load-lag -1s -speed gen-c -weights x", []string{
			`-listen = "here": must be "IP:port", such as "127.0.0.1:8000"`,
			`-batch = "0": must be a whole number of at least 1`,
			`-colour = "": flag provided but not defined`,
			`-kv-tokens = "many": must be a whole number of at least 1`,
			`-cache-event-gap = "2": must be a number between 0 and 1`,
			`argument = "stray": is not a flag`,
			`-load-lag = "-1s": must be a time such as "500ms" or "1m30s", not negative`,
			`-speed = "gen-c": must be one of [flat gen-a gen-b none]`,
			`-weights = "x": must be "http://IP:port"`,
		}},
		"missing value": {"weights -listen 127.0.0.1:0 -transfers", []string{`-transfers = "": flag needs an argument`}},
		"hosts":         {"hostlist -listen 127.0.0.1:0 -hosts {}", []string{`-hosts = "{}": must be like [{"node":"a","address":"127.0.0.1:7000","data_centre":"taf","state":"live"}]`}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var stdout, stderr strings.Builder
			assert.Equal(t, command.Main(strings.Fields(test.args), &stdout, &stderr), 2)
			assert.Equal(t, strings.TrimSpace(stderr.String()), strings.Join(test.want, "\n"))
			assert.Equal(t, stdout.String(), "")
		})
	}
}

func TestHelpAndVersion(t *testing.T) {
	tests := map[string]string{
		"-h":              "weights   the platform's weight store",
		"-version":        "hawthornrill ",
		"engine -h":       "-cache-event-gap share",
		"store -version":  "hawthornrill ",
		"service -h":      "-control address",
		"hostlist --help": "-lag time",
	}
	for args, want := range tests {
		var stdout, stderr strings.Builder
		assert.Equal(t, command.Main(strings.Fields(args), &stdout, &stderr), 0, args)
		assert.Assert(t, strings.Contains(stdout.String(), want), "%s: %s", args, stdout.String())
		assert.Equal(t, stderr.String(), "")
	}
}
