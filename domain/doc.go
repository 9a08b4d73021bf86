// Package domain holds the words that every other package shares: identifiers
// of hosts, organisations and endpoints, tiers of service, request keys and the
// outcomes a caller can be told. It does no I/O and depends on nothing else.
package domain
