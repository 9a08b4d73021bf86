// Package settings reads and validates the daemon's TOML file. Settings are local to
// a process and fixed at its start, such as its identity and addresses. What
// operators change at run time is in package config.
package settings

import (
	"hawthornrill.example/hawthornrill/domain"
)

// Settings is the content of the settings file.
type Settings struct {
	// Node is the name of this host's node, unique across all data centres.
	Node domain.NodeID `toml:"node"`
	// DataCentre is the data centre of this host.
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

// Orders configures whether the node may send commands to engines as the
// coordinator.
type Orders struct {
	// Give makes the node a candidate for coordinator. It also keeps requests away
	// from engines that have not loaded their model. It must be the same on all nodes.
	Give bool `toml:"give"`
	// LoadsPerMinute limits the rate at which the node orders model loads, to bound the
	// load on the weight store.
	LoadsPerMinute float64 `toml:"loads_per_minute"`
}

// Listen holds the listen addresses of the process, "IP:port".
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
	// CallsPerSecond limits the rate of this node's calls to the store.
	CallsPerSecond float64 `toml:"calls_per_second"`
}

// Peers configures how nodes discover and authenticate each other.
type Peers struct {
	// Seeds are initial peers in addition to the host list.
	Seeds []Seed `toml:"seeds"`
	// TLS is required unless Plain is set.
	TLS TLS `toml:"tls"`
	// Plain allows links without TLS and authentication, on loopback addresses only.
	Plain bool `toml:"plain"`
	// MaxFrameBytes is the maximum size of a message.
	MaxFrameBytes int `toml:"max_frame_bytes"`
}

// Seed is a peer known at the start.
type Seed struct {
	Node       domain.NodeID     `toml:"node"`
	DataCentre domain.DataCentre `toml:"data_centre"`
	Address    string            `toml:"address"`
}

// TLS holds the paths of PEM files.
type TLS struct {
	CA          string `toml:"ca"`
	Certificate string `toml:"certificate"`
	Key         string `toml:"key"`
}

// Callers configures the callers' listener and limits their requests.
type Callers struct {
	// TLS of the callers' listener. If empty, it serves plain HTTP, for use behind a
	// load balancer.
	TLS          TLS `toml:"tls"`
	MaxBodyBytes int `toml:"max_body_bytes"`
	// DisconnectGrace is how long a request continues after its caller has
	// disconnected.
	DisconnectGrace Duration `toml:"disconnect_grace"`
}

// Operators holds the API keys of operators.
type Operators struct {
	Keys []OperatorKey `toml:"keys"`
}

// OperatorKey is an operator's API key, stored as its hexadecimal SHA-256 hash.
type OperatorKey struct {
	// Name is the operator's name, recorded as the author of edits.
	Name   string `toml:"name"`
	SHA256 string `toml:"sha256"`
}

// Sessions configures session tokens. SecretFiles are the files with the secrets: the
// first signs tokens, all verify them. Without a file a secret is generated at the
// start, and sessions do not survive a restart.
type Sessions struct {
	SecretFiles []string `toml:"secret_files"`
	TTL         Duration `toml:"ttl"`
}

// Retention limits what is retained of finished requests.
type Retention struct {
	Window      Duration `toml:"window"`
	MaxKeys     int      `toml:"max_keys"`
	AnswerBytes int      `toml:"answer_bytes"`
}

// Log configures logging.
type Log struct {
	// Level is debug, info, warn or error.
	Level string `toml:"level"`
	// Format is json or console.
	Format string `toml:"format"`
}

// Shutdown configures graceful shutdown.
type Shutdown struct {
	// NoticePeriod is the delay between /readyz reporting not ready and the listener
	// rejecting new requests, so that the load balancer can detect the change.
	NoticePeriod Duration `toml:"notice_period"`
	// Limit is the maximum time to wait for requests in progress; 0 waits until all
	// have finished.
	Limit Duration `toml:"limit"`
}
