// Package pki provides mutual TLS authentication between nodes: the TLS
// configurations for both ends of a peer link, credentials that are reloaded when
// their files change, and a small certificate authority for tests and the demo.
//
// A certificate names a node by a DNS name that equals the node's identifier or
// by the URI "urn:hawthornrill:node:ID". Nodes are dialled by IP address; the
// name in the certificate is checked, not the address.
package pki
