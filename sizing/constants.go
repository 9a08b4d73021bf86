package sizing

import (
	"fmt"
	"io"

	"github.com/BurntSushi/toml"
)

// Constants is the content of the constants file.
type Constants struct {
	Machine Machine `toml:"machine"`
	// Sizes are the fleet sizes and loads that the users stated.
	Sizes []Parameter `toml:"size"`
	// Limits are the limits that the users set on resource use.
	Limits []Parameter `toml:"limit"`
	// Settings repeat defaults of the code; a test compares the two.
	Settings []Parameter `toml:"setting"`
	// Assumed are values that can't be measured with this repository's benchmarks, with
	// the reason for each.
	Assumed []Parameter `toml:"assumed"`
	// Slopes are the lines fitted to benchmark results.
	Slopes []Slope `toml:"slope"`
	// Missing are slopes that formulas use but that have not been measured yet.
	Missing []MissingSlope `toml:"missing"`
}

// Machine describes the computer on which the slopes were measured.
type Machine struct {
	Cores int    `toml:"cores"`
	Go    string `toml:"go"`
}

// MissingSlope names a slope that has not been measured.
type MissingSlope struct {
	Name   string `toml:"name"`
	Reason string `toml:"why"`
}

// ReadConstants reads and checks the constants file. The error reports all invalid
// entries, not only the first.
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

// DecodeConstants reads the constants file without checking it. Refit needs this for
// new slopes, which state how they are measured but have no points yet.
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

// fileHeader is the comment at the top of the constants file.
const fileHeader = `# Constants of docs/CAPACITY.md. Sizes, limits, settings and assumed figures are
# edited by hand; slopes are filled by hawthornrill-sizing fit. See
# docs/operators/capacity-planning.md.

`

// Write writes the constants in TOML.
func (c *Constants) Write(w io.Writer) error {
	if _, err := io.WriteString(w, fileHeader); err != nil {
		return fmt.Errorf("sizing: write constants: %w", err)
	}
	encoder := toml.NewEncoder(w)
	encoder.Indent = ""
	if err := encoder.Encode(c); err != nil {
		return fmt.Errorf("sizing: write constants: %w", err)
	}
	return nil
}

// Parameter returns the parameter of that name. Slopes are not searched.
func (c *Constants) Parameter(name string) (Parameter, bool) {
	for _, list := range [][]Parameter{c.Sizes, c.Limits, c.Settings, c.Assumed} {
		for _, p := range list {
			if p.Name == name {
				return p, true
			}
		}
	}
	return Parameter{}, false
}
