// Package demo runs a complete deployment in one process on loopback: stand-ins
// for the platform and the endpoints, and one daemon for each entry host.
package demo
