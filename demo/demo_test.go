package demo

import (
	"context"
	"testing"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/deployment"
)

// TestSample runs the demo's sample over real sockets, without any bound on its
// duration.
func TestSample(t *testing.T) {
	for _, name := range deployment.Names() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d, err := deployment.ByName(name)
			assert.NilError(t, err)
			running, err := Start(context.Background(), Options{Deployment: d, Log: zerolog.New(zerolog.NewTestWriter(t)).Level(zerolog.WarnLevel)})
			assert.NilError(t, err)
			defer func() { assert.Check(t, running.Stop()) }()
			assert.NilError(t, running.RunSample(context.Background(), t.Output()))
		})
	}
}
