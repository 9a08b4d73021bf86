package gossip

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/routetable"
)

// resetConfigurationSenders returns how often each node has sent the member a configuration since the last call.
func (m *member) resetConfigurationSenders() map[domain.NodeID]int {
	m.mu.Lock()
	defer m.mu.Unlock()
	senders := m.configurationSenders
	m.configurationSenders = make(map[domain.NodeID]int)
	return senders
}

func TestForwarderSendsConfigurationToItsDataCentre(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		members := startFleet(t, newNetwork(), 2*minForwardingNodes, 2)
		time.Sleep(2 * time.Second)
		members[0].version.Store(7)
		members[1].version.Store(7)
		time.Sleep(500 * time.Millisecond)
		for i, m := range members[2:] {
			assert.Equal(t, m.version.Load(), uint64(7))
			senders := m.resetConfigurationSenders()
			assert.Equal(t, len(senders), 1, "sent by nodes other than the forwarder: %v", senders)
			assert.Assert(t, senders[members[i%2].deps.Self] <= 3, "sent again after the receiver reported the version: %v", senders)
		}
		time.Sleep(5 * time.Second)
		for _, m := range members {
			assert.Equal(t, len(m.resetConfigurationSenders()), 0, "sent again")
		}
	})
}

func TestLaggingNodeReceivesConfigurationFromPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		members := startFleet(t, newNetwork(), 7, 3)
		time.Sleep(2 * time.Second)
		for _, m := range members[1:] {
			m.version.Store(7)
		}
		time.Sleep(configurationSendDelay - 100*time.Millisecond)
		assert.Equal(t, members[0].version.Load(), uint64(0), "sent before the delay has passed")
		time.Sleep(time.Second)
		assert.Equal(t, members[0].version.Load(), uint64(7))
		senders := members[0].resetConfigurationSenders()
		assert.Assert(t, len(senders) <= 2, "too many senders: %v", senders)
	})
}

func TestNextSenderTakesOverWhenFirstIsUnreachable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := newNetwork()
		members := startFleet(t, net, 7, 3)
		time.Sleep(2 * time.Second)
		net.setCut("n001", "n000", true)
		net.setCut("n002", "n000", true)
		for _, m := range members[1:] {
			m.version.Store(7)
		}
		time.Sleep(configurationSendDelay + 3*configurationSendStagger + time.Second)
		assert.Equal(t, members[0].version.Load(), uint64(7))
	})
}

func TestOversizedConfigurationIsNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		members := startFleet(t, newNetwork(), 3, 1)
		time.Sleep(time.Second)
		members[0].documentBytes.Store(maxDocumentBytes + 1)
		members[0].version.Store(7)
		time.Sleep(5 * time.Second)
		assert.Equal(t, members[1].version.Load(), uint64(0))
	})
}

// A large configuration, here 700 KB as with two thousand routes, can't be sent in a report, but the removal of a key from
// it can.
func TestSmallChangeOfLargeConfigurationIsSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		members := startFleet(t, newNetwork(), 3, 1)
		time.Sleep(time.Second)
		members[0].documentBytes.Store(700_000)
		members[0].changes.Store(&changeList{[]*routetable.Change{{From: 6, To: 7, RemovedOrganisations: []domain.OrganisationID{"o"}}}})
		members[0].version.Store(7)
		time.Sleep(configurationSendDelay + time.Second)
		assert.Equal(t, members[1].version.Load(), uint64(7))
	})
}

func TestConfigurationChangesRoundTrip(t *testing.T) {
	sent := []*routetable.Change{
		{From: 6, To: 7, Digest: 1 << 63, Routes: []routetable.Route{{Name: "r", Splits: []routetable.Split{{Service: "s", Weight: 1}}}}},
		{From: 7, To: 8, Organisations: []routetable.Organisation{{ID: "o", Keys: []string{"k"}, Rate: 0.5}}},
	}
	steps, _ := encodeSteps(sent)
	read, err := (&Report{Steps: steps}).ConfigurationChanges()
	assert.NilError(t, err)
	assert.DeepEqual(t, read, sent)
	_, err = (&Report{Steps: append(steps, []byte("\x01"))}).ConfigurationChanges()
	assert.Assert(t, err != nil)
}
