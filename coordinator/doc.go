// Package coordinator sends load and unload orders to model engines. It decides
// which of the models that an engine may serve, by its row in the configuration
// table, are loaded on it.
//
// One process at a time decides about a group of models, as long as it holds the
// lease of the group. Its orders state an absolute target, carry the fencing number
// of the lease, are sent only while the lease is held, and are repeated until their
// effect is read back or a greater fencing number supersedes them. A decision of a
// holder never unloads the last replica of a model. docs/design/orders.md lists
// what cannot be guaranteed for engines that ignore fencing numbers.
package coordinator
