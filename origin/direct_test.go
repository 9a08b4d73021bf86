package origin

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func allConnected(string, string) bool { return true }

// Guards against a stream that doesn't go on since datagrams are lost between nodes that could talk over connections.
func TestOriginIsFoundWhereOnlyConnectionsWork(t *testing.T) {
	for name, lost := range map[string]func(from, to string) bool{
		"datagrams to the node that asks":   func(_, to string) bool { return to == "n003" },
		"datagrams from the node that asks": func(from, _ string) bool { return from == "n003" },
	} {
		t.Run(name, func(t *testing.T) {
			inFleet(t, func(t *testing.T, f *fleet) {
				k := key("o", "content", "1")
				f.lost = lost
				f.keepers["n000"].Begin(k, v1, "e", time.Minute)
				time.Sleep(2 * time.Millisecond)
				assert.Equal(t, f.lookup("n003", k).State, Unreachable)
				f.connected = allConnected
				found := f.lookup("n003", k)
				assert.Equal(t, found.State, Known)
				assert.Equal(t, found.Origin, v1)
				assert.Assert(t, found.Took < queryTimeout, "%v", found.Took)
			})
		})
	}
}

// Guards against knowledge that only a node has whose reports don't arrive, or that is leaving.
func TestSilentNodeIsAskedOverAConnection(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		k := key("o", "content", "1")
		f.lost = func(from, _ string) bool { return from == "n000" }
		f.keepers["n000"].Begin(k, v1, "e", time.Minute)
		time.Sleep(2 * time.Millisecond)
		f.silence("n000")
		time.Sleep(2 * tickInterval)
		f.connected = allConnected
		for _, n := range f.names() {
			assert.Equal(t, f.lookup(n, k).State, Known, n)
		}
		f.connected = func(from, to string) bool { return to != "n000" }
		for _, n := range f.names() {
			assert.Equal(t, f.lookup(n, k).State, Unreachable, n)
		}
	})
}

func TestMalformedQueryIsRefused(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		for _, query := range [][]byte{nil, []byte("x"), (&message{Kind: kindRecords}).encode(), (&message{Kind: kindQuery, Key: []byte("short")}).encode()} {
			_, err := f.keepers["n000"].Answer(query)
			assert.ErrorIs(t, err, errMalformed)
		}
	})
}
