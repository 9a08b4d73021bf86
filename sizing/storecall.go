package sizing

// StoreCall is the rate of store calls for one purpose, in calls per second of the
// whole fleet. They count against the store's budget.
type StoreCall struct {
	Purpose string
	// Write is true for a call that counts as a write.
	Write   bool
	Formula Formula
	// When is Always, or the event during which the calls are made.
	When string
}

// Always is the value of StoreCall.When for calls made continuously.
const Always = "always"

func (c StoreCall) kind() string {
	if c.Write {
		return "write"
	}
	return "read"
}

// storeSum adds up the continuous calls that are writes, or those that are reads.
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
