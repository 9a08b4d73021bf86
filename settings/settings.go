// Package settings reads and checks the daemon's TOML file. Settings tell a
// process who and where it is; what the operators decide while it runs is
// package config.
package settings

import (
	"hawthornrill.example/hawthornrill/domain"
)

// Settings is the whole file.
type Settings struct {
	// Node is this host's name, unique over all data centres.
	Node domain.NodeID `toml:"node"`
	// DataCentre is where this host stands.
	DataCentre domain.DataCentre `toml:"data_centre"`

	Listen    Listen    `toml:"listen"`
	Platform  Platform  `toml:"platform"`
	Peers     Peers     `toml:"peers"`
	Callers   Callers   `toml:"callers"`
	Operators Operators `toml:"operators"`
	Sessions  Sessions  `toml:"sessions"`
	Retention Retention `toml:"retention"`
	Log       Log       `toml:"log"`
	Shutdown  Shutdown  `toml:"shutdown"`
	Orders    Orders    `toml:"orders"`
}

// Orders tells whether the node may give engines their orders.
type Orders struct {
	// Give makes the node a candidate, and keeps requests from engines that have not
	// loaded their model. Set it alike on all nodes.
	Give bool `toml:"give"`
	// LoadsPerMinute bounds the loads that the node orders, for the weight store.
	LoadsPerMinute float64 `toml:"loads_per_minute"`
}

// Listen holds the addresses that the process listens on, "IP:port".
type Listen struct {
	Callers   string `toml:"callers"`
	Peers     string `toml:"peers"`
	Operators string `toml:"operators"`
}

// Platform holds the base URLs of the platform's services.
type Platform struct {
	Store    string `toml:"store"`
	HostList string `toml:"host_list"`
	Weights  string `toml:"weights"`
	// CallsPerSecond bounds this node's calls to the store.
	CallsPerSecond float64 `toml:"calls_per_second"`
}

// Peers tells how nodes find and authenticate each other.
type Peers struct {
	// Seeds are peers to begin with, besides the host list.
	Seeds []Seed `toml:"seeds"`
	// TLS is required unless Plain is set.
	TLS TLS `toml:"tls"`
	// Plain allows unauthenticated links, on loopback addresses only.
	Plain bool `toml:"plain"`
	// MaxFrameBytes bounds one message.
	MaxFrameBytes int `toml:"max_frame_bytes"`
}

// Seed is a peer known from the start.
type Seed struct {
	Node       domain.NodeID     `toml:"node"`
	DataCentre domain.DataCentre `toml:"data_centre"`
	Address    string            `toml:"address"`
}

// TLS names PEM files.
type TLS struct {
	CA          string `toml:"ca"`
	Certificate string `toml:"certificate"`
	Key         string `toml:"key"`
}

// Callers bounds what callers may send.
type Callers struct {
	// TLS of the callers' listener; plain HTTP when empty, as behind a balancer.
	TLS          TLS `toml:"tls"`
	MaxBodyBytes int `toml:"max_body_bytes"`
	// DisconnectGrace is how long a request goes on without its caller.
	DisconnectGrace Duration `toml:"disconnect_grace"`
}

// Operators holds the operators' keys.
type Operators struct {
	Keys []OperatorKey `toml:"keys"`
}

// OperatorKey is an operator's key, known by its SHA-256 in hexadecimal.
type OperatorKey struct {
	// Name is the operator's; edits are accepted under it.
	Name   string `toml:"name"`
	SHA256 string `toml:"sha256"`
}

// Sessions holds the files with the secrets that sign session tokens; the first
// signs, all verify. With no file a secret is made at start and sessions do not
// survive a restart.
type Sessions struct {
	SecretFiles []string `toml:"secret_files"`
	TTL         Duration `toml:"ttl"`
}

// Retention bounds what is kept of finished requests.
type Retention struct {
	Window      Duration `toml:"window"`
	MaxKeys     int      `toml:"max_keys"`
	AnswerBytes int      `toml:"answer_bytes"`
}

// Log tells what is logged and how.
type Log struct {
	// Level is debug, info, warn or error.
	Level string `toml:"level"`
	// Format is json or console.
	Format string `toml:"format"`
}

// Shutdown bounds a graceful shutdown.
type Shutdown struct {
	// NoticePeriod is the time between /readyz turning false and the listener
	// refusing new requests, for the balancer to notice.
	NoticePeriod Duration `toml:"notice_period"`
	// Limit ends the wait for requests in progress; 0 waits for all of them.
	Limit Duration `toml:"limit"`
}
