// Package sizing computes the tables of docs/CAPACITY.md: the memory, messages, bytes
// and CPU that each role of a node needs at the design size, extrapolated from lines
// fitted to benchmark results.
//
// docs/capacity.toml holds every constant: the users' sizes and limits, the settings
// of the code, the fitted slopes with their points, and assumed values. A Formula is
// an arithmetic expression over the names of these constants; the page shows exactly
// the text that is evaluated. A value that depends on an assumed constant, directly or
// through derived values, is marked as assumed in the page.
//
// FitFile and RenderFile read and write the files that they are given; the rest of the
// package uses only the readers and writers passed to it. The package starts no
// process.
package sizing
