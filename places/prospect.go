package places

import "time"

const (
	// longAnswer is the number of tokens from which on it is asked how an endpoint would produce an answer; shorter ones
	// end in a second or two on the slowest hardware seen (11 ms a token). inTimePart is the part of the caller's time
	// that the predicted total may take: the callers' guesses at the length are off by half, either way.
	longAnswer = 100
	inTimePart = 0.6
	// slowPrompt is the number of tokens from which on it is asked when an endpoint has read a prompt; the slowest hardware
	// seen reads so many in 50 ms. promptPart is the part of the time left to the objective that reading may be predicted
	// to take, since what others send there meanwhile comes on top.
	slowPrompt = 1000
	promptPart = 0.7
	// pausePart is the part of the longest pause on time that the mean pause between events may take. The longest pause of
	// an answer is several times the mean, since the engine reads other prompts in between.
	pausePart = 0.25
	// readPart is the part of the longest pause on time for which prompts may be read at an endpoint beside answers in
	// progress: it produces next to nothing of those meanwhile. On twelve runs with overload and trouble callers got
	// 0.663 of what they wanted, on time, with it and 0.655 without.
	readPart = 0.7
)

// prospect is what an endpoint would probably make of an answer.
type prospect struct {
	// inTime: it ends while the caller still waits. punctual: it begins by the objective for the first byte. even: no pause
	// between its events is too long.
	inTime   bool
	punctual bool
	even     bool
	// calm: the prompts to be read there, this one's included, don't hold up the answers in progress for too long.
	calm bool
}

// good reports whether nothing is to be feared.
func (p prospect) good() bool { return p.inTime && p.punctual && p.even && p.calm }

// forecaster returns a function that tells an endpoint's prospect of the ask.
func (p *pool) forecaster(now time.Time, ask *Ask) func(*account) prospect {
	if ask.AnswerTokens <= ask.EventTokens && ask.PromptTokens < slowPrompt {
		return func(*account) prospect { return prospect{inTime: true, punctual: true, even: true, calm: true} }
	}
	first := time.Duration(promptPart * float64(ask.FirstByteDue.Sub(now)))
	late := ask.late(now, p.start(ask))
	left := time.Duration(inTimePart * float64(ask.Due.Sub(now)))
	longest := time.Duration(pausePart * float64(ask.EventGap))
	calm := time.Duration(readPart * float64(ask.EventGap))
	return func(a *account) prospect {
		f := p.router.Forecast(now, &a.state, ask.routed)
		return prospect{
			inTime:   ask.AnswerTokens < longAnswer || f.Total <= left,
			punctual: late || f.FirstToken <= first,
			calm:     a.state.Requests == 0 || ask.EventGap <= 0 || f.Prefill <= calm,
			even:     ask.AnswerTokens <= ask.EventTokens || ask.EventGap <= 0 || a.pause(now, ask.EventTokens) <= longest,
		}
	}
}

// pause is the mean pause between events of so many tokens, zero if it is not known.
func (a *account) pause(now time.Time, eventTokens int) time.Duration {
	return a.pace.token(now) * time.Duration(eventTokens)
}
