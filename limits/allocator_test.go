package limits

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"hawthornrill.example/hawthornrill/domain"
)

var startTime = time.Unix(1000, 0)

func testParams(inFlight, tokens, nodes int) allocationParams {
	return allocationParams{
		limit: inFlight, pool: inFlight, tokensPerMinute: tokens, nodes: nodes, expiry: 36 * time.Second,
		ended: func(domain.NodeID, domain.Incarnation) bool { return false },
	}
}

func member(i int) domain.Member {
	return domain.Member{Node: domain.NodeID(fmt.Sprint(i)), Incarnation: 1, DataCentre: "palermo"}
}

func TestTargetShare(t *testing.T) {
	for name, tt := range map[string]struct {
		limit  int
		all    totals
		wanted int
		phase  float64
		want   int
	}{
		"no demand":                                   {100, totals{nodes: 3, wanted: 30}, 0, 0, 0},
		"surplus for growth":                          {100, totals{nodes: 3, wanted: 30}, 10, 0, 16},
		"little surplus for growth":                   {36, totals{nodes: 3, wanted: 30}, 10, 0, 12},
		"proportional to demand":                      {100, totals{nodes: 3, wanted: 300}, 150, 0, 50},
		"at least one":                                {100, totals{nodes: 3, wanted: 3000}, 1, 0.99, 1},
		"fewer than nodes, phase below the remainder": {5, totals{nodes: 7, wanted: 70}, 10, 0.5, 1},
		"fewer than nodes, phase above the remainder": {5, totals{nodes: 7, wanted: 70}, 10, 0.9, 0},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, targetShare(tt.limit, tt.all, tt.wanted, tt.phase), tt.want)
		})
	}
	selected := 0
	for rotation := range uint64(700) {
		if rotationPhase("o", "n", rotation) < 5.0/7 {
			selected++
		}
	}
	assert.Assert(t, selected > 480 && selected < 520, "%d of 700 rotations", selected)
}

func TestAllocatorSharesAndExpiry(t *testing.T) {
	alloc := newAllocator("o")
	params := testParams(10, 0, 3)
	request := func(node int, sequence uint64, d demand) allocation {
		d.Sequence = sequence
		return alloc.allocate(startTime, member(node), d, params)
	}
	assert.Equal(t, request(1, 1, demand{Wanted: 99}).Share, 10)
	assert.Equal(t, request(2, 1, demand{Wanted: 99}).Share, 0, "the whole limit is committed")
	assert.Equal(t, request(1, 2, demand{Share: 10, InFlight: 8, Wanted: 99}).Share, 5)
	assert.Equal(t, request(2, 2, demand{Wanted: 99}).Share, 0, "the reply may have been lost")
	assert.Equal(t, request(1, 3, demand{Share: 5, InFlight: 7, Wanted: 99}).Share, 5)
	assert.Equal(t, request(2, 3, demand{Wanted: 99}).Share, 3, "seven are still in flight")
	assert.Equal(t, request(1, 3, demand{Wanted: 99}).Ignored, true, "a stale report is ignored")
	t1 := startTime.Add(params.expiry)
	assert.Equal(t, alloc.allocate(t1, member(2), demand{Sequence: 4, Wanted: 99}, params).Share, 10, "a node without reports expires")
	params.ended = func(node domain.NodeID, _ domain.Incarnation) bool { return node == "2" }
	assert.Equal(t, alloc.allocate(t1.Add(expiryInterval), member(3), demand{Sequence: 1, Wanted: 4}, params).Share, 7, "a node whose incarnation has ended expires")
	params = testParams(10, 0, 3)
	params.settling = true
	alloc = newAllocator("o")
	assert.Equal(t, request(1, 1, demand{Wanted: 99}).Share, 4, "an equal part while settling")
	assert.Equal(t, request(2, 1, demand{Share: 6, InFlight: 6, Wanted: 99}).Share, 6, "a held share is kept while settling")
	assert.Equal(t, request(3, 1, demand{Wanted: 99}).Share, 0)
}

func TestAllocatorTokens(t *testing.T) {
	alloc := newAllocator("o")
	params := testParams(0, 600, 3)
	sequence := uint64(0)
	request := func(at time.Duration, node int, d demand) allocation {
		sequence++
		d.Sequence = sequence
		return alloc.allocate(startTime.Add(at), member(node), d, params)
	}
	assert.Equal(t, request(0, 1, demand{Tokens: 500}).Tokens, 500)
	assert.Equal(t, request(0, 2, demand{Tokens: 500}).Tokens, 50, "half of the level, as another node wants as many")
	assert.Equal(t, request(time.Second, 3, demand{AdvanceTokens: 90}).Tokens, 0)
	a := request(3*time.Second, 1, demand{Tokens: 500})
	assert.Equal(t, a.Tokens, 0, "tokens used in advance are charged first")
	assert.Equal(t, a.Wait, time.Second)
	assert.Equal(t, request(4*time.Second, 1, demand{ReturnedTokens: 1000}).Tokens, 0)
	assert.Equal(t, request(4*time.Second, 3, demand{Tokens: 700}).Tokens, 350, "at most one minute's limit, proportional to demand")
	params.tokensPerMinute = 60
	assert.Equal(t, request(4*time.Second, 2, demand{}).Tokens, 0)
	assert.Equal(t, alloc.bucket.level, 60.0, "a lower limit applies at once")
	params.settling = true
	alloc = newAllocator("o")
	request(0, 1, demand{RecentTokens: 45})
	assert.Equal(t, request(0, 2, demand{RecentTokens: 5, Tokens: 60}).Tokens, 10, "a new owner charges recently used tokens")
}

// The shares and the requests in flight of all nodes must stay within the limit when
// reports and replies are lost at random and requests start and end within the
// shares.
func TestSharesNeverExceedTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 40).Draw(t, "limit")
		nodes := rapid.IntRange(1, 9).Draw(t, "nodes")
		alloc := newAllocator("o")
		shares, inFlight := make([]int, nodes), make([]int, nodes)
		sequences := make([]uint64, nodes)
		for step := range rapid.IntRange(1, 200).Draw(t, "steps") {
			i := rapid.IntRange(0, nodes-1).Draw(t, "node")
			if rapid.Bool().Draw(t, "use") {
				inFlight[i] = rapid.IntRange(0, max(shares[i], inFlight[i])).Draw(t, "in flight")
				continue
			}
			sequences[i]++
			d := demand{Sequence: sequences[i], Share: shares[i], InFlight: inFlight[i], Wanted: rapid.IntRange(0, 60).Draw(t, "wanted")}
			lost := rapid.SampledFrom([]string{"", "", "", "report", "reply"}).Draw(t, "lost")
			if lost == "report" {
				continue
			}
			params := testParams(limit, 0, nodes)
			params.rotation = uint64(step / 10)
			a := alloc.allocate(startTime, member(i), d, params)
			if lost == "" {
				shares[i] = a.Share
			}
			sum, running := 0, 0
			for i := range shares {
				sum += shares[i]
				running += inFlight[i]
			}
			if sum > limit || running > limit {
				t.Fatalf("shares %v and requests %v exceed %d", shares, inFlight, limit)
			}
		}
	})
}

// Tokens allocated to nodes that request as many as possible must stay within the
// limit plus one minute's burst.
func TestTokensNeverExceedTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(60, 100000).Draw(t, "limit")
		alloc := newAllocator("o")
		now, allocated := startTime, 0
		for step := range rapid.IntRange(1, 100).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms")) * time.Millisecond)
			node := rapid.IntRange(0, 5).Draw(t, "node")
			d := demand{Sequence: uint64(step + 1), Tokens: rapid.IntRange(0, 2*limit).Draw(t, "tokens")}
			allocated += alloc.allocate(now, member(node), d, testParams(0, limit, 6)).Tokens
			most := float64(limit) * (1 + now.Sub(startTime).Minutes())
			if float64(allocated) > most+1 {
				t.Fatalf("%d tokens in %v under a limit of %d per minute", allocated, now.Sub(startTime), limit)
			}
		}
	})
}
