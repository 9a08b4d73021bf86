// Package demo runs a whole deployment in one process on loopback: stand-ins of
// the platform and the endpoints, and one daemon for each entry host.
package demo
