// Package load is a load generator. It generates the workloads of the first users
// from a seed, sends them to complete nodes and measures the result of each request.
// Whether the service guarantees held is checked against the endpoints' own logs.
// Package load/virtual runs the nodes in virtual time; the same workloads can be
// sent over HTTP in real time.
package load
