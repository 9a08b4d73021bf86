// Package budget limits one node's load on the platform's store: its call rate, and
// how soon it retries after an outage. The whole fleet shares the service's rate
// limits, which grow more slowly than the fleet.
package budget
