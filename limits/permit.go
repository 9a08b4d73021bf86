package limits

import "sync/atomic"

// Permit represents an admitted request.
type Permit struct {
	account      *account
	cost         int
	tokenLimited bool
	released     atomic.Bool
}

// Release ends the request with the tokens that it actually used: both 0 if it was
// not run. Only the first call has an effect.
func (p *Permit) Release(promptTokens, answerTokens int) {
	if p.account == nil || p.released.Swap(true) {
		return
	}
	p.account.release(max(promptTokens, 0)+max(answerTokens, 0)-p.cost, p.tokenLimited)
}

// unlimited is the permit of organisations without limits.
var unlimited = &Permit{}
