package document

import (
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/peer"
	"hawthornrill.example/hawthornrill/peer/peertest"
	"hawthornrill.example/hawthornrill/store/memstore"
)

func TestEditReachesEveryNode(t *testing.T) {
	inBubble(t, 3, 5, func(t *testing.T, f *fleet) {
		f.start()
		time.Sleep(10 * time.Second)
		assert.ErrorIs(t, f.nodes[0].service.Ready(), ErrNotReady)
		f.nodes[3].mustUpdate(set("one"))
		time.Sleep(time.Second)
		f.expectAll("one")
		before := f.store.Counts()
		version := f.nodes[7].mustUpdate(set("two"))
		assert.Equal(t, version.Generation, uint64(2))
		time.Sleep(100 * time.Millisecond)
		f.expectAll("two")
		assert.NilError(t, f.nodes[14].service.Ready())
		watching, _ := f.splitWatchers(f.nodes)
		assert.Equal(t, len(watching), 6)
		// 1 part, 1 manifest and 1 head are written; only the editor and the watchers read.
		assert.Equal(t, f.store.Counts().Writes-before.Writes, uint64(3))
		again := f.nodes[1].mustUpdate(set("two"))
		assert.Equal(t, again.Generation, uint64(2))
	})
}

func TestLostAnnouncementsAreRecovered(t *testing.T) {
	inBubble(t, 2, 12, func(t *testing.T, f *fleet) {
		f.start()
		f.nodes[0].mustUpdate(set("one"))
		time.Sleep(time.Minute)
		f.expectAll("one")
		f.network.Intercept(func(_, _ domain.NodeID, method peer.Method, _ bool) peertest.Action {
			return peertest.Action{Drop: method == methodAnnounce}
		})
		f.nodes[0].mustUpdate(set("two"))
		time.Sleep(20 * time.Second)
		f.expectAll("two")
	})
}

func TestDataCentreWithoutStoreLearnsFromPeers(t *testing.T) {
	inBubble(t, 2, 8, func(t *testing.T, f *fleet) {
		f.start()
		f.nodes[0].mustUpdate(set("one"))
		time.Sleep(time.Minute)
		for _, n := range f.dataCentre("dc1") {
			n.client.SetDown(true)
		}
		// The editor's own announcements are lost as well.
		f.network.Intercept(func(from, _ domain.NodeID, method peer.Method, _ bool) peertest.Action {
			return peertest.Action{Drop: method == methodAnnounce && from == f.nodes[0].member.Node}
		})
		f.nodes[0].mustUpdate(set("two"))
		time.Sleep(20 * time.Second)
		f.expectAll("two")
		watching, _ := f.splitWatchers(f.dataCentre("dc1"))
		assert.Assert(t, watching[0].condition().StoreError != "")
	})
}

func TestPartitionHealed(t *testing.T) {
	inBubble(t, 2, 6, func(t *testing.T, f *fleet) {
		f.start()
		f.nodes[0].mustUpdate(set("one"))
		time.Sleep(time.Minute)
		f.network.Partition(nodeIDs(f.dataCentre("dc0")), nodeIDs(f.dataCentre("dc1")))
		for _, n := range f.dataCentre("dc1") {
			n.client.SetDown(true)
		}
		f.nodes[0].mustUpdate(set("two"))
		time.Sleep(10 * time.Minute)
		f.expectAll("two", f.dataCentre("dc0")...)
		f.expectAll("one", f.dataCentre("dc1")...)
		f.network.HealAll()
		time.Sleep(20 * time.Second)
		f.expectAll("two")
	})
}

func TestStaleStoreReadIsIgnored(t *testing.T) {
	inBubble(t, 1, 5, func(t *testing.T, f *fleet) {
		f.start()
		f.nodes[0].mustUpdate(set("one"))
		f.nodes[0].mustUpdate(set("two"))
		time.Sleep(5 * time.Second)
		f.store.SetStaleness(6 * time.Second)
		time.AfterFunc(5*time.Second, func() { f.store.SetStaleness(0) })
		version := f.nodes[2].mustUpdate(add("+"))
		assert.Equal(t, version.Generation, uint64(3))
		f.store.SetStaleness(15 * time.Second)
		time.Sleep(40 * time.Second)
		f.expectAll("two+")
		f.store.SetStaleness(0)
		time.Sleep(time.Minute)
		f.expectAll("two+")
		assert.Equal(t, f.nodes[0].condition().Held.Generation, uint64(3))
	})
}

func TestStoreRestoredFromOldBackup(t *testing.T) {
	for name, backupOf := range map[string]func(f *fleet) memstore.Snapshot{
		"old backup": func(f *fleet) memstore.Snapshot { return f.store.Save() },
		"emptied":    func(*fleet) memstore.Snapshot { return memstore.New(memstore.Options{}).Save() },
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, 2, 4, func(t *testing.T, f *fleet) {
				f.start()
				f.nodes[0].mustUpdate(set("one"))
				backup := backupOf(f)
				f.nodes[0].mustUpdate(set("two"))
				f.nodes[0].mustUpdate(set("three"))
				time.Sleep(time.Minute)
				f.store.Restore(backup)
				// An edit builds on the last accepted version, not on the restored one.
				version := f.nodes[5].mustUpdate(add("+"))
				assert.Equal(t, version.Generation, uint64(4))
				time.Sleep(time.Minute)
				f.expectAll("three+")

				f.store.Restore(backup)
				var reported bool
				for range 120 {
					time.Sleep(time.Second)
					watching, _ := f.splitWatchers(f.nodes)
					reported = reported || watching[0].condition().StoreBehind
				}
				assert.Assert(t, reported)
				_, value, err := f.nodes[0].service.Load(t.Context(), docName, 4)
				assert.NilError(t, err)
				assert.Equal(t, string(value.Bytes()), "three+")
				history, err := f.nodes[0].service.History(t.Context(), docName)
				assert.NilError(t, err)
				assert.Equal(t, history[0].Generation, uint64(4))
				// Nodes restarted without running peers load the same version from the store.
				for _, n := range f.nodes {
					n.halt()
				}
				f.start()
				time.Sleep(20 * time.Second)
				f.expectAll("three+")
			})
		})
	}
}

func TestRestartDuringStoreOutage(t *testing.T) {
	inBubble(t, 2, 5, func(t *testing.T, f *fleet) {
		f.start()
		f.nodes[0].mustUpdate(set("one"))
		time.Sleep(time.Minute)
		f.store.SetDown(true)
		for _, n := range f.nodes {
			n.halt()
			f.start(n)
			time.Sleep(5 * time.Second)
			assert.NilError(t, n.service.Ready())
			assert.Equal(t, n.value(), "one")
		}
		for _, n := range f.nodes {
			n.halt()
		}
		f.start()
		time.Sleep(10 * time.Minute)
		for _, n := range f.nodes {
			assert.ErrorIs(t, n.service.Ready(), ErrNotReady)
		}
		f.store.SetDown(false)
		time.Sleep(20 * time.Second)
		f.expectAll("one")
	})
}

func TestBootstrapTakesHighestPeerVersion(t *testing.T) {
	inBubble(t, 1, 6, func(t *testing.T, f *fleet) {
		f.start()
		f.nodes[0].mustUpdate(set("one"))
		time.Sleep(time.Minute)
		f.store.SetDown(true)
		// Only one node has the latest version.
		last := f.nodes[4]
		f.network.Intercept(func(from, to domain.NodeID, method peer.Method, _ bool) peertest.Action {
			touches := from == last.member.Node || to == last.member.Node
			return peertest.Action{Drop: touches && to != f.nodes[5].member.Node && from != f.nodes[5].member.Node}
		})
		f.store.SetDown(false)
		f.nodes[5].halt()
		last.mustUpdate(set("two"))
		f.store.SetDown(true)
		f.start(f.nodes[5])
		time.Sleep(100 * time.Millisecond)
		assert.Equal(t, f.nodes[5].value(), "two")
	})
}

func TestVersionThatFailsToApply(t *testing.T) {
	inBubble(t, 1, 6, func(t *testing.T, f *fleet) {
		f.invalidValue = "bad"
		f.start()
		f.nodes[0].mustUpdate(set("good"))
		time.Sleep(time.Minute)
		f.nodes[0].mustUpdate(set("bad"))
		time.Sleep(time.Second)
		f.expectAll("good")
		for _, n := range f.nodes {
			c := n.condition()
			assert.Equal(t, c.Error, errInvalidValue.Error())
			assert.Equal(t, c.Held.Generation, uint64(2))
			assert.Equal(t, c.InForce.Generation, uint64(1))
		}
		// Restarted nodes take the last good version from their peers.
		for _, n := range f.nodes {
			n.halt()
			f.start(n)
			time.Sleep(10 * time.Second)
			assert.NilError(t, n.service.Ready())
		}
		f.expectAll("good")
		// Nodes restarted all at once take it from the store's history.
		for _, n := range f.nodes {
			n.halt()
		}
		f.start()
		time.Sleep(20 * time.Second)
		f.expectAll("good")
		f.nodes[0].mustUpdate(set("better"))
		time.Sleep(time.Second)
		f.expectAll("better")
		assert.Equal(t, f.nodes[1].condition().Error, "")
	})
}

func TestStatusReportsUnreachableNodes(t *testing.T) {
	cut := func(f *fleet, asked, away int) { f.network.Cut(f.nodes[asked].member.Node, f.nodes[away].member.Node) }
	cases := []struct {
		name  string
		fault func(f *fleet)
		away  []int
		// calls is the maximum number of calls that the queried node makes.
		calls int
	}{
		{"none", func(*fleet) {}, nil, 9 + 2},
		{"one node of the same data centre", func(f *fleet) { f.nodes[3].halt() }, []int{3}, 9 + 2},
		{"one node of another data centre", func(f *fleet) { f.nodes[13].halt() }, []int{13}, 9 + 4},
		{"links cut to two nodes that their neighbours reach", func(f *fleet) { cut(f, 0, 11); cut(f, 0, 12) }, nil, 9 + 4},
		{"one data centre", func(f *fleet) {
			f.network.Partition(nodeIDs(f.dataCentre("dc1")), nodeIDs(slices.Concat(f.dataCentre("dc0"), f.dataCentre("dc2"))))
		}, []int{10, 11, 12, 13, 14, 15, 16, 17, 18, 19}, 9 + 13},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			inBubble(t, 3, 10, func(t *testing.T, f *fleet) {
				f.start()
				f.nodes[0].mustUpdate(set("one"))
				time.Sleep(time.Minute)
				c.fault(f)
				f.network.ResetCounts()
				status := f.nodes[0].service.Status(t.Context())
				assert.Equal(t, len(status), 30)
				for i, node := range status {
					assert.Equal(t, node.Error != "", slices.Contains(c.away, i), "%s: %s", node.Member, node.Error)
					if node.Error == "" {
						assert.Equal(t, node.Conditions[0].InForce.Generation, uint64(1))
						assert.Assert(t, node.Conditions[0].InForceFor > 55*time.Second)
					}
				}
				sent := f.network.Counts(f.nodes[0].member.Node)
				calls := sent[methodStatus].Messages + sent[methodDataCentreStatus].Messages
				assert.Assert(t, calls <= c.calls, "%d calls", calls)
			})
		})
	}
}

func TestLargeValueIsSentAsDelta(t *testing.T) {
	inBubble(t, 1, 10, func(t *testing.T, f *fleet) {
		parts := make([][]byte, 300)
		for i := range parts {
			parts[i] = []byte(strings.Repeat(string(rune('a'+i%26)), 4000) + string(rune(0x100+i)))
		}
		value := Value{Parts: parts}
		f.start()
		f.nodes[0].mustUpdate(func(Version, []byte) (Value, error) { return value, nil })
		time.Sleep(10 * time.Second)
		f.expectAll(string(value.Bytes()))
		full := f.network.Total(methodPull).Bytes + f.network.Total(methodParts).Bytes
		parts[7] = []byte("changed")
		f.nodes[0].mustUpdate(func(Version, []byte) (Value, error) { return value, nil })
		time.Sleep(time.Second)
		f.expectAll(string(value.Bytes()))
		after := f.network.Total(methodPull).Bytes + f.network.Total(methodParts).Bytes
		assert.Assert(t, after-full < full/100, "%d then %d bytes", full, after-full)
		// A starting node needs many pages, or one listing of the store.
		f.nodes[9].halt()
		f.start(f.nodes[9])
		time.Sleep(5 * time.Second)
		f.expectAll(string(value.Bytes()))
	})
}
