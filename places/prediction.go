package places

import "time"

const (
	// longAnswerTokens is the length from which on the total time of an answer is predicted; shorter ones end within a
	// second or two on the slowest hardware observed (11 ms per token). totalTimeFraction is the fraction of the
	// caller's time that the predicted total may take: the callers' estimates of the length are off by half in either
	// direction.
	longAnswerTokens  = 100
	totalTimeFraction = 0.6
	// slowPromptTokens is the length from which on the prefill time of a prompt is predicted; the slowest hardware
	// observed prefills that many tokens in 50 ms. promptTimeFraction is the fraction of the time left to the latency
	// objective that prefill may be predicted to take, since requests that other nodes send there in the meantime add
	// to it.
	slowPromptTokens   = 1000
	promptTimeFraction = 0.7
	// eventGapFraction is the fraction of the longest allowed event gap that the mean gap may take. The longest gap of
	// an answer is several times the mean, since the engine prefills other prompts in between.
	eventGapFraction = 0.25
	// prefillGapFraction is the fraction of the longest allowed event gap for which an endpoint may prefill prompts
	// while it generates answers: it produces almost none of their tokens meanwhile. On twelve runs with overload and
	// faults the share of the requested value that callers got on time was 0.663 with this rule and 0.655 without.
	prefillGapFraction = 0.7
)

// prediction is how an endpoint would probably serve a request.
type prediction struct {
	// finishesInTime: the answer ends while the caller still waits. startsOnTime: it starts within the first-byte
	// objective. steady: no gap between its events is too long.
	finishesInTime bool
	startsOnTime   bool
	steady         bool
	// noStall: the prompts to be prefilled there, including this one, do not stall the answers in progress for too
	// long.
	noStall bool
}

// meetsObjectives reports whether all objectives are predicted to be met.
func (p prediction) meetsObjectives() bool {
	return p.finishesInTime && p.startsOnTime && p.steady && p.noStall
}

// predictor returns a function that predicts how an endpoint would serve the request.
func (p *pool) predictor(now time.Time, request *Request) func(*trackedEndpoint) prediction {
	if request.AnswerTokens <= request.EventTokens && request.PromptTokens < slowPromptTokens {
		return func(*trackedEndpoint) prediction {
			return prediction{finishesInTime: true, startsOnTime: true, steady: true, noStall: true}
		}
	}
	maxFirstByte := time.Duration(promptTimeFraction * float64(request.FirstByteDue.Sub(now)))
	late := request.late(now, p.firstByteTime(request))
	maxTotal := time.Duration(totalTimeFraction * float64(request.Due.Sub(now)))
	maxMeanGap := time.Duration(eventGapFraction * float64(request.EventGap))
	maxPrefill := time.Duration(prefillGapFraction * float64(request.EventGap))
	return func(ep *trackedEndpoint) prediction {
		f := p.router.Forecast(now, &ep.state, request.capacityRequest)
		return prediction{
			finishesInTime: request.AnswerTokens < longAnswerTokens || f.Total <= maxTotal,
			startsOnTime:   late || f.FirstToken <= maxFirstByte,
			noStall:        ep.state.Requests == 0 || request.EventGap <= 0 || f.Prefill <= maxPrefill,
			steady: request.AnswerTokens <= request.EventTokens || request.EventGap <= 0 ||
				ep.meanEventGap(now, request.EventTokens) <= maxMeanGap,
		}
	}
}

// meanEventGap is the mean time between events of the given number of tokens, zero if unknown.
func (ep *trackedEndpoint) meanEventGap(now time.Time, eventTokens int) time.Duration {
	return ep.tokenTime.estimate(now) * time.Duration(eventTokens)
}
