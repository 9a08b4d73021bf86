// Package soak is a randomized soak test of the real programs: entry nodes run as separate processes on loopback against
// the stand-ins of package platformtest, and faults are injected from outside the processes. See docs/operators/soak.md.
package soak
