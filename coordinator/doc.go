// Package coordinator gives model engines their orders: which of the models that
// a row of the table allows an engine loads, and which it unloads.
//
// One process at a time decides about a group of models, as long as it holds the
// group's lease. Its orders state an absolute target, carry the fencing number of
// the lease, are given only while the lease is held, and are repeated until they
// are read back or overtaken by a greater fencing number. The last runner of a
// model is never unloaded by a decision of a holder. What can't be promised for
// engines that ignore fencing numbers stands in docs/design/orders.md.
package coordinator
