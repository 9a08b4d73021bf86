// Package buildinfo provides the version of the programs.
package buildinfo

import (
	"fmt"
	"runtime"
	"runtime/debug"
)

// Version is the released version, or the next one with the suffix -dev.
const Version = "0.1.0-dev"

// String returns the version, the commit if the build is stamped with one, and the
// Go version.
func String() string {
	return fmt.Sprintf("hawthornrill %s%s %s", Version, revision(), runtime.Version())
}

func revision() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return ""
	}
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			return " (" + setting.Value + ")"
		}
	}
	return ""
}
