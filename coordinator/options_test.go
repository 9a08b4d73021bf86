package coordinator

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a lease whose margin does not cover an order that was sent right before its end.
func TestLeaseMarginFollowsTheTTL(t *testing.T) {
	for ttl, margin := range map[time.Duration]time.Duration{0: 6 * time.Second, 20 * time.Second: 4 * time.Second, time.Minute: 12 * time.Second} {
		o := Options{LeaseTTL: ttl}.withDefaults()
		assert.Equal(t, o.LeaseMargin, margin)
		assert.Equal(t, o.settleTime(), o.LeaseTTL+margin+o.OrderTimeout)
	}
	_, err := New(Options{LeaseTTL: 15 * time.Second})
	assert.ErrorContains(t, err, "order timeout 3s is not less than the lease's margin 3s")
}
