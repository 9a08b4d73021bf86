package sizing

// StoreCall is what one purpose takes of the store's budget, calls a second from
// the whole fleet.
type StoreCall struct {
	Purpose string
	// Write is true for a call that counts as a write.
	Write   bool
	Formula Formula
	// When says whether the calls come all the time or in an event.
	When string
}

// Always marks calls that come all the time.
const Always = "always"

func (c StoreCall) kind() string {
	if c.Write {
		return "write"
	}
	return "read"
}

// storeSum adds up the calls of a kind that come all the time.
func storeSum(s *Scope, write bool) (Value, error) {
	var sum Value
	for _, call := range StoreCalls() {
		if call.Write != write || call.When != Always {
			continue
		}
		v, err := s.Eval(call.Formula)
		if err != nil {
			return Value{}, err
		}
		sum = sum.Add(v)
	}
	return sum, nil
}
