// Package load makes the first users' workloads from a seed, sends them to whole
// nodes, and measures what came of each request. Its verdict on the promises
// comes from the endpoints' own logs. Package load/virtual runs the nodes in
// virtual time; the same workloads run over HTTP in real time.
package load
