// Package budget bounds what one node asks of the platform's store: calls a
// second, and how soon it tries again after an outage. The service's rates are
// shared by the whole fleet and grow more slowly than it does.
package budget
