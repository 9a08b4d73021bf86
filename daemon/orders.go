package daemon

import (
	"hawthornrill.example/hawthornrill/coordinator"
	"hawthornrill.example/hawthornrill/settings"
)

// loadBurst is the number of weight loads that may be ordered at once.
const loadBurst = 4

// coordinatorOptions returns nil if the settings disable giving orders.
func coordinatorOptions(s settings.Orders) *coordinator.Options {
	if !s.Give {
		return nil
	}
	return &coordinator.Options{LoadBudget: coordinator.NewLoadRateLimit(s.LoadsPerMinute, loadBurst)}
}
