package places

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/gossip"
)

// streamAsk asks for an answer long enough that the pauses between its events matter.
func streamAsk() *Request {
	ask := testAsk()
	ask.PromptTokens, ask.AnswerTokens = 500, 2*longAnswer
	ask.EventGap, ask.EventTokens = 300*time.Millisecond, 8
	return ask
}

// teach has the endpoint give an answer with so much time between tokens; the others are excluded meanwhile.
func (b *bench) teach(id domain.EndpointID, others []domain.EndpointID, interval time.Duration) {
	ask := streamAsk()
	ask.Excluded = others
	place := b.take(ask)
	assert.Equal(b.t, place.Endpoint.ID, id)
	time.Sleep(50 * time.Millisecond)
	place.RecordFirstEvent()
	for range 4 {
		time.Sleep(10 * interval)
		place.RecordTokens(10)
	}
	place.Release(served(50 * time.Millisecond))
}

// e0 takes 120 ms an event on average, so that the longest pause of an answer is often above 300 ms.
func taughtBench(t *testing.T) *bench {
	b := newBench(t, 3)
	b.teach("e0", []domain.EndpointID{"e1", "e2"}, 15*time.Millisecond)
	b.teach("e1", []domain.EndpointID{"e0", "e2"}, 3*time.Millisecond)
	b.teach("e2", []domain.EndpointID{"e0", "e1"}, 4*time.Millisecond)
	return b
}

func TestStreamsGoWherePausesAreShort(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := taughtBench(t)
		for range 2 * testSlots {
			assert.Assert(t, b.take(streamAsk()).Endpoint.ID != "e0")
		}
		assert.Equal(t, b.take(streamAsk()).Endpoint.ID, domain.EndpointID("e0"), "better late than refused")
	})
}

func TestPaceIsToldToTheOtherNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, other := taughtBench(t), newBench(t, 3)
		for _, id := range []domain.EndpointID{"e0", "e1", "e2"} {
			ask := streamAsk()
			ask.Excluded = slices.DeleteFunc([]domain.EndpointID{"e0", "e1", "e2"}, func(e domain.EndpointID) bool { return e == id })
			b.take(ask)
		}
		report := gossip.Report{From: "m"}
		b.FillReport(&report)
		other.ApplyReport(&report)
		for range 2 * (testSlots - 1) {
			assert.Assert(t, other.take(streamAsk()).Endpoint.ID != "e0")
		}
	})
}

func TestSlowEndpointIsTriedAgainAfterAWhile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := taughtBench(t)
		a := b.pools["s"].accounts["e0"]
		assert.Assert(t, a.pause(time.Now(), 8) > 100*time.Millisecond)
		ask := streamAsk()
		ask.Excluded = []domain.EndpointID{"e1", "e2"}
		assert.Equal(t, b.take(ask).TokenTime, a.pace.token(time.Now()), "what was thought of it goes with the place")
		time.Sleep(paceFresh + time.Second)
		assert.Equal(t, a.pause(time.Now(), 8), time.Duration(0))
	})
}

func TestEvenEndpointsOfOtherDataCentresGoFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := taughtBench(t)
		for _, p := range b.pools {
			for _, a := range p.list {
				if a.id() != "e0" {
					away := *a.endpoint
					away.DataCentre = "far"
					a.describe(&away)
				}
			}
		}
		assert.Assert(t, b.take(streamAsk()).Endpoint.ID != "e0")
		short := streamAsk()
		short.AnswerTokens = short.EventTokens
		assert.Equal(t, b.take(short).Endpoint.ID, domain.EndpointID("e0"), "a short answer stays near")
	})
}

// learnReading has each endpoint read prompts of several lengths, a thousand tokens in 40 ms.
func (b *bench) learnReading(endpoints int) {
	for range 12 {
		for _, tokens := range []int{500, 2000, 5000} {
			var places []*Place
			for range endpoints {
				ask := streamAsk()
				ask.PromptTokens = tokens
				places = append(places, b.take(ask))
			}
			first := time.Duration(tokens) * 40 * time.Microsecond
			time.Sleep(first)
			for _, place := range places {
				place.RecordFirstEvent()
				place.Release(served(first))
			}
		}
	}
}

// Pattern: long prompts beside streams. While an engine reads a long prompt it produces next to nothing of the answers in
// progress, so that another long one goes elsewhere, though more requests are there.
func TestPromptsAreNotReadForLongBesideAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 2)
		b.learnReading(2)
		long := streamAsk()
		long.PromptTokens = 4500
		reading := b.take(long).Endpoint.ID
		for range 2 {
			ask := streamAsk()
			ask.PromptTokens, ask.Excluded = 100, []domain.EndpointID{reading}
			b.take(ask).RecordFirstEvent()
		}
		another := *long
		assert.Assert(t, b.take(&another).Endpoint.ID != reading, "9,000 tokens would be read in 360 ms")
		short := streamAsk()
		short.PromptTokens, short.Excluded = 100, nil
		assert.Equal(t, b.take(short).Endpoint.ID, reading, "a short one may go there")
	})
}
