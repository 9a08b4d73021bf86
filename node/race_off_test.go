//go:build !race

package node

// raceEnabled reports whether the race detector is enabled.
const raceEnabled = false
