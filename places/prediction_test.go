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

// streamRequest is for an answer long enough that the gaps between its events matter.
func streamRequest() *Request {
	request := testRequest()
	request.PromptTokens, request.AnswerTokens = 500, 2*longAnswerTokens
	request.EventGap, request.EventTokens = 300*time.Millisecond, 8
	return request
}

// trainTokenTime has the endpoint produce an answer with the given time between tokens; the others are excluded
// meanwhile.
func (f *fixture) trainTokenTime(id domain.EndpointID, others []domain.EndpointID, interval time.Duration) {
	request := streamRequest()
	request.Excluded = others
	place := f.take(request)
	assert.Equal(f.t, place.Endpoint.ID, id)
	time.Sleep(50 * time.Millisecond)
	place.RecordFirstEvent()
	for range 4 {
		time.Sleep(10 * interval)
		place.RecordTokens(10)
	}
	place.Release(served(50 * time.Millisecond))
}

// newTrainedFixture returns three endpoints. e0 takes 120 ms per event on average, so that the longest gap of an answer
// is often above 300 ms.
func newTrainedFixture(t *testing.T) *fixture {
	f := newFixture(t, 3)
	f.trainTokenTime("e0", []domain.EndpointID{"e1", "e2"}, 15*time.Millisecond)
	f.trainTokenTime("e1", []domain.EndpointID{"e0", "e2"}, 3*time.Millisecond)
	f.trainTokenTime("e2", []domain.EndpointID{"e0", "e1"}, 4*time.Millisecond)
	return f
}

func TestStreamsPreferShortEventGaps(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTrainedFixture(t)
		for range 2 * testSlots {
			assert.Assert(t, f.take(streamRequest()).Endpoint.ID != "e0")
		}
		assert.Equal(t, f.take(streamRequest()).Endpoint.ID, domain.EndpointID("e0"), "a slow endpoint is used rather than refusing the request")
	})
}

func TestTokenTimeIsReportedToPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, other := newTrainedFixture(t), newFixture(t, 3)
		for _, id := range []domain.EndpointID{"e0", "e1", "e2"} {
			request := streamRequest()
			request.Excluded = slices.DeleteFunc([]domain.EndpointID{"e0", "e1", "e2"}, func(e domain.EndpointID) bool {
				return e == id
			})
			f.take(request)
		}
		report := gossip.Report{From: "m"}
		f.FillReport(&report)
		other.ApplyReport(&report)
		for range 2 * (testSlots - 1) {
			assert.Assert(t, other.take(streamRequest()).Endpoint.ID != "e0")
		}
	})
}

func TestTokenTimeExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTrainedFixture(t)
		a := f.pools["s"].endpoints["e0"]
		assert.Assert(t, a.meanEventGap(time.Now(), 8) > 100*time.Millisecond)
		request := streamRequest()
		request.Excluded = []domain.EndpointID{"e1", "e2"}
		assert.Equal(t, f.take(request).TokenTime, a.tokenTime.estimate(time.Now()), "the place carries the estimate")
		time.Sleep(tokenTimeFreshFor + time.Second)
		assert.Equal(t, a.meanEventGap(time.Now(), 8), time.Duration(0))
	})
}

func TestSteadyRemoteEndpointPreferredOverSlowLocal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTrainedFixture(t)
		for _, p := range f.pools {
			for _, a := range p.endpointList {
				if a.id() != "e0" {
					remote := *a.endpoint
					remote.DataCentre = "far"
					a.update(&remote)
				}
			}
		}
		assert.Assert(t, f.take(streamRequest()).Endpoint.ID != "e0")
		short := streamRequest()
		short.AnswerTokens = short.EventTokens
		assert.Equal(t, f.take(short).Endpoint.ID, domain.EndpointID("e0"), "a short answer stays local")
	})
}

// trainPrefillTime has each endpoint prefill prompts of several lengths, at 40 ms per 1000 tokens.
func (f *fixture) trainPrefillTime(endpoints int) {
	for range 12 {
		for _, tokens := range []int{500, 2000, 5000} {
			var places []*Place
			for range endpoints {
				request := streamRequest()
				request.PromptTokens = tokens
				places = append(places, f.take(request))
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

// While an engine prefills a long prompt it produces almost no tokens of the answers in progress. Another long prompt
// must therefore go to another endpoint, even if that has more requests.
func TestLongPrefillAvoidsEndpointsWithStreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 2)
		f.trainPrefillTime(2)
		long := streamRequest()
		long.PromptTokens = 4500
		reading := f.take(long).Endpoint.ID
		for range 2 {
			request := streamRequest()
			request.PromptTokens, request.Excluded = 100, []domain.EndpointID{reading}
			f.take(request).RecordFirstEvent()
		}
		another := *long
		assert.Assert(t, f.take(&another).Endpoint.ID != reading, "prefill of 9,000 tokens would take 360 ms")
		short := streamRequest()
		short.PromptTokens, short.Excluded = 100, nil
		assert.Equal(t, f.take(short).Endpoint.ID, reading, "a short prompt may go there")
	})
}
