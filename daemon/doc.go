// Package daemon runs a node as a process: its listeners, the adapters to the
// outside, and a graceful end.
package daemon
