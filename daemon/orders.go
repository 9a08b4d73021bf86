package daemon

import (
	"hawthornrill.example/hawthornrill/coordinator"
	"hawthornrill.example/hawthornrill/settings"
)

// loadsAtOnce is how many loads may be ordered in one go.
const loadsAtOnce = 4

// coordinatorOptions returns nil if the node is to give no orders.
func coordinatorOptions(s settings.Orders) *coordinator.Options {
	if !s.Give {
		return nil
	}
	return &coordinator.Options{LoadBudget: coordinator.NewLoadRateLimit(s.LoadsPerMinute, loadsAtOnce)}
}
