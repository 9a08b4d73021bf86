package poison

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var judgedAt = time.Unix(1000, 0)

// ended is a record of a request with the parts whose endpoint ended so many milliseconds before judgedAt, 100 ms after it was sent.
func ended(millisAgo int, endpoint, request uint64, parts ...uint64) record {
	at := judgedAt.Add(-time.Duration(millisAgo) * time.Millisecond)
	return record{service: "s", parts: parts, request: request, endpoint: endpoint, startedAt: at.Add(-100 * time.Millisecond), endedAt: at, confirmed: true, early: true}
}

func TestJudge(t *testing.T) {
	const cause, first, other, third, proven, common = 1, 2, 3, 4, 5, 6
	with := func(list []record, more ...record) []record { return append(append([]record(nil), list...), more...) }
	// Three ends by two requests with the cause, whose other parts differ.
	enough := []record{ended(3000, 1, 1, cause, first), ended(2500, 2, 1, cause, first), ended(2000, 3, 2, cause, other)}
	alike := []record{ended(3000, 1, 1, cause, other), ended(2500, 2, 1, cause, other), ended(2000, 3, 2, cause, other)}
	// Ten ends that the cause has no part in.
	var otherEnds []record
	for i := range uint64(10) {
		otherEnds = append(otherEnds, ended(3000-100*int(i), 100+i, 100+i))
	}
	unconfirmed := with(enough)
	unconfirmed[1].confirmed = false
	sameTime := []record{ended(2050, 1, 1, cause), ended(2020, 2, 2, cause), ended(2000, 3, 3, cause), ended(1990, 4, 4, cause)}
	frequent := with([]record{ended(3000, 1, 1, common), ended(2500, 2, 2, common), ended(2000, 3, 3, common), ended(1500, 4, 4, common)},
		ended(3000, 1, 11, other), ended(2500, 2, 12, other), ended(2000, 3, 13, other), ended(1500, 4, 14))
	tests := []struct {
		name    string
		records []record
		known   [][]uint64
		want    [][]uint64
	}{
		{"nothing", nil, nil, nil},
		{"two ends", enough[1:], nil, nil},
		{"three ends of two requests", enough, nil, [][]uint64{{cause}}},
		{"three ends of one request", []record{ended(3000, 1, 1, cause), ended(2500, 2, 1, cause), ended(2000, 3, 1, cause)}, nil, nil},
		{"three breaks at one endpoint", []record{ended(3000, 1, 1, cause), ended(2500, 1, 2, cause), ended(2000, 1, 3, cause)}, nil, nil},
		{"an end that is not confirmed", unconfirmed, nil, nil},
		{"an end that has not settled", []record{enough[0], enough[1], ended(100, 3, 2, cause)}, nil, nil},
		{"requests that ran at the same time as several endpoints ended", sameTime, nil, nil},
		{"three ends beside ten others", with(otherEnds, enough...), nil, nil},
		{"eight ends beside ten others", with(otherEnds, with(enough, ended(1900, 4, 3, cause), ended(1700, 5, 4, cause), ended(1500, 6, 5, cause),
			ended(1300, 7, 6, cause), ended(1100, 8, 7, cause))...), nil, [][]uint64{{cause}}},
		{"parts that are always together", alike, nil, [][]uint64{{cause, other}}},
		{"one of them at a further end", with(alike, ended(1000, 4, 3, cause, third)), nil, [][]uint64{{cause}}},
		{"one of them at a further end after both were identified", with(alike, ended(1000, 4, 3, cause, third)), [][]uint64{{cause, other}}, [][]uint64{{cause}}},
		{"a bystander of all ends of the cause", with(enough, ended(3000, 1, 11, third), ended(2500, 2, 12, third), ended(2000, 3, 13, third)), nil, nil},
		{"a bystander of all but the last end", with(enough, ended(3000, 1, 11, third), ended(2500, 2, 12, third), ended(2000, 3, 13, third),
			ended(1500, 4, 3, cause)), nil, [][]uint64{{cause}}},
		{"a part that is proven sound and at more ends than the cause", with(enough, ended(1600, 6, 4, cause), ended(3000, 1, 1, proven), ended(2500, 2, 1, proven), ended(2000, 3, 2, proven),
			ended(1900, 4, 8, proven), ended(1700, 5, 9, proven)), nil, [][]uint64{{cause}}},
		{"a part that is proven sound, at five ends", []record{ended(3000, 1, 1, proven), ended(2500, 2, 2, proven), ended(2000, 3, 3, proven),
			ended(1500, 4, 4, proven), ended(1000, 5, 5, proven)}, nil, nil},
		{"a rare part at three of the four ends of a frequent cause", frequent, nil, [][]uint64{{common}}},
		{"ends that an identified part explains", enough, [][]uint64{{cause}}, nil},
		{"bystanders of a known cause", with(enough, ended(3000, 1, 11, third), ended(2500, 2, 12, third), ended(2000, 3, 13, third)), [][]uint64{{cause}}, nil},
		{"two causes", with(enough, ended(2800, 11, 21, third), ended(2300, 12, 21, third), ended(1800, 13, 22, third), ended(1400, 14, 23, third)), nil,
			[][]uint64{{third}, {cause}}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			e := evidence{
				records: test.records, provenSound: func(_, part uint64) bool { return part == proven },
				share:     func(_ uint64, _ string, part uint64) float64 { return map[uint64]float64{common: 0.2}[part] },
				endpoints: func(string) int { return 12 },
			}
			for _, parts := range test.known {
				e.verdicts = append(e.verdicts, verdict{parts: parts, at: judgedAt})
			}
			var got [][]uint64
			for _, v := range judge(judgedAt, e) {
				got = append(got, v.parts)
			}
			assert.DeepEqual(t, got, test.want)
		})
	}
}

// Guards against a frequent part being identified by ends whose cause only other nodes know, and a rare one that was beside it.
func TestFrequentPartIsNotIdentifiedByPartialEvidence(t *testing.T) {
	const common, other = 1, 2
	e := evidence{
		records: []record{
			ended(3000, 1, 1, common), ended(2500, 2, 2, common), ended(2000, 3, 3, common), ended(1500, 4, 4, common), ended(3000, 1, 11, other),
			ended(2500, 2, 12, other), ended(2000, 3, 13, other), ended(1500, 4, 14),
		},
		provenSound: func(_, _ uint64) bool { return false }, endpoints: func(string) int { return 12 }, partial: true,
		share: func(_ uint64, _ string, part uint64) float64 { return map[uint64]float64{common: 0.2}[part] },
	}
	assert.Equal(t, len(judge(judgedAt, e)), 0)
}

func TestSuspects(t *testing.T) {
	for name, test := range map[string]struct{ prompt, want []uint64 }{
		"no prompt":                       {nil, nil},
		"only a part of its own":          {[]uint64{5}, nil},
		"the last is no suspect":          {[]uint64{5, 6}, []uint64{5}},
		"twice in one prompt":             {[]uint64{5, 3, 5, 6}, []uint64{3, 5}},
		"the last one also in the middle": {[]uint64{6, 5, 6}, []uint64{5, 6}},
	} {
		t.Run(name, func(t *testing.T) { assert.DeepEqual(t, (&Request{Prompt: test.prompt}).suspects(), test.want) })
	}
	assert.Equal(t, len((&Request{Prompt: make([]uint64, 1000)}).suspects()), 1)
}
