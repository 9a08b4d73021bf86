package origin

import (
	"fmt"
	"runtime"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/boottime"
	"hawthornrill.example/hawthornrill/domain"
)

// Guards against knowledge that dies with the node that served the stream, killed without a word.
func TestOriginOutlivesTheNodeThatServedTheStream(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		names := f.names()
		for i := range 50 {
			k := key("o", "content", fmt.Sprint(i))
			f.keepers["n000"].Begin(k, v1, "e", time.Minute)
			time.Sleep(2 * time.Millisecond)
			if i == 49 {
				f.kill("n000")
			}
			for _, n := range others(names, "n000") {
				found := f.lookup(n, k)
				assert.Equal(t, found.State, Known, "attempt %d at %s", i, n)
				assert.Equal(t, found.Origin, v1)
			}
		}
	})
}

// Guards against chosen nodes that are released one by one, with the knowledge of all who served the stream.
func TestOriginOutlivesTheReleaseOfAllNodes(t *testing.T) {
	for _, graceful := range []bool{true, false} {
		t.Run(fmt.Sprint("graceful=", graceful), func(t *testing.T) {
			inFleet(t, func(t *testing.T, f *fleet) {
				var keys []Key
				for i := range 200 {
					keys = append(keys, key("o", "content", fmt.Sprint(i)))
					f.keepers[f.names()[i%7]].Begin(keys[i], v1, "e", time.Minute)
				}
				for _, n := range f.names() {
					if graceful {
						f.keepers[n].HandOver()
						time.Sleep(2 * time.Millisecond)
					}
					f.kill(n)
					f.restart(n)
					time.Sleep(2*tickInterval + 2*time.Millisecond)
				}
				for i, k := range keys {
					assert.Equal(t, f.lookup(f.names()[i%7], k).State, Known, "attempt %d", i)
				}
			})
		})
	}
}

func TestHalfOfTheNodesKilledAtOnceLeaveMostOrigins(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		var keys []Key
		for i := range 300 {
			keys = append(keys, key("o", fmt.Sprint("c", i), "1"))
			f.keepers[f.names()[i%4]].Begin(keys[i], v1, "e", time.Minute)
		}
		time.Sleep(2 * time.Millisecond)
		for _, n := range f.names()[:4] { // all that served a stream
			f.kill(n)
		}
		known := 0
		for i, k := range keys {
			if f.lookup(f.names()[4+i%3], k).State == Known {
				known++
			}
		}
		t.Logf("%d of %d known", known, len(keys))
		assert.Assert(t, 4*known >= 3*len(keys), "%d of %d", known, len(keys))
	})
}

func TestOriginIsFoundDespiteLoss(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		f.lost = loss(1.0 / 3)
		known := 0
		const attempts = 300
		for i := range attempts {
			k := key("o", fmt.Sprint("c", i), "1")
			f.keepers["n000"].Begin(k, v1, "e", time.Minute)
			time.Sleep(2 * time.Millisecond)
			if f.lookup(f.names()[1+i%6], k).State == Known {
				known++
			}
		}
		t.Logf("%d of %d known", known, attempts)
		assert.Assert(t, known >= attempts*19/20, "%d", known)
	})
}

// Guards against a node that takes what it does not know for what does not matter.
func TestUnknownOriginIsNoOrigin(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		found := f.lookup("n003", key("o", "content", "1"))
		assert.Equal(t, found.State, Unknown)
		assert.Assert(t, !found.Origin.Known())
		assert.Equal(t, found.Replied, 6)
		f.kill("n005")
		found = f.lookup("n003", key("o", "content", "1"))
		assert.Equal(t, found.State, Unreachable)
		assert.Equal(t, found.Took, queryTimeout)
		f.lost = func(string, string) bool { return true }
		assert.Equal(t, f.lookup("n003", key("o", "content", "1")).State, Unreachable)
	})
}

func TestUnheardNodesMayKnow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, 1)
		assert.Equal(t, f.lookup("n000", key("o", "content", "1")).State, Unknown)
		f.keepers["n000"].config.AllHeard = func() bool { return false }
		assert.Equal(t, f.lookup("n000", key("o", "content", "1")).State, Unreachable)
	})
}

func TestRepeatedIDOfTwoVersionsIsAmbiguous(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		k := key("o", "content", "1")
		f.keepers["n000"].Begin(k, v1, "e", time.Minute)
		f.keepers["n001"].Begin(k, v2, "f", time.Minute)
		time.Sleep(2 * time.Millisecond)
		for _, n := range f.names()[2:] {
			assert.Equal(t, f.lookup(n, k).State, Ambiguous)
		}
	})
}

func TestOrganisationsDoNotShareIDs(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		f.keepers["n000"].Begin(key("o", "content", "1"), v1, "e", time.Minute)
		f.keepers["n000"].Begin(key("p", "content", "1"), v2, "e", time.Minute)
		time.Sleep(2 * time.Millisecond)
		assert.Equal(t, f.lookup("n004", key("o", "content", "1")).Origin, v1)
		assert.Equal(t, f.lookup("n004", key("p", "content", "1")).Origin, v2)
		assert.Equal(t, f.lookup("n004", key("q", "content", "1")).State, Unknown)
	})
}

func TestUnnamedAttemptIsFoundByContentOfOneOrigin(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		unnamed := key("o", "content", "unnamed")
		f.keepers["n000"].Begin(key("o", "content", "1"), v1, "e", time.Minute)
		f.keepers["n001"].Begin(key("o", "content", "2"), v1, "e", time.Minute)
		time.Sleep(2 * time.Millisecond)
		found := f.keepers["n004"].Lookup(t.Context(), unnamed, false)
		assert.Equal(t, found.State, Known)
		assert.Equal(t, found.Origin, v1)
		assert.Equal(t, f.lookup("n004", unnamed).State, Unknown, "a named attempt is not another one")
		f.keepers["n002"].Begin(key("o", "content", "3"), v2, "e", time.Minute)
		time.Sleep(2 * time.Millisecond)
		for _, n := range f.names() {
			assert.Equal(t, f.keepers[n].Lookup(t.Context(), unnamed, false).State, Ambiguous, n)
		}
		assert.Equal(t, f.lookup("n004", key("o", "content", "1")).Origin, v1)
	})
}

// Guards against an endpoint that started again with another version before its entry was read.
func TestLateEntryMakesLatestOriginsAmbiguous(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		early, late, elsewhere := key("o", "early", "1"), key("o", "late", "1"), key("o", "elsewhere", "1")
		f.keepers["n000"].Begin(early, v1, "e", time.Minute)
		time.Sleep(staleEntryWindow)
		f.keepers["n000"].Begin(late, v1, "e", time.Minute)
		f.keepers["n000"].Begin(elsewhere, v1, "f", time.Minute)
		f.mu.Lock()
		f.changes["n000"] = []domain.EndpointID{"e"}
		f.mu.Unlock()
		time.Sleep(tickInterval + 2*time.Millisecond)
		for _, n := range f.names() {
			assert.Equal(t, f.lookup(n, early).State, Known)
			assert.Equal(t, f.lookup(n, late).State, Ambiguous)
			assert.Equal(t, f.lookup(n, elsewhere).State, Known)
		}
		assert.Assert(t, f.keepers["n000"].Doubtful(late) && !f.keepers["n000"].Doubtful(early))
	})
}

func TestUnknownVersionIsNotRecorded(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		f.keepers["n000"].Begin(key("o", "content", "1"), Origin{Service: "s"}, "e", time.Minute)
		assert.Equal(t, f.keepers["n000"].Len(), 0)
		assert.Equal(t, f.bytes, 0)
	})
}

func TestRecordsExpire(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		for i := range 100 {
			f.keepers["n000"].Begin(key("o", fmt.Sprint("c", i), "1"), v1, "e", 5*time.Second)
		}
		f.keepers["n000"].Begin(key("o", "long", "1"), v1, "e", time.Hour)
		time.Sleep(7 * time.Second)
		for _, n := range f.names() {
			assert.Assert(t, f.keepers[n].Len() <= 1, n)
		}
		assert.Equal(t, f.lookup("n006", key("o", "long", "1")).State, Known)
		time.Sleep(MaxRetention)
		k := f.keepers["n000"]
		assert.Equal(t, k.Len(), 0)
		assert.Equal(t, len(k.table.streams)+len(k.table.byOrganisation)+len(k.table.expiring), 0)
	})
}

func TestOrganisationsRecordsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, 1)
		k := f.keepers["n000"]
		for i := range maxRecords {
			k.Begin(key("flood", "content", fmt.Sprint(i)), v1, "e", time.Minute)
		}
		assert.Equal(t, k.Len(), int(maxOrganisationFraction*maxRecords))
		k.Begin(key("o", "content", "1"), v1, "e", time.Minute)
		assert.Equal(t, f.lookup("n000", key("o", "content", "1")).State, Known)
		long := key("o", "content", strings.Repeat("x", 1<<20))
		k.Begin(long, v1, "e", time.Minute)
		assert.Equal(t, f.lookup("n000", long).State, Known)
	})
}

func TestMalformedMessagesAreDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2, 1)
		k := f.keepers["n000"]
		good := key("o", "content", "1").bytes()
		for _, m := range []message{
			{Kind: kindRecords, Records: []reportedRecord{{Key: good[1:], Origin: v1, LeftMillis: 1000}}},
			{Kind: kindRecords, Records: []reportedRecord{{Key: good, Origin: v1, LeftMillis: -1}}},
			{Kind: kindRecords, Records: []reportedRecord{{Key: good, Origin: v1, LeftMillis: MaxRetention.Milliseconds() + 1}}},
			{Kind: kindRecords, Records: []reportedRecord{{Key: good, Origin: Origin{Service: strings.Repeat("s", maxNameBytes+1), Version: "v"}, LeftMillis: 1}}},
			{Kind: kindQuery, Query: 1, Key: good[3:]},
		} {
			k.Receive(m.encode(), "n001")
		}
		k.Receive([]byte{0x83, 1}, "n001")
		assert.Equal(t, k.Len(), 0)
		assert.Equal(t, k.malformed.Get(), uint64(6))
		k.Receive((&message{Kind: kindReply, Query: 99, Known: []Origin{v1}}).encode(), "n001") // no such query
	})
}

func TestChosenNodesAreInDifferentDataCentres(t *testing.T) {
	f := newPlacement(members(30, 4))
	counts := make(map[domain.NodeID]int)
	for i := range 3000 {
		k := key("o", fmt.Sprint("c", i), "1").Stream
		centres := make(map[domain.DataCentre]bool)
		for _, m := range f.pick(k, "", replicaCount) {
			centres[m.DataCentre] = true
			counts[m.Node]++
		}
		assert.Equal(t, len(centres), replicaCount)
		all := f.pick(k, "", queryCount)
		assert.DeepEqual(t, f.pick(k, "", replicaCount), all[:replicaCount])
		assert.Assert(t, !slices.ContainsFunc(f.pick(k, "n003", replicaCount), func(m domain.Member) bool { return m.Node == "n003" }))
	}
	for _, n := range counts {
		assert.Assert(t, n > 200 && n < 420, "%v", counts)
	}
}

// earlierReport is the beginning of the report of the mesh, as earlier programs decode each datagram.
type earlierReport struct {
	From string `cbor:"1,keyasint"`
}

// Guards against messages that earlier programs take for reports: nodes are replaced one by one.
func TestEarlierProgramsDropMessages(t *testing.T) {
	var r earlierReport
	data := (&message{Kind: kindRecords, Records: []reportedRecord{{Key: key("o", "content", "1").bytes(), Origin: v1, LeftMillis: 15000}}}).encode()
	assert.Assert(t, cbor.Unmarshal(data, &r) != nil)
	t.Logf("a report of one record has %d bytes", len(data))
}

func members(n, dataCentres int) []domain.Member {
	var list []domain.Member
	for i := range n {
		list = append(list, domain.Member{Node: domain.NodeID(fmt.Sprintf("n%03d", i)), DataCentre: domain.DataCentre(fmt.Sprint(i % dataCentres))})
	}
	return list
}

func BenchmarkChosen(b *testing.B) {
	for _, n := range []int{7, 30, 300, 1000} {
		b.Run(fmt.Sprint("nodes=", n), func(b *testing.B) {
			f, k := newPlacement(members(n, 21)), key("o", "content", "1").Stream
			b.ReportAllocs()
			for b.Loop() {
				f.pick(k, "n001", replicaCount)
			}
		})
	}
}

func BenchmarkBegin(b *testing.B) {
	k := New(Config{
		Self: "n001", Members: func() []domain.Member { return members(7, 4) }, Send: func(string, []byte) error { return nil },
		Clock: boottime.Now, Log: zerolog.Nop(), Metrics: metrics.NewSet(),
	})
	keys := make([]Key, maxRecords)
	for i := range keys {
		keys[i] = NewKey(domain.OrganisationID(fmt.Sprint(i%8)), uint64(i), "1")
	}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	n := 0
	for b.Loop() {
		if n < len(keys) {
			k.Begin(keys[n], v1, "e", 15*time.Second)
		}
		n++
		if n == len(keys) {
			break
		}
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(k.Len()), "B/record")
}

// Guards against records that are reported while requests change them.
func TestConcurrentUse(t *testing.T) {
	changed := make(chan domain.EndpointID, 1000)
	k := New(Config{
		Self: "n001", Members: func() []domain.Member { return members(7, 4) }, AllHeard: func() bool { return true },
		Send: func(string, []byte) error { return nil }, Clock: boottime.Now, Log: zerolog.Nop(), Metrics: metrics.NewSet(),
		VersionChanges: func() []domain.EndpointID {
			select {
			case id := <-changed:
				return []domain.EndpointID{id}
			default:
				return nil
			}
		},
	})
	var running sync.WaitGroup
	for range 4 {
		running.Go(func() {
			for i := range 200 {
				one := key("o", "content", fmt.Sprint(i%20))
				k.Begin(one, v1, "e", time.Minute+time.Duration(i)*time.Second)
				k.Receive((&message{Kind: kindRecords, Records: []reportedRecord{{Key: one.bytes(), Origin: v2, LeftMillis: 1000 * int64(i)}}}).encode(), "n002")
				changed <- "e"
				k.applyVersionChanges()
				k.HandOver()
				_ = k.Doubtful(one)
			}
		})
	}
	running.Wait()
	assert.Equal(t, k.Len(), 20)
}
