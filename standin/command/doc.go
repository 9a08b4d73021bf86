// Package command is the program hawthornrill-standin as a library: it reads the
// command line and runs one stand-in.
package command
