package entrynode

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/boottime"
	"hawthornrill.example/hawthornrill/gossip"
)

func TestStatedListAge(t *testing.T) {
	for _, c := range []struct {
		millis int
		sent   boottime.Instant
		want   boottime.Instant
	}{
		{millis: 0, sent: at(0), want: 0},
		{millis: -1, sent: at(0), want: 0},
		{millis: 1500, sent: 0, want: 0},
		{millis: 1500, sent: at(0), want: at(-1500 * time.Millisecond)},
		{millis: math.MaxInt, sent: at(0), want: 0},
	} {
		assert.Equal(t, listConfirmed(&gossip.Report{EndpointsAgeMillis: c.millis}, c.sent), c.want, "%v", c)
	}
	assert.Equal(t, ceilMillis(0), 1)
	assert.Equal(t, ceilMillis(1500*time.Microsecond), 2, "a list is never stated as younger than it is")
}
