// Package buildinfo tells which version of the programs this is.
package buildinfo

import (
	"fmt"
	"runtime"
	"runtime/debug"
)

// Version is the released version, or the one being worked on.
const Version = "0.1.0-dev"

// String returns the version, the commit if it was stamped into the build, and
// the Go version.
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
