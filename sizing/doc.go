// Package sizing works out docs/CAPACITY.md: what each role of a node costs at
// the size that the users design for, from slopes that benchmarks measured.
//
// One file, docs/capacity.toml, holds every constant: the users' sizes, their
// limits, the settings of the code, the slopes with their points, and what is
// assumed. A Formula is an arithmetic expression over these names; the text that
// the page shows is the very text that is evaluated. A figure that rests on an
// assumed constant, at whatever distance, is marked as assumed in the page.
//
// The package does no I/O but on the readers and writers given to it, and
// starts no process.
package sizing
