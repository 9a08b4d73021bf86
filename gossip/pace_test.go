package gossip

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

func TestPausesBetweenReports(t *testing.T) {
	tests := []struct {
		name          string
		local, others int
		size          int
		passesOn      bool
		near, far     time.Duration
	}{
		{"nothing sent yet", 2, 4, 0, false, 66 * time.Millisecond, 108 * time.Millisecond},
		{"7 nodes in 3 data centres", 2, 4, 400, false, 66 * time.Millisecond, 108 * time.Millisecond},
		{"69 nodes in 3 data centres", 22, 46, 870, false, 126 * time.Millisecond, 450 * time.Millisecond},
		{"300 nodes in 3 data centres, larger reports", 100, 200, 2000, false, time.Second, 3333333333},
		{"the node of these that passes changes on", 100, 200, 2000, true, 360 * time.Millisecond, 3333333333},
		{"one data centre", 100, 0, 2000, false, time.Second, time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var p pace
			p.saw(test.size)
			near, far := p.pauses(test.local, test.others, test.passesOn)
			assert.Equal(t, near, test.near)
			assert.Equal(t, far, test.far)
		})
	}
}

func TestHowLongAReportCounts(t *testing.T) {
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

func TestSizeOfReportsIsAMean(t *testing.T) {
	var p pace
	for _, size := range []int{1000, 0, 2000} {
		p.saw(size)
	}
	assert.Equal(t, p.size, 1100.0)
}

// In a large fleet with large reports no node sends more than the bounds allow, and none is taken for silent for that.
func TestLargeFleetKeepsToItsBytesAndHearsEachOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const size, seconds = 60, 20
		members := fleet(t, newNetwork(), size, 2)
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
		assert.Assert(t, sent <= 1.1*(nearBytes+farBytes), "%v bytes a second", sent)
	})
}
