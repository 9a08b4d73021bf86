// Package command implements the program hawthornrill-standin: it parses the
// command line and runs one stand-in.
package command
