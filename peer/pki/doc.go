// Package pki holds the certificates by which nodes know each other: the TLS
// configurations for both ends of a peer link, credentials that are read again
// when their files change, and a small certificate authority for tests and the
// demo.
//
// A certificate names a node by a DNS name that equals the node's identifier or
// by the URI "urn:hawthornrill:node:ID". Nodes are dialled by IP address; the
// name in the certificate, not the address, is what is checked.
package pki
