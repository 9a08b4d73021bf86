package gossip

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

func TestReportIntervals(t *testing.T) {
	tests := []struct {
		name                    string
		localNodes, remoteNodes int
		size                    int
		forwards                bool
		local, remote           time.Duration
	}{
		{"no report sent yet", 2, 4, 0, false, 66 * time.Millisecond, 108 * time.Millisecond},
		{"7 nodes in 3 data centres", 2, 4, 400, false, 66 * time.Millisecond, 108 * time.Millisecond},
		{"69 nodes in 3 data centres", 22, 46, 870, false, 126 * time.Millisecond, 450 * time.Millisecond},
		{"300 nodes in 3 data centres, larger reports", 100, 200, 2000, false, time.Second, 3333333333},
		{"forwarder among 300 nodes", 100, 200, 2000, true, 360 * time.Millisecond, 3333333333},
		{"one data centre", 100, 0, 2000, false, time.Second, time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var p pacer
			p.observeSize(test.size)
			local, remote := p.intervals(test.localNodes, test.remoteNodes, test.forwards)
			assert.Equal(t, local, test.local)
			assert.Equal(t, remote, test.remote)
		})
	}
}

func TestReportValidity(t *testing.T) {
	tests := []struct{ every, want time.Duration }{
		{0, MinReportValidity},
		{-time.Hour, MinReportValidity},
		{450 * time.Millisecond, MinReportValidity},
		{time.Second, 3 * time.Second},
		{time.Hour, SilentPeerRetention},
		{1 << 62, SilentPeerRetention},
	}
	for _, test := range tests {
		report := Report{Every: test.every}
		assert.Equal(t, report.Validity(), test.want, "%v", test.every)
	}
}

func TestMeanReportSizeIsSmoothed(t *testing.T) {
	var p pacer
	for _, size := range []int{1000, 0, 2000} {
		p.observeSize(size)
	}
	assert.Equal(t, p.meanSize, 1100.0)
}

// In a large fleet with large reports each node stays within the send rates, and the longer intervals do not make peers
// appear silent.
func TestLargeFleetStaysWithinSendRateAndReachesAllPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const size, seconds = 60, 20
		members := startFleet(t, newNetwork(), size, 2)
		for _, m := range members {
			m.padding.Store(8000)
		}
		time.Sleep(10 * time.Second)
		before := members[7].bytes.Get()
		for range seconds {
			time.Sleep(time.Second)
			assert.DeepEqual(t, members[7].Fleet(), Fleet{Known: size, Heard: size, Near: size / 2})
			assert.Assert(t, members[7].HasForwarder())
		}
		sent := float64(members[7].bytes.Get()-before) / seconds
		assert.Assert(t, sent <= 1.1*(localBytesPerSecond+remoteBytesPerSecond), "sent %v bytes a second", sent)
	})
}
