package limits

import "sync/atomic"

// Permit is a request counted in.
type Permit struct {
	account  *account
	cost     int
	tokens   bool
	released atomic.Bool
}

// Release counts the request out with the tokens that it really took: both 0 if it
// was not run. Only the first call counts.
func (p *Permit) Release(promptTokens, answerTokens int) {
	if p.account == nil || p.released.Swap(true) {
		return
	}
	p.account.release(max(promptTokens, 0)+max(answerTokens, 0)-p.cost, p.tokens)
}

// unlimited is the permit of organisations without limits.
var unlimited = &Permit{}
