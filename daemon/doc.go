// Package daemon runs a node as a process: it opens the listeners, connects the
// adapters to external systems, and drains the node on shutdown.
package daemon
