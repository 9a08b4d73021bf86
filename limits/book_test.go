package limits

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"hawthornrill.example/hawthornrill/domain"
)

var t0 = time.Unix(1000, 0)

func testTerms(inFlight, tokens, nodes int) terms {
	return terms{
		limit: inFlight, pool: inFlight, tokensPerMinute: tokens, nodes: nodes, expiry: 36 * time.Second,
		gone: func(domain.NodeID, domain.Incarnation) bool { return false },
	}
}

func member(i int) domain.Member {
	return domain.Member{Node: domain.NodeID(fmt.Sprint(i)), Incarnation: 1, DataCentre: "palermo"}
}

func TestTarget(t *testing.T) {
	for name, tt := range map[string]struct {
		limit  int
		all    sums
		wanted int
		turn   float64
		want   int
	}{
		"nothing wanted":       {100, sums{nodes: 3, wanted: 30}, 0, 0, 0},
		"room to grow":         {100, sums{nodes: 3, wanted: 30}, 10, 0, 16},
		"little room to grow":  {36, sums{nodes: 3, wanted: 30}, 10, 0, 12},
		"by demand":            {100, sums{nodes: 3, wanted: 300}, 150, 0, 50},
		"at least one":         {100, sums{nodes: 3, wanted: 3000}, 1, 0.99, 1},
		"too few, in turn":     {5, sums{nodes: 7, wanted: 70}, 10, 0.5, 1},
		"too few, not in turn": {5, sums{nodes: 7, wanted: 70}, 10, 0.9, 0},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, target(tt.limit, tt.all, tt.wanted, tt.turn), tt.want)
		})
	}
	taken := 0
	for round := range uint64(700) {
		if turn("o", "n", round) < 5.0/7 {
			taken++
		}
	}
	assert.Assert(t, taken > 480 && taken < 520, "%d of 700 turns", taken)
}

func TestBookSharesAndForgets(t *testing.T) {
	b := newBook("o")
	terms := testTerms(10, 0, 3)
	ask := func(node int, sequence uint64, d demand) allotment {
		d.Sequence = sequence
		return b.answer(t0, member(node), d, terms)
	}
	assert.Equal(t, ask(1, 1, demand{Wanted: 99}).Share, 10)
	assert.Equal(t, ask(2, 1, demand{Wanted: 99}).Share, 0, "all is committed")
	assert.Equal(t, ask(1, 2, demand{Share: 10, InFlight: 8, Wanted: 99}).Share, 5)
	assert.Equal(t, ask(2, 2, demand{Wanted: 99}).Share, 0, "the reply may have been lost")
	assert.Equal(t, ask(1, 3, demand{Share: 5, InFlight: 7, Wanted: 99}).Share, 5)
	assert.Equal(t, ask(2, 3, demand{Wanted: 99}).Share, 3, "seven still run")
	assert.Equal(t, ask(1, 3, demand{Wanted: 99}).Ignored, true, "a late report")
	t1 := t0.Add(terms.expiry)
	assert.Equal(t, b.answer(t1, member(2), demand{Sequence: 4, Wanted: 99}, terms).Share, 10, "a silent node no longer counts")
	terms.gone = func(node domain.NodeID, _ domain.Incarnation) bool { return node == "2" }
	assert.Equal(t, b.answer(t1.Add(expireEvery), member(3), demand{Sequence: 1, Wanted: 4}, terms).Share, 7, "nor does a dead one")
	terms = testTerms(10, 0, 3)
	terms.settling = true
	b = newBook("o")
	assert.Equal(t, ask(1, 1, demand{Wanted: 99}).Share, 4, "an equal part while settling")
	assert.Equal(t, ask(2, 1, demand{Share: 6, InFlight: 6, Wanted: 99}).Share, 6, "what is held is kept")
	assert.Equal(t, ask(3, 1, demand{Wanted: 99}).Share, 0)
}

func TestBookTokens(t *testing.T) {
	b := newBook("o")
	terms := testTerms(0, 600, 3)
	sequence := uint64(0)
	ask := func(at time.Duration, node int, d demand) allotment {
		sequence++
		d.Sequence = sequence
		return b.answer(t0.Add(at), member(node), d, terms)
	}
	assert.Equal(t, ask(0, 1, demand{Tokens: 500}).Tokens, 500)
	assert.Equal(t, ask(0, 2, demand{Tokens: 500}).Tokens, 50, "half of what is left, as another wants as much")
	assert.Equal(t, ask(time.Second, 3, demand{Advance: 90}).Tokens, 0)
	a := ask(3*time.Second, 1, demand{Tokens: 500})
	assert.Equal(t, a.Tokens, 0, "used in advance, paid back first")
	assert.Equal(t, a.Wait, time.Second)
	assert.Equal(t, ask(4*time.Second, 1, demand{Returned: 1000}).Tokens, 0)
	assert.Equal(t, ask(4*time.Second, 3, demand{Tokens: 700}).Tokens, 350, "no more than a minute's, by demand")
	terms.tokensPerMinute = 60
	assert.Equal(t, ask(4*time.Second, 2, demand{}).Tokens, 0)
	assert.Equal(t, b.bucket.level, 60.0, "a lower limit at once")
	terms.settling = true
	b = newBook("o")
	ask(0, 1, demand{Recent: 45})
	assert.Equal(t, ask(0, 2, demand{Recent: 5, Tokens: 60}).Tokens, 10, "a new owner counts what was used lately")
}

// TestSharesNeverExceedTheLimit plays nodes whose reports and replies get lost, and
// whose requests come and go within their shares.
func TestSharesNeverExceedTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 40).Draw(t, "limit")
		nodes := rapid.IntRange(1, 9).Draw(t, "nodes")
		b := newBook("o")
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
			terms := testTerms(limit, 0, nodes)
			terms.round = uint64(step / 10)
			a := b.answer(t0, member(i), d, terms)
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

// TestTokensNeverExceedTheLimit takes as much as can be had, from many nodes.
func TestTokensNeverExceedTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(60, 100000).Draw(t, "limit")
		b := newBook("o")
		now, given := t0, 0
		for step := range rapid.IntRange(1, 100).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms")) * time.Millisecond)
			node := rapid.IntRange(0, 5).Draw(t, "node")
			d := demand{Sequence: uint64(step + 1), Tokens: rapid.IntRange(0, 2*limit).Draw(t, "tokens")}
			given += b.answer(now, member(node), d, testTerms(0, limit, 6)).Tokens
			most := float64(limit) * (1 + now.Sub(t0).Minutes())
			if float64(given) > most+1 {
				t.Fatalf("%d tokens in %v under %d a minute", given, now.Sub(t0), limit)
			}
		}
	})
}
