// Package domain defines the types shared by all packages: identifiers of hosts,
// organisations and endpoints, tiers of service, request keys and the request
// outcomes reported to callers. It does no I/O and imports no other package of the
// module.
package domain
