package node

import (
	"bytes"
	"fmt"

	"github.com/rs/zerolog"

	"hawthornrill.example/hawthornrill/config"
	"hawthornrill.example/hawthornrill/document"
)

// configuration puts accepted configurations in force on this node. A value that
// can't be read or compiled leaves the last good one in force.
type configuration struct {
	config.StaticView
	log zerolog.Logger
}

func newConfiguration(log zerolog.Logger) *configuration {
	return &configuration{log: log}
}

// apply is the document's callback.
func (c *configuration) apply(version document.Version, value []byte) error {
	table, err := config.LoadTOML(bytes.NewReader(value))
	if err != nil {
		return fmt.Errorf("node: configuration %d: %w", version.Generation, err)
	}
	snapshot, err := config.Compile(table, config.Revision(version.Generation))
	if err != nil {
		return fmt.Errorf("node: configuration %d: %w", version.Generation, err)
	}
	c.Set(snapshot)
	c.log.Info().Uint64("generation", version.Generation).Msg("configuration in force")
	return nil
}
