// Package soak holds a randomized soak test of the real programs: entry nodes as separate processes on loopback against
// the stand-ins of package platformtest, with faults injected from outside. See docs/operators/soak.md.
package soak
