// Package origin remembers which software version of a service began each stream that may be resumed. What two versions write
// does not fit together, so a stream continues only at the version that began it, and not at all where that is not known.
//
// The node that forwards the first event of a stream records its origin and reports it to a few other nodes, which follow from the
// stream's content by rendezvous hashing over the nodes that are heard and not leaving, in different data centres as far as there are
// any. These are the record's replicas. A node that is to continue a stream queries them, so that the knowledge outlives the node that
// served the stream. When the list of nodes changes, those that have a record report it to the nodes that have become its replicas.
//
// All of it is soft state: in memory, bounded, and gone when the stream's caller has no time left. Datagrams may be lost; then the
// origin is unknown, which is an answer of its own and never means that any version will do.
package origin
