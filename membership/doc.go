// Package membership determines which nodes are alive, leaving or unreachable,
// from the platform's host list, which lags, and from what the nodes report.
//
// # Worst-case times
//
// The times below follow from the design, not from the luck of random orders or of
// the phases of ticks. They hold while no message between the nodes named is lost
// or takes longer than a ping's timeout, processes are not paused, and the nodes of
// a data centre agree on its members. Symbols stand for Options: P ProbeInterval
// (0.5 s), T ProbeTimeout (0.3 s), S SuspicionTimeout (1.2 s), E ExchangeInterval
// (3 s), A ExchangeTimeout (1 s), L HostListInterval (5 s).
//
//   - Spread: a node pushes each change once to three others, at the distances 1, b
//     and b*b in a ring on which all nodes agree, where b is the cube root of their
//     number n, rounded up. Any distance is a sum of at most 3(b-1) of these, so a
//     change reaches all nodes after that many hops of 20 ms and a message's way:
//     0.25 s for 48 nodes. Up to b*b-2 neighbours in the ring may have failed
//     unnoticed, at up to 3 more hops. What a push misses is repaired by comparing
//     tables.
//   - Crash, own data centre: 4P + 3T + S + spread = 4.4 s. Its two predecessors in
//     the ring probe a node every 4P; one of them may have failed too. A probe is a
//     ping (T), pings through relays (2T) and the suspicion (S). When m neighbours
//     in the ring crash together, (m-1)P more: a node with an unanswered probe
//     probes its next successors, one a tick.
//   - Crash, other data centres: E + A/2 + spread more = 8.1 s. A delegate pulls
//     every E; if its contact is the node that crashed, it asks the next one after
//     A/2.
//   - Leave and AnnounceStopped, own data centre: before they return, at each peer
//     that answers; they take up to A for each 16 peers that don't.
//   - Leave and AnnounceStopped, other data centres: E + A/2 + spread = 3.8 s. A
//     tick that is late by less than P/2 delays only its own exchange.
//   - A data centre that can't be reached: E + 3.5A + spread = 6.8 s: the last of
//     four attempts begins 2.5A after the first if none is answered, and is given
//     up after A.
//   - A paused node, after it resumes: P + spread = 0.8 s in its data centre, as the
//     first peer that it probes tells it what is held against it; E + A/2 + spread
//     more elsewhere.
//   - A partition within a data centre, after it heals: each node pings one
//     unreachable peer in turn every recheckInterval, and learns from its reply what
//     is held against itself: recheckInterval + P = 4.5 s until all have refuted it.
//     Nodes that a push does not reach meanwhile learn of it by comparing tables,
//     for which no bound is derived.
//   - Gone from the host list: GoneAfter counts from a reading of the list and ends
//     with one, and readings are at most 1.5L apart: GoneAfter + 3L = 75 s, and
//     spread.
package membership
