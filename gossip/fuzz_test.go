package gossip

import (
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/boottime"
)

// Guards against a datagram that ends the program.
func FuzzDatagram(f *testing.F) {
	for _, report := range []Report{typicalReport(), {From: "n", Life: 1, SentAt: 1, PassesOn: true, Versions: [][]string{{"v1"}}, StatesVersions: true}} {
		datagram, err := encMode.Marshal(report)
		assert.NilError(f, err)
		f.Add(datagram)
	}
	f.Add([]byte{0x80})
	f.Fuzz(func(t *testing.T, datagram []byte) {
		m := New(Dependencies{
			Self: "self", DataCentre: "dc", Incarnation: 1, Clock: func() boottime.Instant { return 1 }, Peers: func() []Address { return nil },
			Fill: func(*Report) {}, Log: zerolog.Nop(), Metrics: metrics.NewSet(),
			OnReport: func(report *Report, _ boottime.Instant) {
				_ = report.EndpointChanges()
				if _, err := report.ConfigurationChanges(); err != nil {
					return
				}
				assert.Assert(t, report.Validity() > 0)
			},
			OnMessage: func([]byte, string) {},
		})
		m.handleDatagram(datagram, "127.0.0.1:1")
		m.Confirms()
		m.HasForwarder()
		m.dueTargets()
	})
}
