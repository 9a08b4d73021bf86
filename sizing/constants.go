package sizing

import (
	"fmt"
	"io"

	"github.com/BurntSushi/toml"
)

// Constants is the constants file.
type Constants struct {
	Machine Machine `toml:"machine"`
	// Sizes are the users' figures.
	Sizes []Parameter `toml:"size"`
	// Limits are the users' limits.
	Limits []Parameter `toml:"limit"`
	// Settings repeat defaults of the code; a test compares them.
	Settings []Parameter `toml:"setting"`
	// Assumed are figures that can't be measured here, with the reason for each.
	Assumed []Parameter `toml:"assumed"`
	// Slopes are what benchmarks measured.
	Slopes []Slope `toml:"slope"`
	// MissingSlope are slopes that formulas need and nothing has measured yet.
	Missing []MissingSlope `toml:"missing"`
}

// Machine is where the slopes were measured.
type Machine struct {
	Cores int    `toml:"cores"`
	Go    string `toml:"go"`
}

// MissingSlope names a slope that has not been measured.
type MissingSlope struct {
	Name   string `toml:"name"`
	Reason string `toml:"why"`
}

// ReadConstants reads and checks the constants file. All faults are told at once.
func ReadConstants(r io.Reader) (*Constants, error) {
	c, err := DecodeConstants(r)
	if err != nil {
		return nil, err
	}
	if err := c.Check(); err != nil {
		return nil, err
	}
	return c, nil
}

// DecodeConstants reads the constants file without checking it, so that slopes
// which only say how they are measured can be filled.
func DecodeConstants(r io.Reader) (*Constants, error) {
	var c Constants
	meta, err := toml.NewDecoder(r).Decode(&c)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrConstants, err)
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return nil, fmt.Errorf("%w: unknown key %s", ErrConstants, unknown[0])
	}
	return &c, nil
}

// header opens the constants file.
const header = `# Constants of docs/CAPACITY.md. Sizes, limits, settings and assumed figures are
# edited by hand; slopes are filled by hawthornrill-sizing fit. See
# docs/operators/capacity-planning.md.

`

// Write writes the constants file.
func (c *Constants) Write(w io.Writer) error {
	if _, err := io.WriteString(w, header); err != nil {
		return fmt.Errorf("sizing: write constants: %w", err)
	}
	encoder := toml.NewEncoder(w)
	encoder.Indent = ""
	if err := encoder.Encode(c); err != nil {
		return fmt.Errorf("sizing: write constants: %w", err)
	}
	return nil
}

// Parameter returns the figure of that name from any list but the slopes.
func (c *Constants) Parameter(name string) (Parameter, bool) {
	for _, list := range [][]Parameter{c.Sizes, c.Limits, c.Settings, c.Assumed} {
		for _, f := range list {
			if f.Name == name {
				return f, true
			}
		}
	}
	return Parameter{}, false
}
