package poison

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/gossip"
)

// Guards against an organisation filling what the nodes remember, of its own or another's requests.
func TestMemoryAndReportsAreBounded(t *testing.T) {
	withTracker(t, ErrEnded, func(tracker *Tracker) {
		victim := Scope{Organisation: "victim", Service: "s"}
		breakOff(tracker, victim, 3, cause, 5)
		long := make([]uint64, 2000)
		for i := range 2 * maxRecordsPerScope {
			for j := range long {
				long[j] = uint64(i*len(long) + j)
			}
			tracker.Broke(Break{Request: Request{Scope: testScope, Prompt: long}, ID: fmt.Sprint(i), Endpoint: domain.EndpointID(fmt.Sprint(i)), StartedAt: time.Now()})
		}
		for i := range uint64(40) {
			breakOff(tracker, testScope, 3, 1_000_000+i, 5)
		}
		assert.Assert(t, tracker.tracked.Load() <= maxRecords)
		assert.Assert(t, tracker.Refuses(Request{Scope: victim, Prompt: []uint64{cause, 6}}))
		assert.Assert(t, len(*tracker.verdicts.Load()) <= 1+maxVerdictsPerScope, "%d", len(*tracker.verdicts.Load()))
		var report gossip.Report
		tracker.FillReport(&report)
		assert.Assert(t, len(report.EndedAnswers) <= maxReported && len(report.SoundParts) <= maxReported)
		for _, a := range report.EndedAnswers {
			assert.Assert(t, len(a.Parts) <= maxParts)
		}
	})
}

// Guards against reports that grow with the evidence, and against evidence that is reported for ever.
func TestReportedEvidenceIsBoundedAndEnds(t *testing.T) {
	withTracker(t, ErrEnded, func(tracker *Tracker) {
		for i := range uint64(200) {
			tracker.Broke(Break{
				Request: Request{Scope: testScope, Prompt: []uint64{i, i + 1000}}, ID: fmt.Sprint(i), Endpoint: domain.EndpointID(fmt.Sprint(i)),
				StartedAt: time.Now(),
			})
		}
		time.Sleep(time.Millisecond) // the probes end
		var report gossip.Report
		tracker.FillReport(&report)
		assert.Equal(t, len(report.EndedAnswers), maxReported)
		for i := range uint64(200) {
			tracker.Sound(Request{Scope: testScope, Prompt: []uint64{i, i + 1000}})
		}
		report = gossip.Report{}
		tracker.FillReport(&report)
		assert.Equal(t, len(report.SoundParts), maxReported)
		time.Sleep(2 * reportPeriod)
		report = gossip.Report{}
		tracker.FillReport(&report)
		assert.Equal(t, len(report.EndedAnswers)+len(report.SoundParts), 0)
	})
}

func TestMalformedReportsAreDropped(t *testing.T) {
	withTracker(t, ErrEnded, func(tracker *Tracker) {
		tracker.ApplyReport(&gossip.Report{
			CrashParts: []gossip.CrashParts{{Scope: 1}, {Scope: 1, Parts: []uint64{2, 1}}, {Scope: 1, Parts: []uint64{1}, AgeMillis: -1},
				{Scope: 1, Parts: make([]uint64, maxVerdictParts+1)}},
			EndedAnswers: []gossip.EndedAnswer{{AgeMillis: -1}, {TookMillis: -1}, {Parts: make([]uint64, maxParts+1)}, {AgeMillis: 1 << 40}},
		})
		assert.Equal(t, len(*tracker.verdicts.Load()), 0)
		assert.Equal(t, tracker.tracked.Load(), int64(0))
	})
}
